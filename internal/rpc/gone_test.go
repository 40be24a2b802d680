package rpc

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

func TestGone(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	pair := func() (net.Conn, net.Conn) {
		a, err := Dial(ids.Addr(l.Addr().String()), clock.Second)
		is.NoErr(err)
		b, err := l.Accept()
		is.NoErr(err)
		return a, b
	}
	soon := func(c net.Conn) bool {
		for end := clock.Now().Add(5 * clock.Second); clock.Now() < end && !Gone(c); clock.Sleep(clock.Millisecond) {
		}
		return Gone(c)
	}
	a, b := pair()
	defer b.Close()
	is.True(!Gone(b))
	_, err = a.Write([]byte("x"))
	is.NoErr(err)
	is.True(!Gone(b))
	is.NoErr(a.Close())
	is.True(!Gone(b)) // there is more to read first
	var x [1]byte
	_, err = b.Read(x[:])
	is.NoErr(err)
	is.True(soon(b))
	a, b = pair()
	defer b.Close()
	is.NoErr(a.(*net.TCPConn).SetLinger(0))
	is.NoErr(a.Close()) // a reset
	is.True(soon(b))
	is.True(!Gone(nil))
}
