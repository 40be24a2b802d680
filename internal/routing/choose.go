package routing

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
)

// Ask is what a request wants of a replica.
type Ask struct {
	Service ids.Service
	Chain   kvindex.Chain
	Sticky  bool
	Tokens  int64
	// Output is how many tokens are to be sent out at most, 0 if that is not known.
	Output int64
	// Weight is filled by Choose: what tells a heavy request from the rest.
	Weight int64
	Draw   uint64
	Not    []ids.Replica
	// Route names the route that the request came on, and Repeated says that it was sent
	// to a replica before.
	Route    string
	Repeated bool

	// Promise is filled by Choose.
	Promise Promise

	attempt *evidence.Attempt
	// arrived says that the request was counted as one for its service.
	arrived bool
}

func (a *Ask) not(id ids.Replica) bool {
	for _, n := range a.Not {
		if n == id {
			return true
		}
	}
	return false
}

func (f *Fleet) session(c kvindex.Chain) kvindex.Chain {
	if len(c) == 0 {
		return nil
	}
	if _, ok := f.seen.Get(c.Last()); !ok {
		f.seen.Put(c.Last(), struct{}{}, 1)
		c = c[:len(c)-1]
	} else {
		f.seen.Put(c.Last(), struct{}{}, 1)
	}
	for i := 0; i+1 < len(c); i++ {
		k, ok := f.trunks.Get(c[i].Hash)
		if !ok {
			k = &fork{child: c[i+1].Hash}
		} else if k.child != c[i+1].Hash {
			k.many = true
		}
		f.trunks.Put(c[i].Hash, k, 1)
	}
	return c
}

func (f *Fleet) trunk(h uint64) bool {
	k, ok := f.trunks.Get(h)
	return ok && k.many
}

func (f *Fleet) open(r *Rep, a *Ask) bool {
	return !r.gone && r.InService() && !f.evac[r.Zone] && !a.not(r.ID) && r.track <= candidate
}

// Choose names the replica of a request and takes a place there. Done must be
// called with what came of it.
func (f *Fleet) Choose(a *Ask) (*Rep, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	var session kvindex.Chain
	if a.Sticky {
		session = f.session(a.Chain)
	}
	a.Weight = a.Tokens
	if len(session) > 0 {
		a.Weight = session.Tokens()
	}
	r := f.place(a, session, now)
	if r == nil {
		return nil, f.refusal(a)
	}
	r.running++
	r.since++
	r.pend += a.Tokens
	r.sent = append(r.sent, now)
	a.attempt = nil
	a.Promise = r.promise(a.Chain, a.Tokens, now)
	if len(session) > 0 {
		f.Desk.Index.Lookup(r.stream.Epoch, a.Chain, session.Tokens())
	}
	r.view.Speculate(a.Chain)
	return r, nil
}

// refusal says why no replica can take a request now: none may be sent to at all, or all
// that may are full.
func (f *Fleet) refusal(a *Ask) error {
	for _, r := range f.services[a.Service] {
		if f.open(r, a) || r.track == unconfirmed {
			return codes.New(codes.QueueFull, "%s", a.Service)
		}
	}
	return codes.New(codes.NoReplica, "%s", a.Service)
}

// place finds the replica of a request among those that can take it now; nil if none can.
func (f *Fleet) place(a *Ask, session kvindex.Chain, now clock.Tick) *Rep {
	v := f.active(a.Service)
	if v == nil {
		return f.among(f.takers(a, now, nil), a, session, now)
	}
	v.arrived(a)
	if r := f.filler(v, a, now); r != nil {
		v.sentTo(r, a)
		return r
	}
	order := f.orderOf(v, a, session, now)
	r := f.onTrack(order.first, order.sample, a, session, now)
	if r == nil && (order.second || order.first == stable && !f.anyStable(a)) {
		r = f.onTrack(other(order.first), order.sample, a, session, now)
	}
	if r != nil {
		v.sentTo(r, a)
	}
	return r
}

// anyStable tells whether a stable replica is listed: without any the candidate is all
// there is.
func (f *Fleet) anyStable(a *Ask) bool {
	for _, r := range f.services[a.Service] {
		if r.track == stable && r.InService() {
			return true
		}
	}
	return false
}

func other(t track) track {
	if t == stable {
		return candidate
	}
	return stable
}

// onTrack finds the replica of a request on a track, or among the candidate's that serve the
// sample; nil if none can take it.
func (f *Fleet) onTrack(t track, sample bool, a *Ask, session kvindex.Chain, now clock.Tick) *Rep {
	sample = sample && t == candidate
	able := f.takers(a, now, func(r *Rep) bool { return r.track == t && (!sample || r.sampled) })
	if sample && len(session) > 0 && len(able) > 0 {
		return f.ranked(able, session.Last(), now)
	}
	return f.among(able, a, session, now)
}

// filler is the replica that is being filled, if the request is one to fill it with, the bound
// leaves room and so does the replica; else nil.
func (f *Fleet) filler(v *versions, a *Ask, now clock.Tick) *Rep {
	if !v.fills(a) || a.Repeated || !f.inContact(now) || v.exposure.suspended() || !f.withinExposure(v) {
		return nil
	}
	for _, r := range f.takers(a, now, func(r *Rep) bool { return r.filling }) {
		waits := now.Sub(r.loadAt) <= loadFresh && r.load.Waiting > r.load.Running+fillWaiting
		if r.running < f.fillShare(r, v.state.Number) && r.press(now) < r.Slots && !waits {
			return r
		}
	}
	return nil
}

// ranked is the first of the replicas by rendezvous that is not hot. The session's binding
// to a stable replica stays as it is.
func (f *Fleet) ranked(able []*Rep, key uint64, now clock.Tick) *Rep {
	sum := 0
	for _, r := range able {
		sum += r.press(now)
	}
	var first best
	for _, r := range able {
		cool := int64(0)
		if r.press(now) <= hotFrom(sum, len(able)) {
			cool = 1
		}
		first.see(r, cool, true, r.rank(key))
	}
	return first.rep
}

func (f *Fleet) among(able []*Rep, a *Ask, session kvindex.Chain, now clock.Tick) *Rep {
	switch {
	case len(able) == 0:
		return nil
	case len(session) > 0:
		return f.bound(a, session, able, now)
	}
	return f.least(a, able, now)
}

// takers are the replicas that can take a request now; ejected ones only if there are no
// others. The slice is good until the next call.
func (f *Fleet) takers(a *Ask, now clock.Tick, only func(*Rep) bool) []*Rep {
	cold, conns := f.coldBound(a.Service), f.connShare(a.Service)
	able, spares := f.able[:0], f.spares[:0]
	for _, r := range f.services[a.Service] {
		if r.track == unconfirmed {
			r.track = f.trackOf(f.versionsOf(a.Service), r.software())
		}
		if !f.open(r, a) || only != nil && !only(r) {
			continue
		}
		if !r.up(now) || !f.spare(r, now, cold) || r.running >= conns || r.full(now) {
			continue
		}
		if r.in(now) {
			able = append(able, r)
		} else {
			spares = append(spares, r)
		}
	}
	f.able, f.spares = able, spares
	if len(able) == 0 {
		return spares
	}
	return able
}

// hotFrom is the load beyond which a replica is hot, and others are looked for: over three
// times the mean, and ten more.
func hotFrom(sum, n int) int { return 3*sum/n + 10 }

// best is the first of an order of replicas that is never made whole.
type best struct {
	rep   *Rep
	score int64
	mine  bool
	rank  uint64
}

func (b *best) see(r *Rep, score int64, mine bool, rank uint64) {
	if b.rep != nil {
		switch {
		case score != b.score:
			if score < b.score {
				return
			}
		case mine != b.mine:
			if !mine {
				return
			}
		case rank <= b.rank:
			return
		}
	}
	b.rep, b.score, b.mine, b.rank = r, score, mine, rank
}

// bound places a turn of a session. Candidates are ordered by the overlap that
// the index trusts, then by the pool that the request belongs to, then by
// rendezvous. A replica whose view is in quarantine
// has no overlap, and stands behind all others while it bears more than the
// mean load.
func (f *Fleet) bound(a *Ask, s kvindex.Chain, able []*Rep, now clock.Tick) *Rep {
	key := s.Last()
	sum := 0
	for _, r := range able {
		sum += r.press(now)
	}
	most := hotFrom(sum, len(able))
	b, ok := f.sessions.Get(key)
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
	f.sessions.Put(key, b, 1)
	heavy, pools := f.heavy(a)
	var first, cool best
	for _, r := range able {
		p := r.press(now)
		if ok && r.ID == b.rep {
			if p <= most {
				followed.Add(1)
				return r
			}
			first = best{r, 1 << 62, true, 0}
			continue
		}
		score, trusted := r.overlap(s, f.trunk)
		if !trusted && p*len(able) > sum {
			score = -1
		}
		mine, rank := !pools || r.prefill == heavy, r.rank(key)
		first.see(r, score, mine, rank)
		if p <= most {
			cool.see(r, score, mine, rank)
		}
	}
	r := cool.rep
	if r == nil {
		r = first.rep
	}
	switch {
	case !ok:
		bound.Add(1)
		b.rep = first.rep.ID
	case r.ID == b.rep:
		followed.Add(1)
	default:
		yielded.Add(1)
	}
	return r
}

const poolApart = 0.5

func (f *Fleet) least(a *Ask, able []*Rep, now clock.Tick) *Rep {
	heavy, pools := f.heavy(a)
	cost := func(r *Rep) float64 {
		c := float64(r.press(now)) / float64(max(1, r.Slots))
		if r.Zone != f.Zone {
			c += 0.35
		}
		if pools && r.prefill != heavy {
			c += poolApart
		}
		return c
	}
	best, low := able[0], 0.0
	for i, r := range able {
		c := cost(r)
		if i == 0 || c < low || (c == low && r.rank(a.Draw) > best.rank(a.Draw)) {
			best, low = r, c
		}
	}
	return best
}
