package consensus

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

// Net asks other keepers.
type Net interface {
	Ask(to ids.Node, m Msg, timeout clock.Span) (Msg, bool)
}

// Wires is a Net over the wire.
type Wires struct {
	// Far, if set, tells whether a daemon is in another zone.
	Far   func(n ids.Node) bool
	mu    sync.Mutex
	peers map[ids.Node]*rpc.Peer[Msg]
	shut  bool
}

// Ask sends m and waits for the answer.
func (w *Wires) Ask(to ids.Node, m Msg, timeout clock.Span) (Msg, bool) {
	w.mu.Lock()
	if w.shut {
		w.mu.Unlock()
		return Msg{}, false
	}
	if w.peers == nil {
		w.peers = map[ids.Node]*rpc.Peer[Msg]{}
	}
	p := w.peers[to]
	if p == nil {
		p = rpc.NewPeer[Msg](ids.Addr(to))
		if w.Far != nil {
			p.Far = func() bool { return w.Far(to) }
		}
		w.peers[to] = p
	}
	w.mu.Unlock()
	a, err := p.Call(m, timeout)
	return a, err == nil
}

// Close cuts all wires.
func (w *Wires) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range sorted(w.peers) {
		p.Close()
	}
	w.shut = true
}

type poll struct {
	mu   sync.Mutex
	got  map[ids.Node]Msg
	left int
	over bool
	mark *concurrency.Mark
}

func (k *Keeper) askAll(to []ids.Node, m Msg, timeout clock.Span, done func(map[ids.Node]Msg) bool) map[ids.Node]Msg {
	p := &poll{got: map[ids.Node]Msg{}, left: len(to), mark: concurrency.NewMark()}
	if len(to) == 0 {
		return p.got
	}
	m.From = k.Self
	at := clock.Now().Add(timeout)
	for _, n := range to {
		concurrency.Go(func() {
			var a Msg
			ok := true
			if n == k.Self {
				a = k.local(m)
			} else {
				a, ok = k.ask(n, m, timeout)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.left--
			if p.over {
				return
			}
			if ok {
				p.got[n] = a
			}
			if p.left == 0 || done(p.got) {
				p.over = true
				p.mark.Set()
			}
		})
	}
	p.mark.Wait(clock.Until(at))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	return p.got
}

func oks(got map[ids.Node]Msg) func(ids.Node) bool {
	return func(n ids.Node) bool { return got[n].OK }
}
