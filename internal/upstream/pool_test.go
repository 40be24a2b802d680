package upstream

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
)

// host accepts connections and hands them to the test.
func host(t *testing.T) (ids.Addr, func() net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return ids.Addr(l.Addr().String()), func() net.Conn {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
}

func TestIdleIsUsedAgain(t *testing.T) {
	is := is.New(t)
	a, accept := host(t)
	p := &Pool{Addr: a}
	k, err := p.Get(1, clock.Second)
	is.NoErr(err)
	accept()
	p.Give(k, &httpmessage.Response{})
	again, err := p.Get(2, clock.Second)
	is.NoErr(err)
	is.True(again == k)
	is.Equal(p.Open(), 1)
	p.Give(again, &httpmessage.Response{Close: true}) // says that it closes
	is.Equal(p.Open(), 0)
}

// A connection serves a try once: a second answer to the first would be taken for
// the one that is due.
func TestTryOncePerConnection(t *testing.T) {
	is := is.New(t)
	a, accept := host(t)
	p := &Pool{Addr: a}
	k, err := p.Get(7, clock.Second)
	is.NoErr(err)
	accept()
	for try := range uint64(3) {
		p.Give(k, &httpmessage.Response{})
		next, err := p.Get(try, clock.Second)
		is.NoErr(err)
		is.True(next == k)
	}
	p.Give(k, &httpmessage.Response{})
	again, err := p.Get(7, clock.Second)
	is.NoErr(err)
	is.True(again != k)
	is.Equal(p.Open(), 1)
}

// A try without an id cannot be told from others.
func TestNoIDIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	a, accept := host(t)
	p := &Pool{Addr: a}
	k, err := p.Get(1, clock.Second)
	is.NoErr(err)
	c := accept()
	concurrency.Go(func() { _, _ = c.Write([]byte("HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")) })
	k.SetDeadline(clock.Now().Add(10 * clock.Second))
	ans, err := k.Response(nil)
	is.NoErr(err)
	p.Give(k, ans)
	is.Equal(p.Open(), 0)
}

// What has come on an idle connection, or its end, means that it is not used.
func TestSpoiltIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"surplus": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n")) },
		"closed":  func(c net.Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, accept := host(t)
			p := &Pool{Addr: a}
			k, err := p.Get(3, clock.Second)
			is.NoErr(err)
			spoil(accept())
			for k.quiet() {
			}
			p.Give(k, &httpmessage.Response{})
			next, err := p.Get(4, clock.Second)
			is.NoErr(err)
			is.True(next != k)
		})
	}
}

func TestKeepAliveIsHeeded(t *testing.T) {
	is := is.New(t)
	sim := &clock.Sim{}
	a, accept := host(t)
	p := &Pool{Addr: a}
	k, err := p.Get(5, clock.Second)
	is.NoErr(err)
	accept()
	t.Cleanup(sim.Use())
	p.Give(k, &httpmessage.Response{Alive: 2 * clock.Second})
	sim.Move(1600 * clock.Millisecond) // short of it by less than the margin
	p.mu.Lock()
	idle := p.idle[0]
	p.mu.Unlock()
	is.True(clock.Now() >= idle.until)
	p.Shut()
	is.Equal(p.Open(), 0)
}

// An answer to another try is passed over, and ends the connection's use.
func TestStranger(t *testing.T) {
	is := is.New(t)
	a, accept := host(t)
	p := &Pool{Addr: a}
	k, err := p.Get(6, clock.Second)
	is.NoErr(err)
	c := accept()
	concurrency.Go(func() {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\nno" +
			"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 3\r\n\r\nyes"))
	})
	k.SetDeadline(clock.Now().Add(10 * clock.Second))
	ans, err := k.Response([]byte("mine"))
	is.NoErr(err)
	b, err := k.Body(ans).ReadAll(10)
	is.NoErr(err)
	is.Equal(string(b), "yes")
	p.Give(k, ans)
	is.Equal(p.Open(), 0)
}
