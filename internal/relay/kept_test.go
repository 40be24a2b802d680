package relay

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/standin"
)

// LOST, at any time: a request on a kept connection that was passed on to a replica
// is answered, whatever the replica does, and a refusal is true.
func TestKeptConnectionIsAnswered(t *testing.T) {
	for name, answer := range map[string]string{
		"nothing":       "",
		"half a head":   "HTTP/1.1 200 OK\r\nAttempt-",
		"no answer":     "what is this\r\n\r\n",
		"another's":     "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + standin.Seal + "Content-Length: 2\r\n\r\nhi",
		"half a body":   "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n" + standin.Seal + "Content-Length: 20\r\n\r\nhi",
		"no seal":       "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 2\r\n\r\nhi",
		"an empty 503":  "HTTP/1.1 503 No\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n",
		"a first chunk": "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n" + standin.Seal + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, func(w net.Conn, got standin.Got) bool {
				if got.ID == "first" {
					return standin.Well(w, got)
				}
				_, _ = w.Write([]byte(strings.ReplaceAll(answer, "ID", got.ID)))
				return false
			})
			k := standin.Call(g.addr)
			defer k.Close()
			a, err := k.Ask(host, "/unsafe/", "first", "body")
			is.NoErr(err)
			is.Equal(a.Status, 200)
			is.True(!a.Close)
			a, err = k.Ask(host, "/unsafe/", "second", "body")
			is.NoErr(err)
			is.True(a.Whole)
			is.Equal(a.Status, 502) // it may have run
			is.Equal(a.ID, "second")
		})
	}
}
