package sim

import (
	"net"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

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
