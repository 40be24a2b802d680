package routing

import (
	"maps"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
)

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
		if v.exposure.suspended() {
			v.counts.Suspended = 1
		}
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
