package feed

import (
	"maps"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

// following is how one keeper is followed. What the keeper says of itself
// counts only as of the moment when it was asked.
type following struct {
	mu    sync.Mutex
	mark  *concurrency.Mark
	begun clock.Tick
	fresh clock.Tick
	lost  bool
	over  bool
	// away says that the keeper named one of the relay's own zone.
	away   bool
	asked  clock.Tick
	answer consensus.Msg
}

func (t *Tail) follow(a ids.Addr) bool {
	p := rpc.NewPeer[consensus.Msg](a)
	p.Far = func() bool { return t.far(a) }
	defer p.Close()
	f := &following{mark: concurrency.NewMark(), begun: clock.Now()}
	t.mu.Lock()
	m := consensus.Msg{Kind: consensus.Follow, From: t.Self, Life: t.life, Num: t.num, Zone: t.Zone, Addr: t.Addr, Places: t.had(), Stray: len(t.zones) == 0}
	t.mu.Unlock()
	end, err := p.Stream(m, firstWait, func(m consensus.Msg, ok bool) {
		if ok {
			t.told(m)
		}
		if ok && m.Greeting {
			f.greeted(!t.home(a))
			return
		}
		whole := !ok || !m.Fresh || t.news(a, m)
		f.mu.Lock()
		switch {
		case !ok || !whole:
			f.lost = true
		case m.Fresh && f.fresh == 0:
			f.fresh = f.begun
		case !m.Fresh && (f.fresh != 0 || m.Code == codes.NotVoting):
			f.lost = true
		}
		f.mu.Unlock()
		t.count(f)
		f.mark.Set()
	})
	if err != nil {
		t.avoid(a)
		return false
	}
	defer end()
	defer f.end()
	was := false
	wait := firstWait
	for {
		f.mark.Wait(wait)
		f.mu.Lock()
		gone, l, away := f.lost, f.fresh, f.away
		f.mu.Unlock()
		if away {
			return true
		}
		if l != 0 && !was {
			was = true
			if !t.home(a) {
				return true
			}
			telemetry.State("following", "keeper", a)
			t.mu.Lock()
			t.peer = p
			t.mu.Unlock()
			concurrency.Go(func() { t.confirm(p, f) })
		}
		if gone || (l == 0 && clock.Since(f.begun) > firstWait) || (l != 0 && clock.Since(l) > t.stale()) {
			t.avoid(a)
			if was {
				telemetry.State("keeper left", "keeper", a, "lost", gone)
			}
			return was
		}
		wait = firstWait
		if l != 0 {
			wait = max(clock.Until(l.Add(t.stale())), 0) + clock.Millisecond
		}
	}
}

func (t *Tail) avoid(a ids.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bad == nil {
		t.bad = map[ids.Addr]clock.Tick{}
	}
	maps.DeleteFunc(t.bad, func(_ ids.Addr, at clock.Tick) bool { return clock.Since(at) >= avoid })
	t.bad[a] = clock.Now()
}

func (f *following) greeted(away bool) {
	f.mu.Lock()
	f.away = away
	f.mu.Unlock()
	f.mark.Set()
}

func (f *following) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = true
}

// confirm asks the keeper again and again whether what it feeds is current,
// until it is followed no more.
func (t *Tail) confirm(p *rpc.Peer[consensus.Msg], f *following) {
	for {
		f.mu.Lock()
		over := f.over
		f.mu.Unlock()
		if over {
			p.Close()
			return
		}
		asked := clock.Now()
		a, err := p.Call(consensus.Msg{Kind: consensus.Confirm, Left: t.stale()}, t.stale())
		f.mu.Lock()
		switch {
		case f.over || err != nil:
		case a.OK:
			f.asked, f.answer = asked, a
		case a.Code == codes.NoCall: // of the release before: its feed has to say it all
			f.fresh = asked
		}
		f.mu.Unlock()
		if err == nil && a.OK {
			t.Heard(a.Count, a.ListAge)
		}
		t.count(f)
		f.mark.Set()
		clock.Sleep(max(clock.Until(asked.Add(confirmPause)), retryPause))
	}
}

// count takes a confirmation in once this relay has been fed all that the
// keeper knew at that time.
func (t *Tail) count(f *following) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.asked == 0 || f.answer.Life != t.life || t.num < f.answer.Num {
		return
	}
	f.fresh, t.fresh = max(f.fresh, f.asked), max(t.fresh, f.asked)
}
