package concurrency

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
)

func TestTurn(t *testing.T) {
	is := is.New(t)
	tn := &Turn{Max: 2}
	is.True(tn.Take(0))
	is.True(!tn.Take(clock.Millisecond)) // gives its place up
	in, out := NewMark(), NewMark()
	Go(func() {
		if tn.Take(10 * clock.Second) {
			in.Set()
			out.Wait(10 * clock.Second)
			tn.Give()
			in.Set()
		}
	})
	for tn.waiting() < 1 {
		is.True(!tn.Take(0))
	}
	tn.Give()
	is.True(in.Wait(10 * clock.Second))
	is.True(!tn.Take(0)) // the next has it
	out.Set()
	is.True(in.Wait(10 * clock.Second))
	is.True(tn.Take(0))
}

func (t *Turn) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.line)
}

func TestTurnHoldsNoMore(t *testing.T) {
	is := is.New(t)
	tn := &Turn{}
	is.True(tn.Take(0))
	is.True(!tn.Take(clock.Second)) // at once: none may wait
	tn.Give()
	is.True(tn.Take(0))
}

func TestMark(t *testing.T) {
	is := is.New(t)
	m := NewMark()
	is.True(!m.Wait(0))
	m.Set()
	m.Set()
	is.True(m.Wait(clock.Second))
	is.True(!m.Wait(clock.Millisecond))
}

func TestPoolIsBounded(t *testing.T) {
	is := is.New(t)
	p := NewPool(1, 1)
	in, out := NewMark(), NewMark()
	is.True(p.Try(func() {
		in.Set()
		out.Wait(10 * clock.Second)
	}))
	is.True(in.Wait(10 * clock.Second))
	is.True(p.Try(func() {}))
	is.True(!p.Try(func() {})) // one runs, one is held
	out.Set()
}
