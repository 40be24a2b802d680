package keep

import (
	"sync"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/wire"
	"spoolswitch/internal/word"
)

// Net asks other keepers.
type Net interface {
	Ask(to word.Node, m Msg, timeout clk.Span) (Msg, bool)
}

// Wires is a Net over the wire.
type Wires struct {
	// Far, if set, tells whether a daemon is in another zone.
	Far   func(n word.Node) bool
	mu    sync.Mutex
	peers map[word.Node]*wire.Peer[Msg]
	shut  bool
}

// Ask sends m and waits for the answer.
func (w *Wires) Ask(to word.Node, m Msg, timeout clk.Span) (Msg, bool) {
	w.mu.Lock()
	if w.shut {
		w.mu.Unlock()
		return Msg{}, false
	}
	if w.peers == nil {
		w.peers = map[word.Node]*wire.Peer[Msg]{}
	}
	p := w.peers[to]
	if p == nil {
		p = wire.NewPeer[Msg](word.Addr(to))
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
	got  map[word.Node]Msg
	left int
	over bool
	mark *spawn.Mark
}

func (k *Keeper) askAll(to []word.Node, m Msg, timeout clk.Span, done func(map[word.Node]Msg) bool) map[word.Node]Msg {
	p := &poll{got: map[word.Node]Msg{}, left: len(to), mark: spawn.NewMark()}
	if len(to) == 0 {
		return p.got
	}
	m.From = k.Self
	at := clk.Now().Add(timeout)
	for _, n := range to {
		spawn.Go(func() {
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
	p.mark.Wait(clk.Until(at))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	return p.got
}

func oks(got map[word.Node]Msg) func(word.Node) bool {
	return func(n word.Node) bool { return got[n].OK }
}
