package rpc

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/interleave"
)

// Whatever comes in whatever order, a call that was answered before its caller
// looked has that answer, and one that was not has none.
func TestFirstWordCounts(t *testing.T) {
	is := is.New(t)
	n := interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		c := newCall[int]()
		first, looked := "", false
		see := func(s string) {
			if first == "" && !looked {
				first = s
			}
		}
		var a int
		var got bool
		return []interleave.Thread{
				interleave.Steps(func() { see("answer"); c.hear(1, true) }, func() { c.hear(2, true) }),
				interleave.Steps(func() { see("end"); c.hear(0, false) }),
				interleave.Steps(func() { a, got = c.wait(0); looked = true }),
			}, func(order []int) {
				is.Equal(got, first == "answer")
				is.Equal(a == 1, got)
				is.True(a != 2)
			}
	})
	is.Equal(n, 12)
}

// script serves one connection at a time: each call that comes is kept until
// the test answers it.
type script struct {
	l net.Listener
	p *pipe[msg]
}

func newScript(t *testing.T) *script {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &script{l: l}
}

func (s *script) next(t *testing.T) *Frame[msg] {
	if s.p == nil {
		c, err := s.l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s.p = newPipe[msg](c)
	}
	f := &Frame[msg]{}
	if err := s.p.get(f); err != nil {
		t.Fatal(err)
	}
	return f
}

type result struct {
	a    msg
	err  error
	done *concurrency.Mark
}

func ask(p *Peer[msg], n int, d clock.Span) *result {
	r := &result{done: concurrency.NewMark()}
	concurrency.Go(func() {
		r.a, r.err = p.Call(msg{N: n}, d)
		r.done.Set()
	})
	return r
}

// An answer to a call whose caller gave up reaches no other call: not on the
// same wire, nor on the next one to the same daemon.
func TestLateAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	s := newScript(t)
	p := NewPeer[msg](ids.Addr(s.l.Addr().String()))
	given := ask(p, 1, 300*clock.Millisecond)
	old := s.next(t)
	is.True(given.done.Wait(10 * clock.Second))
	is.True(given.err != nil)
	next := ask(p, 2, 20*clock.Second)
	f := s.next(t)
	is.NoErr(s.p.put(&Frame[msg]{ID: old.ID, M: msg{N: 100}}, "test", false))
	is.NoErr(s.p.put(&Frame[msg]{ID: old.ID, M: msg{N: 101}}, "test", false))
	is.NoErr(s.p.put(&Frame[msg]{ID: f.ID + 1, M: msg{N: 102}}, "test", false)) // the number of a call to come
	is.NoErr(s.p.put(&Frame[msg]{ID: f.ID, M: msg{N: 2}}, "test", false))
	is.True(next.done.Wait(10 * clock.Second))
	is.NoErr(next.err)
	is.Equal(next.a.N, 2)
	wire := s.p
	p.Close()
	s.p = nil
	again := ask(p, 3, 20*clock.Second)
	f = s.next(t)
	is.True(f.ID > old.ID) // a number is never used again, on the next wire neither
	_ = wire.put(&Frame[msg]{ID: f.ID, M: msg{N: 103}}, "test", false)
	is.NoErr(s.p.put(&Frame[msg]{ID: f.ID, M: msg{N: 3}}, "test", false))
	is.True(again.done.Wait(10 * clock.Second))
	is.Equal(again.a.N, 3)
}

// A wire that breaks ends its calls, each once, and none has an answer.
func TestBrokenWireEndsCalls(t *testing.T) {
	is := is.New(t)
	s := newScript(t)
	p := NewPeer[msg](ids.Addr(s.l.Addr().String()))
	var rs []*result
	for i := range 8 {
		rs = append(rs, ask(p, i, 20*clock.Second))
		s.next(t)
	}
	_ = s.p.c.Close()
	for _, r := range rs {
		is.True(r.done.Wait(10 * clock.Second))
		is.True(r.err != nil)
	}
}

// The same where the sending itself fails: the reader ends the call at that
// moment as well.
func TestBrokenWhileSending(t *testing.T) {
	is := is.New(t)
	for range 50 {
		s := newScript(t)
		p := NewPeer[msg](ids.Addr(s.l.Addr().String()))
		r := ask(p, 0, 10*clock.Second)
		f := s.next(t)
		is.NoErr(s.p.put(&Frame[msg]{ID: f.ID, M: msg{}}, "test", false))
		is.True(r.done.Wait(10 * clock.Second))
		var rs []*result
		for i := range 4 {
			rs = append(rs, ask(p, i, 200*clock.Millisecond))
		}
		_ = s.p.c.Close()
		_ = s.l.Close()
		for _, r := range rs {
			is.True(r.done.Wait(10 * clock.Second))
			is.True(r.err != nil)
		}
	}
}

// The calls that are open to one daemon are bounded; one more fails at once.
func TestCallsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newScript(t)
	p := NewPeer[msg](ids.Addr(s.l.Addr().String()))
	defer p.Close()
	var ends []func()
	for i := range callsMost {
		end, err := p.Stream(msg{N: i}, 10*clock.Second, func(msg, bool) {})
		is.NoErr(err)
		ends = append(ends, end)
	}
	_, err := p.Call(msg{}, clock.Minute)
	is.Equal(codes.Of(err), codes.QueueFull)
	ends[0]()
	_, err = p.Stream(msg{}, 10*clock.Second, func(msg, bool) {})
	is.NoErr(err)
}
