package sim

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

type host struct {
	n     *Net
	ip    string
	up    bool
	slow  clock.Span
	lost  float64
	open  map[ids.Addr]*listener
	boots int
}

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
