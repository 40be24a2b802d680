package relay

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/standin"
)

const goneRequest = "POST /long/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbody"

// longRoute has a timeout beyond all waits here, so that only the client's
// leaving can end a run.
const longRoute = `{"name":"long","authority":"h.example","path-prefix":"/long/","route-class":"unsafe","timeout-ms":600000,"target-ms":400,"service":"s","max-attempts":3}`

// GONE: a client that leaves while its request is held for news, or that sent
// the next request already, takes its request along.
func TestClientGone(t *testing.T) {
	t.Run("held", func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, standin.Well)
		g.configure(2, longRoute)
		g.holdForNews()
		g.r.Current = func() bool { return false }
		k := standin.Call(g.addr)
		k.Put(goneRequest)
		until(t, "the request", func() bool { return g.r.Active() == 1 })
		k.Close()
		until(t, "the end", func() bool { return g.r.Active() == 0 })
		is.Equal(g.arrivals(), 0)
	})
	t.Run("with the next one sent", func(t *testing.T) {
		is := is.New(t)
		in, cut := concurrency.NewMark(), concurrency.NewMark()
		g := newRig(t, func(w net.Conn, g standin.Got) bool {
			in.Set()
			var b [1]byte
			_, _ = w.Read(b[:])
			cut.Set()
			return false
		})
		g.configure(2, longRoute)
		k := standin.Call(g.addr)
		k.Put(goneRequest + goneRequest[:20])
		is.True(in.Wait(10 * clock.Second))
		k.Put(goneRequest[20:])
		k.Close()
		is.True(cut.Wait(10 * clock.Second))
		until(t, "the end", func() bool { return g.r.Active() == 0 })
		is.Equal(g.arrivals(), 1)
	})
}

// UNASKED: what a request says of its prompt reaches the replica as the client
// said it, also on a second replica.
func TestPromptFieldsUnchanged(t *testing.T) {
	is := is.New(t)
	want := []string{"Model: m", "Token-Counts: 1460,80", "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250"}
	g := newRig(t, standin.Full, standin.Full)
	_, err := g.ask("/resume/", "id", want...)
	is.NoErr(err)
	is.Equal(g.arrivals(), 2)
	for _, r := range g.reps {
		for _, got := range r.Got() {
			is.Equal([]string{"Model: " + got.Model, "Token-Counts: " + got.Tokens, "Prompt-Prefix: " + got.Prefix}, want)
		}
	}
}
