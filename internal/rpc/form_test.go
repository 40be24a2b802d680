package rpc

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

type newer struct {
	N int
	S string
	// More is not known to those that speak msg.
	More int
}

type changed struct {
	N string
	S string
}

type renamed struct {
	N int
	T string
}

// A daemon whose messages have other fields is refused on both ends, with a
// count and a line; nothing of what it says is taken.
func TestOtherRelease(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	handled := 0
	s := Serve(l, func(m msg, _ func(msg) error) (msg, bool) {
		handled++
		return m, true
	})
	defer s.Close()
	at := ids.Addr(l.Addr().String())
	for _, call := range []func() error{
		func() error { _, err := NewPeer[newer](at).Call(newer{N: 1, More: 2}, 5*clock.Second); return err },
		func() error { _, err := NewPeer[changed](at).Call(changed{N: "x"}, 5*clock.Second); return err },
		func() error { _, err := NewPeer[renamed](at).Call(renamed{N: 1}, 5*clock.Second); return err },
	} {
		before := otherRelease.Get()
		is.True(call() != nil)
		is.True(otherRelease.Get() > before)
	}
	is.Equal(handled, 0)
	a, err := NewPeer[msg](at).Call(msg{N: 7}, 5*clock.Second)
	is.NoErr(err)
	is.Equal(a.N, 7)
}

// An answer of another release is refused as well.
func TestOtherReleaseAnswers(t *testing.T) {
	is := is.New(t)
	s := newScript(t)
	p := NewPeer[msg](ids.Addr(s.l.Addr().String()))
	r := ask(p, 1, 10*clock.Second)
	f := s.next(t)
	s.p.told = true // as releases before this did
	before := otherRelease.Get()
	is.NoErr(s.p.put(&Frame[msg]{ID: f.ID, M: msg{N: 2}}, "test", false))
	is.True(r.done.Wait(10 * clock.Second))
	is.True(r.err != nil)
	is.Equal(otherRelease.Get(), before+1)
}

// One that hangs up has no release.
func TestHangUpIsNoRelease(t *testing.T) {
	is := is.New(t)
	s := newScript(t)
	p := NewPeer[msg](ids.Addr(s.l.Addr().String()))
	before := otherRelease.Get()
	r := ask(p, 1, 10*clock.Second)
	s.next(t)
	_ = s.p.c.Close()
	is.True(r.done.Wait(10 * clock.Second))
	is.Equal(otherRelease.Get(), before)
}
