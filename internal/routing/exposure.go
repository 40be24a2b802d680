package routing

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
)

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
