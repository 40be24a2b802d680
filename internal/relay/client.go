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
	conn     net.Conn
	reader   *bufio.Reader
	relay    *Relay
	left     atomic.Bool
	mu       sync.Mutex
	answered bool
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

func (k *Client) makeReader(most int) {
	if most+2 <= 16<<10 {
		k.reader = readers.Get().(*bufio.Reader)
		k.reader.Reset(k.conn)
		return
	}
	k.reader = bufio.NewReaderSize(k.conn, min(most, longestHead)+2)
}

func (k *Client) free() {
	if k.reader.Size() == 16<<10 {
		k.reader.Reset(nil)
		readers.Put(k.reader)
	}
}

func (k *Client) serve() {
	lim := configuration.Limits{}.Whole()
	if t := k.relay.View.Table(); t != nil {
		lim = t.Limits
	}
	k.makeReader(lim.HeadBytes)
	defer k.free()
	defer k.conn.Close()
	for {
		if t := k.relay.View.Table(); t != nil {
			lim = t.Limits
		}
		if !k.rest(clock.Now()) {
			return
		}
		k.deadline(clock.Now().Add(clock.Ms(lim.HeadMs)))
		q, err := httpmessage.ReadRequest(k.reader)
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
	for k.reader.Buffered() == 0 {
		until := used.Add(k.relay.View.Rest(used))
		k.deadline(until)
		if !k.relay.idle(k, true) {
			return k.firstAfterIntake()
		}
		_, err := k.reader.Peek(1)
		k.relay.idle(k, false)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case clock.Now() >= used.Add(k.relay.View.Rest(used)):
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
		if _, err := k.reader.Peek(1); err == nil {
			return true
		}
	}
	telemetry.CountEarlyEnd(telemetry.Closed, codes.Leaving)
	return false
}

// leaves waits for the client to leave, or for the read deadline. What the client
// sends meanwhile stays in the buffer; once that is full nobody can tell.
func (k *Client) leaves() bool {
	for k.reader.Buffered() < k.reader.Size() {
		_, err := k.reader.Peek(k.reader.Buffered() + 1)
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

func (k *Client) deadline(t clock.Tick) { _ = k.conn.SetReadDeadline(t.Deadline()) }

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
		if k.reader.Buffered() > 0 {
			k.write(response.Of(codes.HeadTooSlow, "").Last().Append(nil))
		}
	case errors.Is(err, io.ErrUnexpectedEOF):
		telemetry.Counter("client.cutshort").Add(1)
	}
}

func (k *Client) linger() {
	if t, ok := k.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	k.deadline(clock.Now().Add(300 * clock.Millisecond))
	_, _ = io.CopyN(io.Discard, k.reader, 1<<20)
}

func (k *Client) write(b []byte) bool {
	_ = k.conn.SetWriteDeadline(clock.Now().Add(writeTimeout).Deadline())
	_, err := k.conn.Write(b)
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
		if !k.relay.reserve(room) {
			k.turnAway(q, codes.QueueFull, begun)
			return false
		}
		defer k.relay.release(room)
	}
	if q.Expect && !q.None {
		k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	k.deadline(begun.Add(clock.Ms(lim.HeadMs + lim.IdleMs)))
	b := httpmessage.NewBody(k.reader, q.Framing)
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
	if !k.relay.inIntake(begun) {
		n.refuse(codes.Leaving)
		return false
	}
	k.relay.enter(n)
	defer k.relay.exit(n)
	if !k.relay.senders.Try(func() {
		n.run()
		k.mu.Lock()
		k.answered = true
		k.mu.Unlock()
		_ = k.conn.SetReadDeadline(clock.Past())
		n.done.Set()
	}) {
		n.refuse(codes.QueueFull)
		return !n.closeAfter
	}
	k.watch(n)
	return !n.closeAfter && !k.left.Load()
}

// watch waits for the end of a request, and abandons it if its client leaves
// before that.
func (k *Client) watch(n *Request) {
	_ = k.conn.SetReadDeadline(clock.NoDeadline())
	k.mu.Lock()
	over := k.answered
	k.mu.Unlock()
	if !over && k.leaves() {
		k.left.Store(true)
		n.end(codes.ClientLeft)
	}
	n.done.Wait(clock.Span(1<<62 - 1))
	k.mu.Lock()
	k.answered = false
	k.mu.Unlock()
}
