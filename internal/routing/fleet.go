// Package routing chooses the replica of a request: the session design.
package routing

import (
	"math"
	"sort"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/lru"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/telemetry"
	"spoolswitch/internal/upstream"
)

// Fleet is all that a relay knows of the replicas.
type Fleet struct {
	Zone    ids.Zone
	Idle    clock.Span
	Overrun float64
	Slack   float64
	// Desk holds the evidence of what replicas keep, and the index over it.
	Desk *evidence.Desk
	// Self names this relay.
	Self ids.Node
	// ExposureShare and ExposureSlack bound what the candidate of a rollout gets before it has
	// proved itself: a part of the service's requests, and some more.
	ExposureShare, ExposureSlack float64

	mu       sync.Mutex
	reps     map[ids.Replica]*Rep
	services map[ids.Service][]*Rep
	confs    map[ids.Service]*configuration.Service
	evac     map[ids.Zone]bool
	relays   int
	sessions *lru.Cache[*binding]
	seen     *lru.Cache[struct{}]
	trunks   *lru.Cache[*fork]
	listed   bool
	able     []*Rep
	plan     *pool.Plan
	norms    map[ids.Service]*norm
	spares   []*Rep
	versions map[ids.Service]*versions
	// confirmed, if set, tells when what this relay knows was last confirmed as current.
	confirmed func() clock.Tick
}

type binding struct {
	rep  ids.Replica
	used clock.Tick
	size int64
}

type fork struct {
	child uint64
	many  bool
}

const (
	relaysMany   = 32
	sessionsMost = 20000
	seenMost     = 50000
	keptDefault  = 200000
)

var (
	bound    = telemetry.Counter("session.bound")
	followed = telemetry.Counter("session.followed")
	yielded  = telemetry.Counter("session.yielded")
	moved    = telemetry.Counter("session.moved")
	reaped   = telemetry.Counter("session.reaped")
)

// NewFleet makes an empty fleet.
func NewFleet(z ids.Zone, idle clock.Span) *Fleet {
	return &Fleet{Zone: z, Idle: idle, relays: relaysMany, Desk: evidence.NewDesk(), reps: map[ids.Replica]*Rep{}, services: map[ids.Service][]*Rep{},
		confs: map[ids.Service]*configuration.Service{}, evac: map[ids.Zone]bool{}, sessions: lru.New[*binding](sessionsMost),
		seen: lru.New[struct{}](seenMost), trunks: lru.New[*fork](seenMost)}
}

// Listed takes a new list in, read age ago.
func (f *Fleet) Listed(rs []discovery.Replica, age clock.Span) {
	f.mu.Lock()
	now := clock.Now()
	have := map[ids.Replica]bool{}
	var shut []*Rep
	for _, r := range rs {
		have[r.ID] = true
		shut = f.enter(r, age, now, shut)
	}
	for id, rep := range f.reps {
		if !have[id] {
			shut = f.leave(rep, shut)
		}
	}
	f.settled(shut)
}

// Relisted takes in what changed in the list.
func (f *Fleet) Relisted(d discovery.Delta, age clock.Span) {
	f.mu.Lock()
	now := clock.Now()
	var shut []*Rep
	for _, r := range d.Up {
		shut = f.enter(r, age, now, shut)
	}
	for _, id := range d.Gone {
		if rep := f.reps[id]; rep != nil {
			shut = f.leave(rep, shut)
		}
	}
	f.settled(shut)
}

func (f *Fleet) enter(r discovery.Replica, age clock.Span, now clock.Tick, shut []*Rep) []*Rep {
	rep := f.reps[r.ID]
	if rep == nil || rep.Addr != r.Addr {
		if rep != nil {
			shut = f.leave(rep, shut)
		}
		rep = &Rep{Replica: r, Pool: &upstream.Pool{Addr: r.Addr}, hash: hashed(string(r.ID))}
		rep.stream = f.Desk.Open(kvindex.Epoch{Publisher: kvindex.Publisher{Service: r.Service, Addr: r.Addr}, Life: r.ID})
		rep.view = rep.stream.View
		rep.view.Bound(f.capacity(r.Service))
		f.reps[r.ID] = rep
	}
	rep.State, rep.Slots, rep.Models, rep.Version, rep.Stage = r.State, r.Slots, r.Models, r.Version, r.Stage
	if d := clock.Ms(r.ColdMs) - age; r.ColdMs > 0 && d > 0 {
		rep.cold = max(rep.cold, now.Add(d))
	}
	return shut
}

func (f *Fleet) leave(rep *Rep, shut []*Rep) []*Rep {
	rep.gone = true
	f.Desk.Close(rep.stream.Epoch)
	delete(f.reps, rep.ID)
	return append(shut, rep)
}

// settled ends the taking in of a list, and gives the lock back.
func (f *Fleet) settled(shut []*Rep) {
	f.sort()
	f.sides()
	f.sortTracks()
	f.listed = true
	f.mu.Unlock()
	for _, r := range shut {
		r.Pool.Shut()
	}
}

// Planned takes a plan of the pools in.
func (f *Fleet) Planned(p *pool.Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = p
	f.sides()
}

// Plan is the plan in force, nil if all replicas are one pool.
func (f *Fleet) Plan() *pool.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan
}

func (f *Fleet) sides() {
	if f.plan == nil {
		return
	}
	for s, rs := range f.services {
		x := f.plan.Splits[s]
		in := map[ids.Replica]bool{}
		for _, id := range x.Prefill {
			in[id] = true
		}
		for _, r := range rs {
			r.prefill = in[r.ID]
		}
	}
}

// heavy tells which pool a request belongs to; ok is false where there is one.
func (f *Fleet) heavy(a *Ask) (heavy, ok bool) {
	if f.plan == nil || a.Weight <= 0 {
		return false, false
	}
	x, ok := f.plan.Splits[a.Service]
	return a.Weight >= x.Heavy, ok
}

func (f *Fleet) sort() {
	f.services = map[ids.Service][]*Rep{}
	for _, r := range f.reps {
		f.services[r.Service] = append(f.services[r.Service], r)
	}
	for _, rs := range f.services {
		sort.Slice(rs, func(i, j int) bool { return rs[i].ID < rs[j].ID })
	}
}

func (f *Fleet) capacity(s ids.Service) int64 {
	if c := f.confs[s]; c != nil && c.Engine != nil && c.Engine.KVTokens > 0 {
		return c.Engine.KVTokens
	}
	return keptDefault
}

// Configured takes the services of a configuration in.
func (f *Fleet) Configured(t *configuration.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confs = t.Services
	for _, r := range f.reps {
		r.view.Bound(f.capacity(r.Service))
	}
}

// Evacuate takes in whether a zone is evacuated. Replicas of one that is
// taken back may have turned cold.
func (f *Fleet) Evacuate(z ids.Zone, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evac[z] && !on {
		for _, r := range f.reps {
			if r.Zone == z {
				f.chill(r, clock.Now())
			}
		}
	}
	f.evac[z] = on
}

func (f *Fleet) chill(r *Rep, now clock.Tick) {
	if c := f.confs[r.Service]; c != nil && c.ColdS > 0 {
		r.cold = max(r.cold, now.Add(clock.Ms(c.ColdS*1000)))
	}
}

// Relays takes in how many relays there are; 0 tells nothing.
func (f *Fleet) Relays(n int) {
	if n <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays = n
}

// Bounds changes the figures of the cold bound and the idle timeout.
func (f *Fleet) Bounds(overrun, slack float64, idle clock.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Overrun, f.Slack, f.Idle = overrun, slack, idle
}

// Share is how many relays the shared bounds are split among.
func (f *Fleet) Share() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relays
}

// HasList tells whether a list was taken in.
func (f *Fleet) HasList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// coldBound is what all relays together may send to a cold replica in a second.
func (f *Fleet) coldBound(s ids.Service) float64 {
	c := f.confs[s]
	if c == nil || c.ColdPerS <= 0 {
		return 1 << 40
	}
	return (c.ColdPerS*f.Overrun + f.Slack) * 0.9
}

// coldShare is this relay's part of the bound. Where there are more relays than
// the bound has requests, so few draw one request each, by a hash of relay and
// replica, that more than the bound is as good as impossible: the mean lies six
// standard deviations below it.
func (f *Fleet) coldShare(r *Rep, bound float64) int {
	if n := int(bound / float64(f.relays)); n > 0 {
		return n
	}
	root := (math.Sqrt(36+4*bound) - 6) / 2
	if float64(kvindex.Mix(r.hash^hashed(string(f.Self)))>>11)/(1<<53) < root*root/float64(f.relays) {
		return 1
	}
	return 0
}

func (f *Fleet) connShare(s ids.Service) int {
	c := f.confs[s]
	if c == nil || c.MaxConns <= 0 {
		return 1 << 30
	}
	return max(1, c.MaxConns*9/10/f.relays)
}

// Gauges are the counts that the design's source exports, from our tables.
func (f *Fleet) Gauges() (sessions int, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reap(clock.Now())
	for _, r := range f.reps {
		tokens += r.view.Tokens()
	}
	return f.sessions.Len(), tokens
}

// Reap drops idle bindings.
func (f *Fleet) Reap() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reap(clock.Now())
}

func (f *Fleet) reap(now clock.Tick) {
	for {
		k, b, ok := f.sessions.Oldest()
		if !ok || now.Sub(b.used) < f.Idle {
			return
		}
		f.sessions.Remove(k)
		reaped.Add(1)
	}
}
