package feed

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

// Asker asks the keeper that a relay follows, and another one while that does not answer: it takes longer to tell
// that a keeper is gone for good than some questions can wait.
type Asker struct {
	Tail    *Tail
	Timeout clock.Span

	// failed is the followed keeper that did not answer, at a time; other is asked in its place.
	failed   ids.Addr
	failedAt clock.Tick
	other    ids.Addr
	peer     *rpc.Peer[consensus.Msg]
	// tried are those that did not answer either.
	tried map[ids.Addr]bool

	mu sync.Mutex
	// silent is since when no keeper has answered, 0 while one does.
	silent clock.Tick
}

// Ask asks one keeper; false if it did not answer. It is asked by one thread.
func (a *Asker) Ask(m consensus.Msg) (consensus.Msg, bool) {
	begun := clock.Now()
	answer, ok := a.ask(m)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case ok:
		a.silent = 0
	case a.silent == 0:
		a.silent = begun
	}
	return answer, ok
}

// Silent is for how long no keeper has answered, 0 while one does.
func (a *Asker) Silent() clock.Span {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent == 0 {
		return 0
	}
	return clock.Since(a.silent)
}

func (a *Asker) ask(m consensus.Msg) (consensus.Msg, bool) {
	at, p := a.Tail.followed()
	if p != nil && a.sound(at) {
		if answer, err := p.Call(m, a.Timeout); err == nil {
			return answer, true
		}
		a.failed, a.failedAt, a.tried = at, clock.Now(), map[ids.Addr]bool{at: true}
	}
	if !a.choose() {
		return consensus.Msg{}, false
	}
	answer, err := a.peer.Call(m, a.Timeout)
	if err != nil {
		a.tried[a.other] = true
		a.drop()
		return consensus.Msg{}, false
	}
	return answer, true
}

// sound tells whether the followed keeper may be asked: it is another than the one that failed, or has
// confirmed the feed since.
func (a *Asker) sound(at ids.Addr) bool {
	if a.failed == "" {
		return true
	}
	if at == a.failed && a.Tail.ConfirmedAt() <= a.failedAt {
		return false
	}
	a.failed, a.tried = "", nil
	a.drop()
	return true
}

// choose chooses another keeper, if there is none; after all have failed, it begins anew.
func (a *Asker) choose() bool {
	if a.peer != nil {
		return true
	}
	if a.tried == nil {
		a.tried = map[ids.Addr]bool{}
	}
	for _, addr := range a.Tail.order() {
		if !a.tried[addr] {
			a.other = addr
			a.peer = rpc.NewPeer[consensus.Msg](addr)
			a.peer.Far = func() bool { return a.Tail.far(addr) }
			return true
		}
	}
	clear(a.tried)
	return false
}

func (a *Asker) drop() {
	if a.peer != nil {
		a.peer.Close()
	}
	a.peer, a.other = nil, ""
}

// followed is the keeper that is followed, nil before the first.
func (t *Tail) followed() (ids.Addr, *rpc.Peer[consensus.Msg]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at, t.peer
}
