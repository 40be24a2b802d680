package sim

import (
	"errors"
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

var (
	_ rpc.Fabric = (*Net)(nil)
	_ rpc.Other  = (*end)(nil)
)
