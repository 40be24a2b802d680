package pick

import (
	"sort"
	"sync"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/link"
	"spoolswitch/internal/list"
	"spoolswitch/internal/note"
	"spoolswitch/internal/word"
)

// Fleet is all that a relay knows of the replicas.
type Fleet struct {
	Zone    word.Zone
	Idle    clk.Span
	Overrun float64
	Slack   float64

	mu       sync.Mutex
	reps     map[word.Replica]*Rep
	services map[word.Service][]*Rep
	confs    map[word.Service]*conf.Service
	evac     map[word.Zone]bool
	relays   int
	sessions *lru[*binding]
	seen     *lru[struct{}]
	trunks   *lru[*fork]
	listed   bool
}

type binding struct {
	rep  word.Replica
	used clk.Tick
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
	bound    = note.Counter("session.bound")
	followed = note.Counter("session.followed")
	yielded  = note.Counter("session.yielded")
	moved    = note.Counter("session.moved")
	reaped   = note.Counter("session.reaped")
)

// NewFleet makes an empty fleet.
func NewFleet(z word.Zone, idle clk.Span) *Fleet {
	return &Fleet{Zone: z, Idle: idle, relays: relaysMany, reps: map[word.Replica]*Rep{}, services: map[word.Service][]*Rep{},
		confs: map[word.Service]*conf.Service{}, evac: map[word.Zone]bool{}, sessions: newLRU[*binding](sessionsMost),
		seen: newLRU[struct{}](seenMost), trunks: newLRU[*fork](seenMost)}
}

// Listed takes a new list in, read age ago.
func (f *Fleet) Listed(rs []list.Replica, age clk.Span) {
	f.mu.Lock()
	now := clk.Now()
	have := map[word.Replica]bool{}
	var shut []*Rep
	for _, r := range rs {
		have[r.ID] = true
		rep := f.reps[r.ID]
		if rep == nil || rep.Addr != r.Addr {
			if rep != nil {
				shut = append(shut, rep)
			}
			rep = &Rep{Replica: r, Pool: &link.Pool{Addr: r.Addr}, kept: newLRU[part](f.capacity(r.Service))}
			f.reps[r.ID] = rep
		}
		rep.State, rep.Slots, rep.Models, rep.Version = r.State, r.Slots, r.Models, r.Version
		if d := clk.Ms(r.ColdMs) - age; r.ColdMs > 0 && d > 0 {
			rep.cold = max(rep.cold, now.Add(d))
		}
	}
	for id, rep := range f.reps {
		if !have[id] {
			rep.gone = true
			shut = append(shut, rep)
			delete(f.reps, id)
		}
	}
	f.sort()
	f.listed = true
	f.mu.Unlock()
	for _, r := range shut {
		r.Pool.Shut()
	}
}

func (f *Fleet) sort() {
	f.services = map[word.Service][]*Rep{}
	for _, r := range f.reps {
		f.services[r.Service] = append(f.services[r.Service], r)
	}
	for _, rs := range f.services {
		sort.Slice(rs, func(i, j int) bool { return rs[i].ID < rs[j].ID })
	}
}

func (f *Fleet) capacity(s word.Service) int64 {
	if c := f.confs[s]; c != nil && c.Engine != nil && c.Engine.KVTokens > 0 {
		return c.Engine.KVTokens
	}
	return keptDefault
}

// Configured takes the services of a configuration in.
func (f *Fleet) Configured(t *conf.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confs = t.Services
	for _, r := range f.reps {
		r.kept.bound(f.capacity(r.Service))
	}
}

// Evacuate takes in whether a zone is evacuated. Replicas of one that is
// taken back may have turned cold.
func (f *Fleet) Evacuate(z word.Zone, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evac[z] && !on {
		for _, r := range f.reps {
			if r.Zone == z {
				f.chill(r, clk.Now())
			}
		}
	}
	f.evac[z] = on
}

func (f *Fleet) chill(r *Rep, now clk.Tick) {
	if c := f.confs[r.Service]; c != nil && c.ColdS > 0 {
		r.cold = max(r.cold, now.Add(clk.Ms(c.ColdS*1000)))
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
func (f *Fleet) Bounds(overrun, slack float64, idle clk.Span) {
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

func (f *Fleet) coldShare(s word.Service) int {
	c := f.confs[s]
	if c == nil || c.ColdPerS <= 0 {
		return 1 << 30
	}
	return int((c.ColdPerS*f.Overrun + f.Slack) * 0.9 / float64(f.relays))
}

func (f *Fleet) connShare(s word.Service) int {
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
	f.reap(clk.Now())
	for _, r := range f.reps {
		tokens += r.kept.weight
	}
	return f.sessions.len(), tokens
}

// Reap drops idle bindings.
func (f *Fleet) Reap() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reap(clk.Now())
}

func (f *Fleet) reap(now clk.Tick) {
	for {
		k, b, ok := f.sessions.oldest()
		if !ok || now.Sub(b.used) < f.Idle {
			return
		}
		f.sessions.remove(k)
		reaped.Add(1)
	}
}
