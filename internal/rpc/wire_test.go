package rpc

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

type msg struct {
	N int
	S string
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	hold := concurrency.NewMark()
	s := Serve(l, func(m msg, push func(msg) error) (msg, bool) {
		switch m.S {
		case "slow":
			hold.Wait(10 * clock.Second)
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
	p := NewPeer[msg](ids.Addr(l.Addr().String()))
	slow := concurrency.NewMark()
	concurrency.Go(func() {
		if a, err := p.Call(msg{N: 10, S: "slow"}, 10*clock.Second); err == nil && a.N == 11 {
			slow.Set()
		}
	})
	for i := range 20 { // not held up by the slow one
		a, err := p.Call(msg{N: i}, 5*clock.Second)
		is.NoErr(err)
		is.Equal(a.N, i+1)
	}
	hold.Set()
	is.True(slow.Wait(10 * clock.Second))
	done := concurrency.NewMark()
	var got []int
	end, err := p.Stream(msg{S: "many"}, clock.Second, func(m msg, ok bool) {
		if got = append(got, m.N); len(got) == 5 {
			done.Set()
		}
	})
	is.NoErr(err)
	is.True(done.Wait(10 * clock.Second))
	end()
	is.Equal(got, []int{0, 1, 2, 3, 4})

	lost := concurrency.NewMark()
	_, err = p.Stream(msg{S: "slow"}, clock.Second, func(_ msg, ok bool) {
		if !ok {
			lost.Set()
		}
	})
	is.NoErr(err)
	s.Close()
	is.True(lost.Wait(10 * clock.Second)) // open calls end with the wire
	_, err = p.Call(msg{}, 200*clock.Millisecond)
	is.True(err != nil)
	is.True(!errors.Is(err, nil))
}
