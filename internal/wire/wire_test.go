package wire

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

type msg struct {
	N int
	S string
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	hold := spawn.NewMark()
	s := Serve(l, func(m msg, push func(msg) error) (msg, bool) {
		switch m.S {
		case "slow":
			hold.Wait(10 * clk.Second)
		case "many":
			for i := range 5 {
				if push(msg{N: i}) != nil {
					break
				}
			}
			return msg{}, false
		}
		return msg{N: m.N + 1}, true
	})
	p := NewPeer[msg](word.Addr(l.Addr().String()))
	slow := spawn.NewMark()
	spawn.Go(func() {
		if a, err := p.Call(msg{N: 10, S: "slow"}, 10*clk.Second); err == nil && a.N == 11 {
			slow.Set()
		}
	})
	for i := range 20 { // not held up by the slow one
		a, err := p.Call(msg{N: i}, 5*clk.Second)
		is.NoErr(err)
		is.Equal(a.N, i+1)
	}
	hold.Set()
	is.True(slow.Wait(10 * clk.Second))
	done := spawn.NewMark()
	var got []int
	end, err := p.Stream(msg{S: "many"}, clk.Second, func(m msg, ok bool) {
		if got = append(got, m.N); len(got) == 5 {
			done.Set()
		}
	})
	is.NoErr(err)
	is.True(done.Wait(10 * clk.Second))
	end()
	is.Equal(got, []int{0, 1, 2, 3, 4})

	lost := spawn.NewMark()
	_, err = p.Stream(msg{S: "slow"}, clk.Second, func(_ msg, ok bool) {
		if !ok {
			lost.Set()
		}
	})
	is.NoErr(err)
	s.Close()
	is.True(lost.Wait(10 * clk.Second)) // open calls end with the wire
	_, err = p.Call(msg{}, 200*clk.Millisecond)
	is.True(err != nil)
	is.True(!errors.Is(err, nil))
}
