package control

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
)

// Orders that are not read to their end take room from those that come after,
// which are refused at once; it comes back with the connection.
func TestRoom(t *testing.T) {
	is := is.New(t)
	s, l := newServer(t)
	head := "POST /-/configuration/replace HTTP/1.1\r\nHost: h\r\nBase-Version: 0\r\n"
	slow := dial(t, l)
	_, err := slow.Write([]byte(head + "Content-Length: 16000000\r\n\r\n{" + strings.Repeat(" ", 9000)))
	is.NoErr(err)
	inHand := func(n int) {
		for {
			s.room.mu.Lock()
			m := s.room.orders
			s.room.mu.Unlock()
			if m == n {
				return
			}
			clock.Sleep(clock.Millisecond)
		}
	}
	inHand(1)
	for _, more := range []string{"Content-Length: 1000000\r\n\r\n{" + strings.Repeat(" ", 9000), "Transfer-Encoding: chunked\r\n\r\n1\r\n{"} {
		a := say(t, dial(t, l), head+more)
		is.True(strings.HasPrefix(a, "HTTP/1.1 503") && strings.Contains(a, "Retry-After"))
	}
	a := say(t, dial(t, l), head+"Content-Length: 17000000\r\n\r\n{"+strings.Repeat(" ", 9000))
	is.True(strings.HasPrefix(a, "HTTP/1.1 413"))
	doc := `{"version":1,"route-table":[],"service-table":[],"limits":{}}`
	for _, c := range []net.Conn{dial(t, l), dial(t, l)} { // a small one, and the same again
		a = say(t, c, head+"Content-Length: "+"61\r\n\r\n"+doc)
		is.True(strings.HasPrefix(a, "HTTP/1.1 200"))
	}
	is.NoErr(slow.Close())
	inHand(0)
	a = say(t, dial(t, l), head+"Transfer-Encoding: chunked\r\n\r\n3d\r\n"+doc+"\r\n0\r\n\r\n")
	is.True(strings.HasPrefix(a, "HTTP/1.1 200"))
	for range ordersMost {
		is.True(s.room.take(1))
	}
	is.True(!s.room.take(1))
	var x fasthttp.RequestCtx
	x.Request.SetBodyString("abc")
	b, err := body(&x)
	is.NoErr(err)
	is.Equal(string(b), "abc")
}
