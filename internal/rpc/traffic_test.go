package rpc

import (
	"bytes"
	"net"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

type named struct{ Name, Text string }

func (n named) Subject() string { return n.Name }

// heldListener accepts connections whose writes return only once they are let go, though what
// they wrote has left.
type heldListener struct {
	net.Listener
	letGo *concurrency.Mark
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return heldConn{c, l.letGo}, err
}

type heldConn struct {
	net.Conn
	letGo *concurrency.Mark
}

func (c heldConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.letGo.Wait(clock.Minute)
	return n, err
}

// An answer's bytes were counted after it had left, so that a caller might not find them.
func TestBytesAreCountedBeforeTheyLeave(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	letGo := concurrency.NewMark()
	s := Serve(heldListener{l, letGo}, func(m named, _ func(named) error) (named, bool) { return m, true })
	defer s.Close()
	defer letGo.Set()
	p := NewPeer[named](ids.Addr(l.Addr().String()))
	defer p.Close()
	_, err = p.Call(named{"held", "x"}, clock.Minute)
	is.NoErr(err)
	is.True(telemetry.Counter("wire.out.held.answer").Get() > 0)
	is.True(bytesOut.Get() >= telemetry.Counter("wire.out.held").Get()+telemetry.Counter("wire.out.held.answer").Get())
}

// Every byte between daemons is counted once by its subject, and once more if
// it leaves the zone.
func TestBytesBySubject(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := ServeZoned(l, func(m named) bool { return m.Text == "" }, func(m named, _ func(named) error) (named, bool) {
		return named{Text: string(bytes.Repeat([]byte("a"), 300))}, true
	})
	defer s.Close()
	p := NewPeer[named](ids.Addr(l.Addr().String()))
	defer p.Close()
	before := map[string]int64{}
	for name, n := range telemetry.Map() {
		before[name] = n
	}
	counts := func(name string) int64 { return telemetry.Counter("wire.out."+name).Get() - before["wire.out."+name] }
	total := bytesOut.Get()
	far := false
	p.Far = func() bool { return far }
	_, err = p.Call(named{"near", "x"}, clock.Minute)
	is.NoErr(err)
	is.True(counts("near") > 0)
	is.Equal(counts("near.far"), int64(0))
	is.True(counts("near.answer") > 300)
	is.Equal(counts("near.answer.far"), int64(0))
	far = true
	_, err = p.Call(named{"away", ""}, clock.Minute)
	is.NoErr(err)
	is.Equal(counts("away"), counts("away.far"))
	is.True(counts("away.answer.far") > 300)
	is.Equal(bytesOut.Get()-total, counts("near")+counts("near.answer")+counts("away")+counts("away.answer"))
}
