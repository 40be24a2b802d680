package pick

import (
	"sort"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

// Ask is what a request wants of a replica.
type Ask struct {
	Service word.Service
	Chain   Chain
	Sticky  bool
	Tokens  int64
	Draw    uint64
	Not     []word.Replica

	// Promise is filled by Choose.
	Promise Promise
}

func (a *Ask) not(id word.Replica) bool {
	for _, n := range a.Not {
		if n == id {
			return true
		}
	}
	return false
}

func (f *Fleet) session(c Chain) Chain {
	if len(c) == 0 {
		return nil
	}
	if _, ok := f.seen.get(c.Last()); !ok {
		f.seen.put(c.Last(), struct{}{}, 1)
		c = c[:len(c)-1]
	} else {
		f.seen.put(c.Last(), struct{}{}, 1)
	}
	for i := 0; i+1 < len(c); i++ {
		k, ok := f.trunks.get(c[i].Hash)
		if !ok {
			k = &fork{child: c[i+1].Hash}
		} else if k.child != c[i+1].Hash {
			k.many = true
		}
		f.trunks.put(c[i].Hash, k, 1)
	}
	return c
}

func (f *Fleet) trunk(h uint64) bool {
	k, ok := f.trunks.get(h)
	return ok && k.many
}

func (f *Fleet) open(r *Rep, a *Ask) bool {
	return !r.gone && r.InService() && !f.evac[r.Zone] && !a.not(r.ID)
}

// Choose names the replica of a request and takes a place there. Done must be
// called with what came of it.
func (f *Fleet) Choose(a *Ask) (*Rep, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clk.Now()
	var fit []*Rep
	for _, r := range f.services[a.Service] {
		if f.open(r, a) {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 {
		return nil, code.New(code.NoReplica, "%s", a.Service)
	}
	share, conns := f.coldShare(a.Service), f.connShare(a.Service)
	var able []*Rep
	for _, r := range fit {
		if r.up(now) && r.spare(now, share) && r.running < conns && !r.full(now) {
			able = append(able, r)
		}
	}
	var s Chain
	if a.Sticky {
		s = f.session(a.Chain)
	}
	if len(able) == 0 {
		return nil, code.New(code.QueueFull, "%s", a.Service)
	}
	var r *Rep
	if len(s) > 0 {
		r = f.bound(a, s, able, now)
	} else {
		r = f.least(a, able, now)
	}
	r.running++
	r.since++
	r.pend += a.Tokens
	r.sent = append(r.sent, now)
	a.Promise = r.promise(a.Chain, a.Tokens, now)
	r.took(a.Chain, now)
	return r, nil
}

func (f *Fleet) bound(a *Ask, s Chain, able []*Rep, now clk.Tick) *Rep {
	key := s.Last()
	order := make([]*Rep, len(able))
	copy(order, able)
	score := map[*Rep]int64{}
	for _, r := range order {
		score[r] = r.overlap(s, f.trunk)
	}
	sort.Slice(order, func(i, j int) bool {
		x, y := order[i], order[j]
		if score[x] != score[y] {
			return score[x] > score[y]
		}
		return rank(key, x.ID) > rank(key, y.ID)
	})
	b, ok := f.sessions.get(key)
	if ok && now.Sub(b.used) >= f.Idle {
		ok = false
		reaped.Add(1)
	}
	if ok {
		if h := f.reps[b.rep]; h == nil || !f.open(h, &Ask{}) {
			ok = false
			moved.Add(1)
		}
	}
	if !ok {
		b = &binding{}
	}
	b.used, b.size = now, s.Tokens()
	f.sessions.put(key, b, 1)
	if ok {
		for i, r := range order {
			if r.ID == b.rep {
				copy(order[1:i+1], order[:i])
				order[0] = r
				break
			}
		}
	}
	r := f.cool(order, now)
	switch {
	case !ok:
		bound.Add(1)
		b.rep = order[0].ID
	case r.ID == b.rep:
		followed.Add(1)
	default:
		yielded.Add(1)
	}
	return r
}

func (f *Fleet) cool(order []*Rep, now clk.Tick) *Rep {
	sum := 0
	for _, r := range order {
		sum += r.press(now)
	}
	most := 3*sum/len(order) + 10
	for _, r := range order {
		if r.press(now) <= most {
			return r
		}
	}
	return order[0]
}

func (f *Fleet) least(a *Ask, able []*Rep, now clk.Tick) *Rep {
	cost := func(r *Rep) float64 {
		c := float64(r.press(now)) / float64(max(1, r.Slots))
		if r.Zone != f.Zone {
			c += 0.35
		}
		return c
	}
	best, low := able[0], 0.0
	for i, r := range able {
		c := cost(r)
		if i == 0 || c < low || (c == low && rank(a.Draw, r.ID) > rank(a.Draw, best.ID)) {
			best, low = r, c
		}
	}
	return best
}
