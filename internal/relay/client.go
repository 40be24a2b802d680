package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/response"
	"spoolswitch/internal/telemetry"
)

// Client is a client's connection.
type Client struct {
	c    net.Conn
	br   *bufio.Reader
	r    *Relay
	gone atomic.Bool
	mu   sync.Mutex
	dead bool
	// served tells that a request has been read on the connection.
	served bool
	// stalled tells that a write was not taken in time.
	stalled bool
}

const (
	writeTimeout = 10 * clock.Second
	longestHead  = 64 << 10
	chunkedRoom  = 256 << 10
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 16<<10) }}

func (k *Client) reader(most int) {
	if most+2 <= 16<<10 {
		k.br = readers.Get().(*bufio.Reader)
		k.br.Reset(k.c)
		return
	}
	k.br = bufio.NewReaderSize(k.c, min(most, longestHead)+2)
}

func (k *Client) free() {
	if k.br.Size() == 16<<10 {
		k.br.Reset(nil)
		readers.Put(k.br)
	}
}

func (k *Client) serve() {
	lim := configuration.Limits{}.Whole()
	if t := k.r.View.Table(); t != nil {
		lim = t.Limits
	}
	k.reader(lim.HeadBytes)
	defer k.free()
	defer k.c.Close()
	for {
		if t := k.r.View.Table(); t != nil {
			lim = t.Limits
		}
		if !k.rest(clock.Now()) {
			return
		}
		k.deadline(clock.Now().Add(clock.Ms(lim.HeadMs)))
		q, err := httpmessage.ReadRequest(k.br)
		if err != nil {
			k.refuse(err)
			return
		}
		k.served = true
		if !k.request(q, lim) {
			return
		}
	}
}

// rest waits for the next request. A connection that was used at a moment is not
// closed while any configuration since allowed it to rest, unless the relay
// leaves; nothing of a request that comes then has been read.
func (k *Client) rest(used clock.Tick) bool {
	for k.br.Buffered() == 0 {
		until := used.Add(k.r.View.Rest(used))
		k.deadline(until)
		if !k.r.idle(k, true) {
			return k.firstAfterIntake()
		}
		_, err := k.br.Peek(1)
		k.r.idle(k, false)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case clock.Now() >= used.Add(k.r.View.Rest(used)):
			telemetry.CountEarlyEnd(telemetry.Closed, codes.IdleOver)
			return false
		}
	}
	return true
}

// firstAfterIntake waits for the request of a connection that is closing before it
// has brought one, so that it can be refused; connections that have brought one
// before are closed.
func (k *Client) firstAfterIntake() bool {
	if !k.served {
		k.deadline(clock.Now().Add(firstRequest))
		if _, err := k.br.Peek(1); err == nil {
			return true
		}
	}
	telemetry.CountEarlyEnd(telemetry.Closed, codes.Leaving)
	return false
}

// leaves waits for the client to leave, or for the read deadline. What the client
// sends meanwhile stays in the buffer; once that is full nobody can tell.
func (k *Client) leaves() bool {
	for k.br.Buffered() < k.br.Size() {
		_, err := k.br.Peek(k.br.Buffered() + 1)
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

func (k *Client) deadline(t clock.Tick) { _ = k.c.SetReadDeadline(t.Deadline()) }

func (k *Client) refuse(err error) {
	var f *codes.Fault
	switch {
	case errors.As(err, &f):
		telemetry.Counter("client.malformed").Add(1)
		k.write(response.Of(f.Code, f.Text).Last().Append(nil))
		k.linger()
	case errors.Is(err, os.ErrDeadlineExceeded):
		telemetry.Counter("client.slow").Add(1)
		telemetry.CountEarlyEnd(telemetry.Closed, codes.HeadTooSlow)
		if k.br.Buffered() > 0 {
			k.write(response.Of(codes.HeadTooSlow, "").Last().Append(nil))
		}
	case errors.Is(err, io.ErrUnexpectedEOF):
		telemetry.Counter("client.cutshort").Add(1)
	}
}

func (k *Client) linger() {
	if t, ok := k.c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	k.deadline(clock.Now().Add(300 * clock.Millisecond))
	_, _ = io.CopyN(io.Discard, k.br, 1<<20)
}

func (k *Client) write(b []byte) bool {
	_ = k.c.SetWriteDeadline(clock.Now().Add(writeTimeout).Deadline())
	_, err := k.c.Write(b)
	k.stalled = k.stalled || errors.Is(err, os.ErrDeadlineExceeded)
	return err == nil
}

func (k *Client) request(q *httpmessage.Request, lim configuration.Limits) bool {
	begun := clock.Now()
	room := q.Length
	if q.Chunked {
		room = int64(min(lim.BodyBytes, chunkedRoom))
	}
	if room <= int64(lim.BodyBytes) {
		if !k.r.reserve(room) {
			k.turnAway(q, codes.QueueFull, begun)
			return false
		}
		defer k.r.release(room)
	}
	if q.Expect && !q.None {
		k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	k.deadline(begun.Add(clock.Ms(lim.HeadMs + lim.IdleMs)))
	b := httpmessage.NewBody(k.br, q.Framing)
	body, err := b.ReadAll(lim.BodyBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		k.turnAway(q, codes.HeadTooSlow, begun)
		return false
	}
	if err != nil {
		k.refuse(err)
		return false
	}
	n := newRequest(k, q, body, begun)
	if !k.r.takes(begun) {
		n.refuse(codes.Leaving)
		return false
	}
	k.r.enter(n)
	defer k.r.exit(n)
	if !k.r.senders.Try(func() {
		n.run()
		k.mu.Lock()
		k.dead = true
		k.mu.Unlock()
		_ = k.c.SetReadDeadline(clock.Past())
		n.done.Set()
	}) {
		n.refuse(codes.QueueFull)
		return !n.last
	}
	k.watch(n)
	return !n.last && !k.gone.Load()
}

// watch waits for the end of a request, and abandons it if its client leaves
// before that.
func (k *Client) watch(n *Request) {
	_ = k.c.SetReadDeadline(clock.NoDeadline())
	k.mu.Lock()
	over := k.dead
	k.mu.Unlock()
	if !over && k.leaves() {
		k.gone.Store(true)
		n.end(codes.ClientLeft)
	}
	n.done.Wait(clock.Span(1<<62 - 1))
	k.mu.Lock()
	k.dead = false
	k.mu.Unlock()
}
