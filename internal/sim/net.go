package sim

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

const (
	window    = 64 << 10
	backlog   = 64
	unackedMs = 1500
	dialAgain = 400 * clock.Millisecond
)

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset by peer")
	errSilent  = errors.New("connection timed out")
)

// Net is the network of a world: hosts, and connections between them that
// carry bytes in order, late, or not at all.
type Net struct {
	w     *concurrency.World
	log   func(what string, kv ...any)
	hosts map[string]*host
	by    map[*concurrency.Process]*host
	cuts  map[[2]*host]int
	ends  []*end
	// Base and Jitter make the delay of one way.
	Base, Jitter clock.Span
	// Patient connections hold bytes for good, others are given up when
	// nothing is acknowledged for a while.
	Patient bool

	chunks, bytes, sent int64
}

type host struct {
	n     *Net
	ip    string
	up    bool
	slow  clock.Span
	lost  float64
	open  map[ids.Addr]*listener
	boots int
}

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

// NewNet makes an empty network.
func NewNet(w *concurrency.World, log func(string, ...any)) *Net {
	return &Net{w: w, log: log, hosts: map[string]*host{}, by: map[*concurrency.Process]*host{}, cuts: map[[2]*host]int{},
		Base: clock.Millisecond / 2, Jitter: clock.Millisecond}
}

func (n *Net) host(ip string) *host {
	h := n.hosts[ip]
	if h == nil {
		h = &host{n: n, ip: ip, up: true, open: map[ids.Addr]*listener{}}
		n.hosts[ip] = h
	}
	return h
}

func (n *Net) through(a, b *host) bool { return a == b || b.up && n.cuts[[2]*host{a, b}] == 0 }

// Cut adds or takes away one cut of the way from a to b.
func (n *Net) Cut(a, b *host, by int) {
	n.cuts[[2]*host{a, b}] += by
	n.stir()
}

func (n *Net) stir() {
	for _, e := range n.ends {
		if e.stalled && n.through(e.h, e.to.h) {
			e.stalled = false
			n.w.After(clock.Span(concurrency.Int64N(int64(300*clock.Millisecond))), e.pump)
		}
	}
}

func (n *Net) delay(a, b *host) clock.Span {
	d := n.Base + clock.Span(concurrency.Int64N(int64(n.Jitter)+1))
	for _, h := range []*host{a, b} {
		if h.slow > 0 {
			d += h.slow/2 + clock.Span(concurrency.Int64N(int64(h.slow)))
		}
	}
	return d
}

// Dial connects the host of the process that runs.
func (n *Net) Dial(a ids.Addr, timeout clock.Span) (net.Conn, error) {
	me := n.by[n.w.Seen()]
	ap, err := netip.ParseAddrPort(string(a))
	if err != nil || me == nil {
		return nil, errRefused
	}
	h := n.host(ap.Addr().String())
	till := n.w.Time() + timeout
	for {
		d := n.delay(me, h) + n.delay(h, me)
		if left := till - n.w.Time(); left <= d {
			clock.Sleep(left)
			return nil, os.ErrDeadlineExceeded
		}
		ok := n.through(me, h) && n.through(h, me)
		if !ok {
			clock.Sleep(min(dialAgain, till-n.w.Time()))
			continue
		}
		clock.Sleep(d)
		l := h.open[a]
		if l == nil || len(l.line) >= backlog {
			if l == nil && n.through(h, me) {
				return nil, errRefused
			}
			clock.Sleep(min(dialAgain, till-n.w.Time()))
			continue
		}
		c := n.newEnd(me, a)
		s := n.newEnd(h, a)
		c.to, s.to, s.served = s, c, true
		l.line = append(l.line, s)
		l.mark.Set()
		return c, nil
	}
}

func (n *Net) newEnd(h *host, a ids.Addr) *end {
	e := &end{n: n, h: h, boot: h.boots, addr: a, rmark: concurrency.NewMark(), wmark: concurrency.NewMark()}
	n.ends = append(n.ends, e)
	return e
}

func (n *Net) sweep() {
	keep := n.ends[:0]
	for _, e := range n.ends {
		if !e.gone() || !e.to.gone() {
			keep = append(keep, e)
		}
	}
	clear(n.ends[len(keep):])
	n.ends = keep
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
func (a hostAddr) String() string  { return string(a) }

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

type listener struct {
	h    *host
	a    ids.Addr
	line []*end
	mark *concurrency.Mark
	over bool
}

// Listen listens on the host of the process that runs.
func (n *Net) Listen(a ids.Addr) (net.Listener, error) {
	h := n.by[n.w.Seen()]
	if h == nil || h.open[a] != nil {
		return nil, errRefused
	}
	l := &listener{h: h, a: a, mark: concurrency.NewMark()}
	h.open[a] = l
	return l, nil
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.over {
			return nil, net.ErrClosed
		}
		if len(l.line) > 0 {
			e := l.line[0]
			l.line = l.line[1:]
			e.when = clock.Now()
			return e, nil
		}
		l.mark.Wait(clock.Minute)
	}
}

// Close ends the listening.
func (l *listener) Close() error {
	if l.over || l.h.n.w.Seen().Dead() {
		return net.ErrClosed
	}
	l.over = true
	delete(l.h.open, l.a)
	l.mark.Set()
	return nil
}

// Addr is where it listens.
func (l *listener) Addr() net.Addr { return hostAddr(l.a) }

// kill closes all that the host's process had open, as a kernel does.
func (h *host) kill() {
	for _, e := range append([]*end(nil), h.n.ends...) {
		if e.h == h && !e.gone() {
			e.send(chunk{rst: len(e.in) > 0, fin: true})
			e.closed, e.in = true, nil
		}
	}
	h.open = map[ids.Addr]*listener{}
	h.n.sweep()
}

// off takes the host's power; nobody is told.
func (h *host) off() {
	h.up = false
	h.boots++
	for _, e := range h.n.ends {
		if e.h == h {
			e.rmark.Set() // what is on its way goes on
		}
	}
	h.open = map[ids.Addr]*listener{}
	h.n.sweep()
}

func (h *host) on() {
	h.up = true
	h.n.stir()
}

// reset breaks all connections of the host.
func (h *host) reset() {
	for _, e := range append([]*end(nil), h.n.ends...) {
		if e.h == h || e.to.h == h {
			e.fail(errReset)
		}
	}
	h.n.sweep()
}

var (
	_ rpc.Fabric = (*Net)(nil)
	_ rpc.Other  = (*end)(nil)
)
