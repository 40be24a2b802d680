package routing

import (
	"math"
	"sort"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
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
		for version := range v.seen {
			if !listed[version] { // should it come back, it is a new one
				delete(v.seen, version)
				delete(v.replaced, version)
			}
		}
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
