package routing

import (
	"maps"
	"math"
	"slices"
	"sort"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/telemetry"
)

// track is how a replica stands by the version of its software.
type track uint8

const (
	// stable replicas serve the service.
	stable track = iota
	// candidate replicas have the version that an order under way brings in.
	candidate
	// unconfirmed replicas have a version that is new in the list: an order may be under
	// way of which this router has not heard yet.
	unconfirmed
	// barred replicas have a version that was rejected, or that a completed order replaced.
	barred
)

const (
	// contactFresh is how old the confirmation of what this router knows may be for it
	// to send anything to a candidate that gets a part of the requests.
	contactFresh = 2 * clock.Second
	// exposureMargin is the part of the exposure bound that routers use.
	exposureMargin = 0.9
	// sampledLeast is the least number of replicas that serve the sample: one that is sick is to be
	// told from a bad version.
	sampledLeast = 3
	// sessionLag is by how many requests the chosen sessions of a route may fall behind its
	// weight before others go to the candidate.
	sessionLag = 1
	// exposedSends and exposedFailed are how many failures, of how many of its latest sends to
	// the candidate, make a router stop by its own evidence.
	exposedSends  = 12
	exposedFailed = 6
)

// versions is what a router knows of the versions of one service.
type versions struct {
	state *rollout.State
	// seen is when each version was first listed here.
	seen map[ids.Software]clock.Tick
	// replaced are the versions that were listed when an order was completed.
	replaced map[ids.Software]bool
	exposure exposure
	counts   rollout.Counts
	// began is when the order was taken, as far as is known here.
	began clock.Tick
	// holding is how long a request usually takes in all, by route.
	holding map[string]clock.Span
	// usualRatio is the usual output for each token of a prompt.
	usualRatio float64
	// typical is the usual time of a whole answer of the stable version, by route.
	typical map[string]float64
}

// exposure is what this router has sent to the candidate of the order under way.
type exposure struct {
	routes         map[string]*routeExposure
	total, exposed int64
	// latest are the outcomes of the latest sends to the candidate, a bit each, 1 for a failure.
	latest uint32
}

type routeExposure struct{ total, exposed int64 }

var (
	candidateSent      = telemetry.Counter("rollout.candidate-sent")
	candidateSuspended = telemetry.Counter("rollout.suspended")
)

func (f *Fleet) versionsOf(s ids.Service) *versions {
	v := f.versions[s]
	if v == nil {
		v = &versions{seen: map[ids.Software]clock.Tick{}, replaced: map[ids.Software]bool{}}
		if f.versions == nil {
			f.versions = map[ids.Service]*versions{}
		}
		f.versions[s] = v
	}
	return v
}

// RolledOut takes the state of a service's rollout in, which was put down age ago.
func (f *Fleet) RolledOut(service ids.Service, s *rollout.State, age clock.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.versionsOf(service)
	if v.state == nil || v.state.Number != s.Number {
		v.exposure, v.counts = exposure{}, rollout.Counts{Number: s.Number}
		v.began = clock.Now().Add(-s.Elapsed - age)
	}
	if s.Status == rollout.Completed && (v.state == nil || v.state.Number != s.Number || v.state.Active()) {
		for version := range v.seen {
			v.replaced[version] = true
		}
	}
	delete(v.replaced, s.Target)
	if v.state != nil && v.state.Weight() != s.Weight() {
		v.exposure.routes = nil // each weight holds from its own beginning on
	}
	v.state = s
	f.sortTracks()
}

// Confirmation sets where the router reads when what it knows was last confirmed to be current.
func (f *Fleet) Confirmation(at func() clock.Tick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = at
}

// ExposureBounds changes the figures of the exposure bound.
func (f *Fleet) ExposureBounds(share, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ExposureShare, f.ExposureSlack = share, slack
}

// sortTracks works out the track of each replica, and which of a candidate's replicas
// serve its part of the requests.
func (f *Fleet) sortTracks() {
	now := clock.Now()
	for service, reps := range f.services {
		v := f.versionsOf(service)
		first := len(v.seen) == 0
		listed := map[ids.Software]bool{}
		for _, r := range reps {
			listed[r.software()] = true
		}
		for version := range listed {
			if _, ok := v.seen[version]; ok {
				continue
			}
			v.seen[version] = now
			if first && len(listed) == 1 {
				v.seen[version] = 0
			}
			telemetry.State("version listed", "service", service, "version", version)
		}
		maps.DeleteFunc(v.seen, func(version ids.Software, _ clock.Tick) bool { return !listed[version] && len(listed) > 0 })
		for _, r := range reps {
			r.track = f.trackOf(v, r.software())
		}
		f.sample(v, reps)
	}
}

func (f *Fleet) trackOf(v *versions, version ids.Software) track {
	s := v.state
	switch {
	case s != nil && s.Active() && version == s.Target:
		return candidate
	case s != nil && version == s.Promoted:
		return stable
	case s != nil && s.IsRejected(version) || v.replaced[version]:
		return barred
	case f.confirmed != nil && f.confirmed() < v.seen[version]:
		return unconfirmed
	}
	return stable
}

// sample chooses the replicas of the candidate that serve its part of the requests, and the one
// that may be filled: all routers choose the same ones.
func (f *Fleet) sample(v *versions, reps []*Rep) {
	if v.state == nil || !v.state.Active() {
		return
	}
	var candidates []*Rep
	stables := 0
	for _, r := range reps {
		r.sampled, r.filling = false, false
		switch {
		case r.track == candidate && r.InService() && !f.evac[r.Zone]:
			candidates = append(candidates, r)
		case r.track == stable && r.InService():
			stables++
		}
	}
	number := v.state.Number
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].rank(number) > candidates[j].rank(number) })
	weight := v.state.Weight()
	n := int(math.Round(float64(stables) * float64(weight) / 100)) // as busy as stable replicas
	if len(candidates) > 1 && weight <= f.sampleMost() {
		candidates[0].filling = true
		candidates = candidates[1:]
	}
	for _, r := range candidates[:min(len(candidates), max(sampledLeast, n))] {
		r.sampled = true
	}
}

// sampleMost is the greatest weight, in percent, at which the exposure is bounded.
func (f *Fleet) sampleMost() int { return int(f.ExposureShare * 100) }

func (r *Rep) software() ids.Software { return ids.Software(r.Version) }

// active is what is known of a service's versions while an order is under way, else nil.
func (f *Fleet) active(s ids.Service) *versions {
	v := f.versions[s]
	if v == nil || v.state == nil || !v.state.Active() {
		return nil
	}
	return v
}

// order is where a request may go: to which track first, and whether to the other one
// if no replica of the first can take it.
type order struct {
	first  track
	second bool
	// sample says that of the candidate only the replicas that serve the sample may get it.
	sample bool
}

// orderOf tells where a request may go while an order is under way.
func (f *Fleet) orderOf(v *versions, a *Ask, session kvindex.Chain, now clock.Tick) order {
	weight := v.state.Weight()
	switch {
	case !f.inContact(now) || v.exposure.suspended():
		return order{first: stable, second: weight >= 100}
	case weight >= 100 || v.state.Unproven && f.switches(v, a, now):
		return order{first: candidate, second: true}
	case a.Repeated || !f.takes(v, a, session):
		return order{first: stable, sample: true}
	}
	return order{first: candidate, second: true, sample: true}
}

// inContact tells whether what this router knows was confirmed of late.
func (f *Fleet) inContact(now clock.Tick) bool {
	return f.confirmed == nil || now.Sub(f.confirmed()) < contactFresh
}

// withinExposure tells whether this router may send one request more to the candidate. Each
// router goes by the requests that it took itself, so that the sum over all routers stays
// within the bound without any word between them. What is left over at each router by
// rounding is rounded up or down by lot, so that the sum is right.
func (f *Fleet) withinExposure(v *versions) bool {
	if v.state.Weight() > f.sampleMost() {
		return true
	}
	allowed := f.ExposureShare * exposureMargin * float64(v.exposure.total)
	if v.state.Fills() {
		allowed *= fillPart
	}
	return float64(v.exposure.exposed+1) <= allowed+f.rounding("", v.state.Number)
}

const (
	// switchMargin is how long before the old replicas stop the last answers are to have come.
	switchMargin = 100 * clock.Millisecond
	// projectedMargin is the part of the exposure bound that is used up to the term, and
	// slackUsed the part of its slack.
	projectedMargin = 0.95
	slackUsed       = 0.3
	// holdingKeep is the part of a route's usual time that stays when a new one is seen.
	holdingKeep = 0.95
)

// switches tells whether a request goes to an unproven candidate since it would not end at an old
// replica before those stop. What is sent until the term, and what will be after the
// completion, stays within the bound.
func (f *Fleet) switches(v *versions, a *Ask, now clock.Tick) bool {
	elapsed := now.Sub(v.began)
	left := v.state.CompleteAt() - elapsed
	if left > v.holding[a.Route]+switchMargin || elapsed <= 0 {
		return false
	}
	perTime := float64(v.exposure.total) / float64(elapsed)
	term := float64(v.state.Within)
	allowed := f.ExposureShare*projectedMargin*perTime*term + f.ExposureSlack*slackUsed/float64(max(1, f.relays))
	allowed -= perTime * float64(v.state.Within-v.state.CompleteAt())
	return float64(v.exposure.exposed+1) <= allowed+f.rounding("", v.state.Number)
}

// held takes in how long a request took in all.
func (v *versions) held(route string, d clock.Span) {
	if v.holding == nil || len(v.holding) >= routesMost {
		v.holding = map[string]clock.Span{}
	}
	if old, ok := v.holding[route]; ok {
		d = clock.Span(holdingKeep*float64(old) + (1-holdingKeep)*float64(d))
	}
	v.holding[route] = d
}

// Held takes in how long an answer took in all, from the sending to its end.
func (f *Fleet) Held(a *Ask, d clock.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.versions[a.Service]; v != nil {
		v.held(a.Route, d)
	}
}

// rounding is what this router adds before it rounds down, in [0, 1).
func (f *Fleet) rounding(route string, order uint64) float64 {
	lot := kvindex.Mix(hashed(string(f.Self)+"|"+route) ^ kvindex.Mix(order))
	return float64(lot>>11) / (1 << 53)
}

// takes tells whether the candidate gets a request, if the bound leaves room. Of sessions a
// hash chooses those whose requests go there, the same at all routers, so that few sessions have
// their prompt read twice; of other requests, and where the chosen sessions bring too few, the
// candidate gets what its weight asks for.
func (f *Fleet) takes(v *versions, a *Ask, session kvindex.Chain) bool {
	if !f.withinExposure(v) {
		return false
	}
	weight := v.state.Weight()
	if len(session) > 0 && kvindex.Mix(session.Last()^v.state.Number)%100 < uint64(weight) {
		return true
	}
	route := v.exposure.route(a.Route)
	due := float64(route.total)*float64(weight)/100 + f.rounding(a.Route, v.state.Number)
	if len(session) > 0 {
		due -= sessionLag
	}
	return float64(route.exposed+1) <= due
}

// routesMost bounds the routes that are counted apart.
const routesMost = 1024

func (e *exposure) route(name string) *routeExposure {
	r := e.routes[name]
	if r == nil {
		if e.routes == nil || len(e.routes) >= routesMost {
			e.routes = map[string]*routeExposure{}
		}
		r = &routeExposure{}
		e.routes[name] = r
	}
	return r
}

const (
	// fillOver is how many requests for each slot of a replica that is filled routers may have
	// there, all together.
	fillOver = 1.3
	// fillWaiting is by how many more requests than are running may wait at a replica that is
	// filled: it reads prompts one after the other then, and more would not run sooner.
	fillWaiting = 4
	// fillRatio is by how many times more output for each token of its prompt than usual a request must
	// ask for to be one that fills a replica, which has to read prompts one after the other.
	fillRatio = 1.5
	// fillPart is the part of the bound by then that may be used while replicas are filled.
	fillPart = 0.9
	// ratioKeep is the part of the usual ratio that stays when a new one is seen.
	ratioKeep = 0.99
)

// fills tells whether a request is one to fill a replica of the candidate with: it holds a
// slot for long, for the prompt that has to be read before.
func (v *versions) fills(a *Ask) bool {
	if !v.state.Fills() {
		return false
	}
	return a.Output <= 0 || a.ratio() >= fillRatio*v.usualRatio
}

// ratio is how many tokens of output the request asks for, for each token of its prompt.
func (a *Ask) ratio() float64 { return float64(a.Output) / float64(max(1, a.Tokens)) }

// fillShare is how many requests this router may have at a replica that is filled.
func (f *Fleet) fillShare(r *Rep, order uint64) int {
	share := fillOver * float64(r.Slots) / float64(max(1, f.relays))
	return max(1, int(share+f.rounding(string(r.ID), order)))
}

// arrived counts a request for a service, once.
func (v *versions) arrived(a *Ask) {
	if a.arrived {
		return
	}
	a.arrived = true
	v.exposure.total++
	if a.Output > 0 {
		v.usualRatio = v.usualRatio*ratioKeep + a.ratio()*(1-ratioKeep)
	}
	v.exposure.route(a.Route).total++
}

func (v *versions) sentTo(r *Rep, a *Ask) {
	if r.track == candidate {
		v.exposure.exposed++
		v.exposure.route(a.Route).exposed++
		candidateSent.Add(1)
	}
}

// suspended tells whether this router's own evidence speaks against the candidate.
func (e *exposure) suspended() bool {
	failed := 0
	for bits := e.latest & (1<<exposedSends - 1); bits != 0; bits &= bits - 1 {
		failed++
	}
	return failed >= exposedFailed
}

func (e *exposure) note(failed bool) {
	was := e.suspended()
	e.latest <<= 1
	if failed {
		e.latest |= 1
	}
	if !was && e.suspended() {
		candidateSuspended.Add(1)
	}
}

const (
	// An answer is slow if it comes slowMost times later than expected, and slowMargin more.
	slowMost   = 3.0
	slowMargin = 60.0
	// typicalKeep is the part of the usual time that stays when a new one is seen.
	typicalKeep = 0.97
)

// Timing is how long an answer took.
type Timing struct {
	// Took is the time to the first event of a stream, or to the end of another answer; 0 if
	// it says nothing.
	Took clock.Span
	// Streaming says that it is the answer of a stream, and Waiting that it had not come yet.
	Streaming, Waiting bool
}

// Answered takes in what an answer, or its absence, said of the version of a replica.
func (f *Fleet) Answered(r *Rep, a *Ask, o rollout.Outcome, timing Timing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.versions[a.Service]
	if v == nil || r.track == barred || r.track == unconfirmed {
		return
	}
	if timing.Took > 0 {
		ms := float64(timing.Took) / float64(clock.Millisecond)
		want, known := v.usual(f, a, timing.Streaming)
		o.Slow = o.Slow || known && ms > slowMost*want+slowMargin
		if !o.Slow && !o.Failed && !timing.Streaming && r.track == stable {
			v.learn(a.Route, ms)
		}
	}
	if v.state == nil || !v.state.Active() || timing.Waiting && !o.Slow {
		return
	}
	route := a.Route
	if r.filling {
		route, o.Slow = rollout.Filling(route), false // tested apart; it waits behind what fills the replica
	}
	v.counts.See(route, r.track == candidate, r.ID, o)
	if r.track == candidate && !o.Begun && r.underLoad(clock.Now()) {
		v.counts.Loaded++
	}
	if r.track == candidate && !o.Refused && (!o.Begun || o.Failed) {
		v.exposure.note(o.Failed || o.Slow)
	}
}

// underLoad tells whether a replica told just now that half of its slots, or more, are taken.
func (r *Rep) underLoad(now clock.Tick) bool {
	return r.loadAt != 0 && now.Sub(r.loadAt) <= toldNow && r.load.Slots > 0 && 2*r.load.Running >= r.load.Slots
}

// toldNow is how old the load may be that was told with the answer at hand.
const toldNow = 20 * clock.Millisecond

// usual is how many milliseconds such an answer takes, as far as is known.
func (v *versions) usual(f *Fleet, a *Ask, streaming bool) (ms float64, known bool) {
	if streaming {
		return f.norm(a.Service).expected(a.Promise.Unread)
	}
	ms, known = v.typical[a.Route]
	return ms, known
}

func (v *versions) learn(route string, ms float64) {
	if v.typical == nil || len(v.typical) >= routesMost {
		v.typical = map[string]float64{}
	}
	if old, ok := v.typical[route]; ok {
		ms = old*typicalKeep + ms*(1-typicalKeep)
	}
	v.typical[route] = ms
}

// RolloutReport is what this router has counted for the orders under way; nil without any.
func (f *Fleet) RolloutReport() *rollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out *rollout.Report
	for _, service := range slices.Sorted(maps.Keys(f.versions)) {
		v := f.active(service)
		if v == nil {
			continue
		}
		if out == nil {
			out = &rollout.Report{Services: map[ids.Service]*rollout.Counts{}}
		}
		v.counts.Elapsed = clock.Since(v.began)
		out.Services[service] = v.counts.Clone()
	}
	return out
}

// Rollouts are the states of all rollouts that this router knows of.
func (f *Fleet) Rollouts() map[ids.Service]*rollout.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[ids.Service]*rollout.State{}
	for service, v := range f.versions {
		if v.state != nil {
			out[service] = v.state
		}
	}
	return out
}
