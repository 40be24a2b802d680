package relay

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/standin"
	"spoolswitch/internal/upstream"
)

const sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\n"

// Every ending of docs/hardening/calls.md: what the client of a request that may
// not be repeated gets, how often it and a repeatable one arrive at two replicas
// that play the same, and whether the connection serves another request.
func TestEndings(t *testing.T) {
	open := func(s string) standin.Play {
		return func(w net.Conn, g standin.Got) bool {
			_, err := w.Write([]byte(strings.ReplaceAll(s, "ID", g.ID)))
			return err == nil
		}
	}
	long := strings.Repeat("x", 100)
	for name, x := range map[string]struct {
		play   standin.Play
		status int
		unsafe int
		safe   int
		reuse  bool
		sealed bool
	}{
		"answered":                {standin.Well, 200, 1, 1, true, true},
		"failed":                  {func(w net.Conn, g standin.Got) bool { return standin.Say(w, g.ID, 500, standin.Seal, "no") }, 500, 1, 1, true, true},
		"its own deadline":        {func(w net.Conn, g standin.Got) bool { return standin.Say(w, g.ID, 504, standin.Seal, "no") }, 504, 1, 1, true, true},
		"turned away":             {standin.Full, 503, 2, 2, true, false},
		"turned away, no length":  {open("HTTP/1.1 503 X\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\n\r\n"), 503, 2, 2, false, false},
		"turned away, cut":        {standin.Raw("HTTP/1.1 503 X\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nno"), 503, 2, 2, false, false},
		"misdirected":             {standin.Misdirected, 503, 2, 2, true, false},
		"unbacked 503":            {open("HTTP/1.1 503 X\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\nContent-Length: 0\r\n\r\n"), 502, 1, 1, false, false},
		"unbacked 429":            {open("HTTP/1.1 429 X\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\nContent-Length: 0\r\n\r\n"), 502, 1, 1, false, false},
		"unbacked 408":            {open("HTTP/1.1 408 X\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\nContent-Length: 0\r\n\r\n"), 502, 1, 1, false, false},
		"mistaken":                {open(strings.Repeat("HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nReplica-Seal: s\r\nContent-Length: 2\r\n\r\nno", 3)), 502, 1, 2, false, false},
		"before the head":         {standin.Break, 502, 1, 2, false, false},
		"within the head":         {standin.Raw("HTTP/1.1 200 OK\r\nAttempt-"), 502, 1, 2, false, false},
		"behind the head":         {standin.Raw(sealed + "Content-Length: 100\r\n\r\n"), 502, 1, 2, false, false},
		"within the body":         {standin.Raw(sealed + "Content-Length: 100\r\n\r\n" + long[:99]), 502, 1, 2, false, false},
		"within a chunk":          {standin.Raw(sealed + "Transfer-Encoding: chunked\r\n\r\n64\r\n" + long[:99]), 502, 1, 2, false, false},
		"before the last chunk":   {standin.Raw(sealed + "Transfer-Encoding: chunked\r\n\r\n64\r\n" + long + "\r\n"), 502, 1, 2, false, false},
		"within the trailer":      {standin.Raw(sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n"), 502, 1, 2, false, false},
		"no seal":                 {open("HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n"), 502, 1, 2, false, false},
		"no answer":               {open("no answer at all\r\n\r\n"), 502, 1, 2, false, false},
		"no end told, none comes": {open(sealed + "\r\nbody"), 504, 1, 1, false, false},
		"no end told, closed":     {standin.Raw(sealed + "\r\nbody"), 200, 1, 1, false, true},
		"no end told, reset":      {standin.Reset(sealed + "\r\nbody"), 502, 1, 2, false, false},
		"another protocol":        {open("HTTP/1.1 101 X\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\n\r\n"), 502, 1, 2, false, false},
		"news before it":          {open("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + sealed + "Content-Length: 2\r\n\r\nab"), 200, 1, 1, true, true},
		"an empty body":           {open(sealed + "Content-Length: 0\r\n\r\n"), 200, 1, 1, true, true},
		"none by its status":      {open("HTTP/1.1 204 X\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\n\r\n"), 204, 1, 1, true, true},
		"surplus bytes":           {open(sealed + "Content-Length: 2\r\n\r\nabmore"), 200, 1, 1, false, true},
		"doubled":                 {open(strings.Repeat(sealed+"Content-Length: 2\r\n\r\nab", 2)), 200, 1, 1, false, true},
		"another's first":         {open("HTTP/1.1 500 X\r\nAttempt-Id: x\r\nContent-Length: 2\r\n\r\nno" + sealed + "Content-Length: 2\r\n\r\nab"), 200, 1, 1, false, true},
		"closes by its word":      {open(sealed + "Connection: close\r\nContent-Length: 2\r\n\r\nab"), 200, 1, 1, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, x.play, x.play)
			r, err := g.ask("/unsafe/", "id1")
			is.NoErr(err)
			is.Equal(r.Status, x.status)
			is.Equal(r.Seal != "", x.sealed) // a failure of our own bears none
			is.True(r.Whole)
			is.Equal(g.arrivals(), x.unsafe)
			g = newRig(t, x.play, x.play)
			_, err = g.ask("/safe/", "id1")
			is.NoErr(err)
			is.Equal(g.arrivals(), x.safe)
			g = newRig(t, x.play)
			for i := range 2 {
				_, err := g.ask("/unsafe/", fmt.Sprintf("id%d", i))
				is.NoErr(err)
			}
			want := 2
			if x.reuse {
				want = 1
			}
			if n := len(g.reps[0].Got()); n == 2 { // one that answered 421 is asked no more
				is.Equal(g.reps[0].Conns(), want)
			} else {
				is.Equal(name, "misdirected")
			}
		})
	}
}

// Nothing is sent where the replica cannot be reached, nor where less than a
// tenth of the aim is left: that would be no offer.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	r, err := g.ask("/unsafe/", "id1", "Deadline-Ms: 40")
	is.NoErr(err)
	is.Equal(r.Status, 503)
	is.Equal(g.arrivals(), 0)
	g.reps[0].Close()
	r, err = g.ask("/unsafe/", "id2")
	is.NoErr(err)
	is.Equal(r.Status, 503)
	is.Equal(g.arrivals(), 0)
}

// The route's time ends a request, however long its client would wait, and what
// may have run is not promised not to have.
func TestHeldNoLonger(t *testing.T) {
	for _, play := range []string{"", "HTTP/1.1 200 O", sealed + "Content-Length: 9\r\n\r\nab", "HTTP/1.1 100 Continue\r\n\r\n"} {
		is := is.New(t)
		over := concurrency.NewMark()
		g := newRig(t, func(w net.Conn, g standin.Got) bool {
			_, _ = w.Write([]byte(strings.ReplaceAll(play, "ID", g.ID)))
			over.Wait(20 * clock.Second)
			return false
		})
		g.configure(2, `{"name":"short","authority":"h.example","path-prefix":"/short/","route-class":"safe","timeout-ms":300,"target-ms":400,"service":"s","max-attempts":3}`)
		r, err := g.ask("/short/", "id1", "Deadline-Ms: 600000")
		is.NoErr(err)
		is.Equal(r.Status, 504)
		is.Equal(g.arrivals(), 1)
		over.Set()
	}
}

// A deadline that ends the reading is the deadline, whatever the clock says: the
// connection's may come a little before the request's.
func TestDeadlineIsNoBreak(t *testing.T) {
	is := is.New(t)
	r := standin.NewReplica("i", standin.Well)
	defer r.Close()
	c, err := (&upstream.Pool{Addr: r.Addr}).Get(1, clock.Second)
	is.NoErr(err)
	c.SetDeadline(clock.Now())
	_, err = c.Response([]byte("id1"))
	n := &Request{deadline: clock.Now().Add(clock.Minute)}
	is.Equal(n.broke(err), pastDeadline)
}

// The answer to a HEAD has no body, on whatever route, and tells the length that
// the replica told; its connection serves no other request.
func TestHead(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
		is := is.New(t)
		g := newRig(t, func(w net.Conn, g standin.Got) bool {
			_, err := w.Write([]byte(strings.ReplaceAll(sealed+"Content-Length: 7\r\n\r\n", "ID", g.ID)))
			return err == nil
		})
		k := standin.Call(g.addr)
		defer k.Close()
		for range 2 {
			k.Put("HEAD " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\n")
			a, err := k.Head()
			is.NoErr(err)
			is.Equal(a.Status, 200)
			is.Equal(a.Length, int64(7))
			is.True(!a.Chunked)
		}
		is.Equal(g.reps[0].Conns(), 2)
		k.Put("HEAD /nowhere/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nConnection: close\r\n\r\n")
		a, err := k.Head()
		is.NoErr(err)
		is.Equal(a.Status, 404)
		is.True(!k.More())
	}
}

// A stream's answer without a body is passed on without chunks.
func TestStreamOfNothing(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w net.Conn, g standin.Got) bool {
		_, err := w.Write([]byte(strings.ReplaceAll("HTTP/1.1 204 X\r\nAttempt-Id: ID\r\nReplica-Seal: s\r\n\r\n", "ID", g.ID)))
		return err == nil
	})
	k := standin.Call(g.addr)
	defer k.Close()
	for range 2 {
		k.Put("POST /stream/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n")
		a, err := k.Head()
		is.NoErr(err)
		is.Equal(a.Status, 204)
		is.True(len(a.Field(httpmessage.Seal)) > 0 && !a.Chunked)
	}
}

// A client that leaves while its request is being sent says nothing of the
// replica.
func TestLeftWhileSending(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	pool := &upstream.Pool{Addr: ids.Addr(l.Addr().String())}
	c, err := pool.Get(1, clock.Second)
	is.NoErr(err)
	q, err := httpmessage.ReadRequest(bufio.NewReader(strings.NewReader("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n\r\n")))
	is.NoErr(err)
	n := &Request{Head: q, Body: make([]byte, 64<<20), relay: g.r, route: g.r.View.Table().Match(host, "/unsafe/"), deadline: clock.Now().Add(clock.Minute)}
	n.ask.Service = "s"
	rep, err := g.r.Fleet.Choose(&n.ask)
	is.NoErr(err)
	rep.Pool = pool
	var e ending
	done := concurrency.NewMark()
	concurrency.Go(func() {
		e = n.exchange(rep, c, clock.Minute)
		done.Set()
	})
	far, err := l.Accept()
	is.NoErr(err)
	defer far.Close()
	var b [1]byte
	_, err = far.Read(b[:]) // it is on its way, and far too long to leave at once
	is.NoErr(err)
	n.end(codes.ClientLeft)
	is.True(done.Wait(20 * clock.Second))
	is.Equal(e, deserted)
}

// ORDER: a stream that began is not taken up behind a piece without an id.
func TestNoPieceToGoOnFrom(t *testing.T) {
	is := is.New(t)
	p := standin.Raw(sealed + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n5\r\ndata:")
	g := newRig(t, p, p)
	r, err := g.ask("/resume/", "id1")
	is.NoErr(err)
	is.True(!r.Whole)
	is.Equal(r.Body, "data: a\n\n")
	is.Equal(g.arrivals(), 1)
}

// Requests that come behind one another are answered in their order, each with
// its own answer.
func TestPipelined(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	k := standin.Call(g.addr)
	defer k.Close()
	one := "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id%d\r\nContent-Length: 0\r\n\r\n"
	k.Put(fmt.Sprintf(one+one+one, 0, 1, 2))
	for i := range 3 {
		r, err := k.Get()
		is.NoErr(err)
		is.Equal(r.Body, fmt.Sprintf("body of id%d", i))
	}
	is.Equal(g.arrivals(), 3)
}

// A client that leaves while its request runs and one that comes next share no
// connection to the replica: what the first run still says reaches nobody.
func TestClientAndNext(t *testing.T) {
	is := is.New(t)
	in, out, gone := concurrency.NewMark(), concurrency.NewMark(), concurrency.NewMark()
	g := newRig(t, func(w net.Conn, q standin.Got) bool {
		if q.ID != "first" {
			return standin.Well(w, q)
		}
		in.Set()
		out.Wait(20 * clock.Second)
		_ = standin.Say(w, "next", 200, standin.Seal, "not yours") // the worst: under the other's id
		gone.Set()
		return false
	})
	k := standin.Call(g.addr)
	k.Put("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: first\r\nContent-Length: 0\r\n\r\n")
	is.True(in.Wait(20 * clock.Second))
	k.Close()
	until(t, "the end of the first", func() bool { return g.r.Active() == 0 })
	out.Set()
	is.True(gone.Wait(20 * clock.Second))
	r, err := g.ask("/unsafe/", "next")
	is.NoErr(err)
	is.Equal(r.Body, "body of next")
	is.Equal(g.reps[0].Conns(), 2)
}
