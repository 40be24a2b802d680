// Package standin holds stand-ins for the systems outside: replicas, the
// platform and clients. Tests use them; the daemons do not.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
)

// Got is a request as a replica received it.
type Got struct {
	ID, Method, URI, Host, Expect, LastEvent, Deadline, Body string
	Model, Tokens, Prefix                                    string
	// Tenants and Keys are all values of Tenant and X-Api-Key that came.
	Tenants, Keys []string
}

// Play answers one request; false closes the connection.
type Play func(w net.Conn, g Got) bool

// Replica is a stand-in for a replica.
type Replica struct {
	ID   ids.Replica
	Addr ids.Addr

	mu   sync.Mutex
	play Play
	got  []Got
	l    net.Listener
	cs   []net.Conn
	// early, if set, has requests answered before they are read.
	early *Early
	read  int
}

// Early is how a replica answers requests before it has read them, and reads on later.
type Early struct {
	// First is how many bytes of a body are read before the answer.
	First int
	// ReadOn is when the rest is read.
	ReadOn *concurrency.Mark
	// Within is how long ReadOn is waited for.
	Within clock.Span
}

// bodyMost bounds the bodies that a replica reads, in bytes.
const bodyMost = 1 << 24

// NewReplica starts a replica that answers with play.
func NewReplica(id ids.Replica, play Play) *Replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &Replica{ID: id, Addr: ids.Addr(l.Addr().String()), play: play, l: l}
	concurrency.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.cs = append(r.cs, c)
			r.mu.Unlock()
			concurrency.Go(func() { r.serve(c) })
		}
	})
	return r
}

// Close ends the replica.
func (r *Replica) Close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cs {
		_ = c.Close()
	}
}

// Set changes what the replica does.
func (r *Replica) Set(p Play) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.play = p
}

// AnswerEarly has requests answered before they are read.
func (r *Replica) AnswerEarly(e *Early) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.early = e
}

// Read is how many bytes of bodies were read.
func (r *Replica) Read() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// Conns is how many connections came.
func (r *Replica) Conns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cs)
}

// Got tells what came.
func (r *Replica) Got() []Got {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Got(nil), r.got...)
}

func (r *Replica) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		q, err := httpmessage.ReadRequest(br)
		if err != nil {
			return
		}
		body := httpmessage.NewBody(br, q.Framing)
		r.mu.Lock()
		early := r.early
		r.mu.Unlock()
		b, err := r.readBody(body, early)
		if err != nil {
			return
		}
		f := func(k string) string { return string(q.Field(k)) }
		g := Got{ID: f(httpmessage.AttemptID), Method: q.Method, URI: q.URI, Host: q.Host, Expect: f(httpmessage.Expected),
			LastEvent: f(httpmessage.LastEvent), Deadline: f(httpmessage.DeadlineMs), Body: string(b),
			Model: f(httpmessage.Model), Tokens: f(httpmessage.Tokens), Prefix: f(httpmessage.Prefix),
			Tenants: q.Values(httpmessage.Tenant), Keys: q.Values(httpmessage.APIKey)}
		r.mu.Lock()
		r.got = append(r.got, g)
		p := r.play
		r.mu.Unlock()
		if g.Expect != "" && g.Expect != string(r.ID) {
			if !Misdirected(c, g) {
				return
			}
			continue
		}
		if !p(c, g) {
			return
		}
		if early != nil {
			early.ReadOn.Wait(early.Within)
			if _, err := r.readBody(body, nil); err != nil {
				return
			}
		}
	}
}

// readBody reads a body, or no more than its beginning.
func (r *Replica) readBody(body *httpmessage.Body, early *Early) (b []byte, err error) {
	if early == nil {
		b, err = body.ReadAll(bodyMost)
	} else {
		b = make([]byte, early.First)
		_, err = io.ReadFull(body, b)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read += len(b)
	return b, err
}

// Say writes an answer of a status, more fields and a body.
func Say(w net.Conn, id string, status int, fields, body string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields, len(body), body)
	return err == nil
}

// Seal is the seal field of an answer.
const Seal = "Replica-Seal: s.1\r\n"

// Misdirected answers 421.
func Misdirected(w net.Conn, g Got) bool {
	return Say(w, g.ID, 421, "Not-Executed: 1\r\n", "")
}

// Well answers 200 with a body that names the try.
func Well(w net.Conn, g Got) bool { return Say(w, g.ID, 200, Seal, "body of "+g.ID) }

// Full answers that the request did not run.
func Full(w net.Conn, g Got) bool { return Say(w, g.ID, 503, "Not-Executed: 1\r\n", "") }

// Raw plays bytes as they are, ID standing for the try's, and closes.
func Raw(s string) Play {
	return func(w net.Conn, g Got) bool {
		_, _ = w.Write([]byte(strings.ReplaceAll(s, "ID", g.ID)))
		return false
	}
}

// Reset plays bytes as they are, ID standing for the try's, and resets the connection.
func Reset(s string) Play {
	return func(w net.Conn, g Got) bool {
		_, _ = w.Write([]byte(strings.ReplaceAll(s, "ID", g.ID)))
		if t, ok := w.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return false
	}
}

// Break reads and closes.
func Break(net.Conn, Got) bool { return false }

// Event is the text of one event.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// Stream plays events from the one after Last-Event-Id up to n, and breaks off
// after cut of them if cut is not 0, in the middle of the next.
func Stream(n, cut int) Play {
	return func(w net.Conn, g Got) bool {
		from := 1
		if g.LastEvent != "" {
			_, _ = fmt.Sscan(g.LastEvent, &from)
			from++
		}
		var b strings.Builder
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", g.ID, Seal)
		for i := from; i <= n; i++ {
			e := Event(i)
			if cut > 0 && i-from >= cut {
				fmt.Fprintf(&b, "%x\r\n%s", len(e), e[:len(e)/2])
				_, _ = w.Write([]byte(b.String()))
				return false
			}
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
		}
		b.WriteString("0\r\n\r\n")
		_, err := w.Write([]byte(b.String()))
		return err == nil
	}
}
