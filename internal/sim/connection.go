package sim

import (
	"io"
	"net"
	"os"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

type chunk struct {
	b   []byte
	fin bool
	rst bool
	at  clock.Span
}

// end is one end of a connection, with what is under way from it.
type end struct {
	n      *Net
	h      *host
	boot   int
	addr   ids.Addr
	to     *end
	served bool

	q       []chunk
	flying  int
	pumping bool
	stalled bool
	acks    uint64

	in     []byte
	eof    bool
	err    error
	closed bool
	when   clock.Tick
	rmark  *concurrency.Mark
	wmark  *concurrency.Mark
	rd, wd clock.Moment
}

// gone tells whether nobody holds the end any more.
func (e *end) gone() bool { return e.closed || e.err != nil || e.boot != e.h.boots }

func (e *end) send(c chunk) {
	last := clock.Span(0)
	if len(e.q) > 0 {
		last = e.q[len(e.q)-1].at
	}
	c.at = max(last, e.n.w.Time()+e.n.delay(e.h, e.to.h))
	e.q = append(e.q, c)
	e.n.sent++
	e.flying += len(c.b)
	if !e.pumping && !e.stalled {
		e.pumping = true
		e.n.w.After(c.at-e.n.w.Time(), e.pump)
	}
}

// pump brings what is due to the other end.
func (e *end) pump() {
	e.pumping = false
	for len(e.q) > 0 {
		if !e.n.through(e.h, e.to.h) {
			if e.boot != e.h.boots {
				e.q = nil // nobody is left to send it again
				return
			}
			e.stalled = true
			e.doubt()
			return
		}
		c := e.q[0]
		if d := c.at - e.n.w.Time(); d > 0 {
			e.pumping = true
			e.n.w.After(d, e.pump)
			return
		}
		e.q = e.q[1:]
		e.flying -= len(c.b)
		e.to.take(c)
		if e.err != nil {
			e.q = nil
			return
		}
		e.wmark.Set()
		if e.n.through(e.to.h, e.h) {
			e.acks++
		} else {
			e.doubt()
		}
	}
}

// doubt gives the connection up unless something is acknowledged soon.
func (e *end) doubt() {
	if e.n.Patient || e.gone() {
		return
	}
	acks := e.acks
	e.n.w.After(unackedMs*clock.Millisecond, func() {
		if e.acks == acks && !e.gone() && !(e.n.through(e.h, e.to.h) && e.n.through(e.to.h, e.h)) {
			e.fail(errSilent)
		}
	})
}

func (e *end) take(c chunk) {
	if c.rst {
		e.fail(errReset)
		return
	}
	if e.gone() {
		if e.n.through(e.h, e.to.h) {
			e.to.fail(errReset)
		}
		return
	}
	e.n.chunks++
	e.n.bytes += int64(len(c.b))
	if !e.served && e.to.h.lost > 0 && float64(concurrency.IntN(1000))/1000 < e.to.h.lost {
		e.n.log("answer lost", "from", e.to.h.ip, "to", e.h.ip)
		e.to.fail(errReset)
		e.fail(errReset)
		return
	}
	e.in = append(e.in, c.b...)
	e.eof = e.eof || c.fin
	e.rmark.Set()
}

func (e *end) fail(err error) {
	if e.err != nil {
		return
	}
	e.err, e.in, e.q = err, nil, nil
	e.rmark.Set()
	e.wmark.Set()
}

func timeLeft(w *concurrency.World, m clock.Moment) clock.Span {
	if d, ok := w.Left(m); ok {
		return d
	}
	return 1 << 62
}

// Read reads what has come.
func (e *end) Read(b []byte) (int, error) {
	for {
		switch {
		case e.closed:
			return 0, net.ErrClosed
		case len(e.in) > 0:
			k := copy(b, e.in)
			e.in = e.in[k:]
			if len(e.in) == 0 {
				e.in = nil
			}
			e.to.wmark.Set()
			return k, nil
		case e.err != nil:
			return 0, e.err
		case e.eof:
			return 0, io.EOF
		case timeLeft(e.n.w, e.rd) <= 0:
			return 0, os.ErrDeadlineExceeded
		}
		e.rmark.Wait(timeLeft(e.n.w, e.rd))
	}
}

// Write sends b, and waits while the window is full.
func (e *end) Write(b []byte) (int, error) {
	n := 0
	for {
		switch {
		case e.closed:
			return n, net.ErrClosed
		case e.err != nil:
			return n, e.err
		case len(b) == 0:
			return n, nil
		case timeLeft(e.n.w, e.wd) <= 0:
			return n, os.ErrDeadlineExceeded
		}
		if room := window - e.flying - len(e.to.in); room > 0 {
			k := min(room, len(b))
			e.send(chunk{b: append([]byte(nil), b[:k]...)})
			b = b[k:]
			n += k
			continue
		}
		e.wmark.Wait(timeLeft(e.n.w, e.wd))
	}
}

// Close ends the connection from this side.
func (e *end) Close() error {
	if e.closed || e.n.w.Seen().Dead() {
		return net.ErrClosed
	}
	e.shut()
	return nil
}

func (e *end) shut() {
	if e.closed {
		return
	}
	if e.err == nil {
		e.send(chunk{fin: true, rst: len(e.in) > 0})
	}
	e.closed, e.in = true, nil
	e.rmark.Set()
	e.wmark.Set()
	e.n.sweep()
}

// Gone tells whether the other end has closed the connection.
func (e *end) Gone() bool { return e.closed || e.err != nil || e.eof && len(e.in) == 0 }

// Accepted is when the connection was accepted here.
func (e *end) Accepted() clock.Tick { return e.when }

type hostAddr string

func (a hostAddr) Network() string { return "tcp" }

func (a hostAddr) String() string { return string(a) }

// LocalAddr names this end's host.
func (e *end) LocalAddr() net.Addr { return hostAddr(e.h.ip + ":0") }

// RemoteAddr names the other end's host.
func (e *end) RemoteAddr() net.Addr { return hostAddr(e.to.h.ip + ":0") }

// SetDeadline bounds reads and writes.
func (e *end) SetDeadline(t clock.Moment) error {
	_ = e.SetReadDeadline(t)
	return e.SetWriteDeadline(t)
}

// SetReadDeadline bounds reads.
func (e *end) SetReadDeadline(t clock.Moment) error {
	e.rd = t
	e.rmark.Set()
	return nil
}

// SetWriteDeadline bounds writes.
func (e *end) SetWriteDeadline(t clock.Moment) error {
	e.wd = t
	e.wmark.Set()
	return nil
}
