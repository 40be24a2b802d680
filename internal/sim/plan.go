package sim

import (
	"encoding/json"
	"math/rand/v2"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/guards"
)

// Plan is all that is decided of a day before it is played.
type Plan struct {
	Seed uint64
	// Point is the mix that the faults are from.
	Point int
	// Core and Diskless count the keepers with and without a disk.
	Core, Diskless, Relays int
	// Losses is how many keepers with a disk may be lost at once.
	Losses  int
	Seeds   []int
	Patient bool
	Routes  int
	// Quota, if not 0, is the part of a processor that each keeper and relay has, spent at full speed
	// in each tenth of a second.
	Quota float64 `json:",omitempty"`
	// Without names a guard that is switched off.
	Without guards.Guard `json:",omitempty"`
	Faults  []Fault
	Orders  []Order
	// End is when the last fault is over, and the last order is sent.
	End clock.Span
}

// Fault is one trouble.
type Fault struct {
	At, For clock.Span
	Kind    string
	// Nodes are the slots that it strikes, of keepers or of relays.
	Nodes []int `json:",omitempty"`
	// Way tells for cuts which ways are closed: both, out or in.
	Way string `json:",omitempty"`
	// All says that a cut parts from relays and operators as well.
	All bool `json:",omitempty"`
	// Call and N name the call of a disk that is refused.
	Call string `json:",omitempty"`
	N    int    `json:",omitempty"`
	// Rate is the share that a trouble concerns.
	Rate float64 `json:",omitempty"`
	// Seeds are the slots named as seeds from then on.
	Seeds []int `json:",omitempty"`
	// Wiped are those of the nodes whose disk is lost.
	Wiped []int `json:",omitempty"`
}

// length is how long the trouble lasts at most.
func (f Fault) length() clock.Span {
	each := clock.Span(len(f.Nodes))
	switch f.Kind {
	case serially:
		return each * (successorMost + catchUp + f.For)
	case succession:
		return catchUp + each*f.For + grace
	}
	return f.For
}

// Order is something that an operator sends.
type Order struct {
	At       clock.Span
	Operator int
	// Kind is replace, modify, invalid, again, on, off, read, rollout or rollout-read.
	Kind string
	// Num names the body; two orders of one number are the same.
	Num  int
	Zone string `json:",omitempty"`
}

const (
	contact = 3 * clock.Second
	catchUp = 4 * clock.Second
	grace   = 8 * clock.Second
	// successorMost is how long after a machine that was removed its successor starts at most.
	successorMost = clock.Second
	apply         = 2 * clock.Second
	ackBound      = 4 * clock.Second
	recovery      = 12 * clock.Second
	seedLag       = 3 * clock.Second
	calmEnd       = 14 * clock.Second
	firstAt       = 10 * clock.Second
	operator      = 2
)

type maker struct {
	r    *rand.Rand
	p    *Plan
	busy []span
	all  []span
}

type span struct {
	from, to clock.Span
	slot     int
	// whole says that the slot is not lost meanwhile: its successor is there before its machine goes.
	whole bool
}

func (m *maker) span(lo, hi clock.Span) clock.Span {
	return lo + clock.Span(m.r.Int64N(int64(hi-lo)+1))
}

func (m *maker) pick(kinds map[string]int) string {
	names := []string{}
	sum := 0
	for k, n := range kinds {
		names = append(names, k)
		sum += n
	}
	slices.Sort(names)
	n := m.r.IntN(sum)
	for _, k := range names {
		if n -= kinds[k]; n < 0 {
			return k
		}
	}
	return names[0]
}

// fits tells whether so many more slots may be lost throughout a span, and no other fault strikes these.
func (m *maker) fits(from, to clock.Span, slots []int, lost int) bool {
	for _, s := range m.all {
		if from < s.to && s.from < to {
			return false
		}
	}
	times := []clock.Span{from}
	for _, s := range m.busy {
		if s.from > from && s.from < to {
			times = append(times, s.from)
		}
	}
	for _, t := range times {
		n := lost
		for _, s := range m.busy {
			if s.from <= t && t < s.to {
				if slices.Contains(slots, s.slot) {
					return false
				}
				if !s.whole {
					n++
				}
			}
		}
		if n > m.p.Losses {
			return false
		}
	}
	return true
}

func (m *maker) some(most int) []int {
	n := 1 + m.r.IntN(max(1, most))
	return m.r.Perm(m.p.Core)[:min(n, m.p.Core)]
}

func (m *maker) keepers() int { return m.p.Core + m.p.Diskless }

func (m *maker) seeds() []int {
	s := m.r.Perm(m.keepers())
	if m.r.IntN(2) == 0 {
		slices.SortStableFunc(s, func(a, b int) int { return btoi(a < m.p.Core) - btoi(b < m.p.Core) })
	}
	return s[:min(3, len(s))]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (m *maker) fault(at clock.Span, kind string) (Fault, bool) {
	f := Fault{At: at, Kind: kind}
	switch kind {
	case "cut", "cut-freeze":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(clock.Second, 24*clock.Second)
		f.Way, f.All = []string{"both", "both", "out", "in"}[m.r.IntN(4)], m.r.IntN(2) == 0
	case "freeze", "slow-node":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(clock.Second/2, 6*clock.Second)
	case "kill", "power", "restart", "wipe", "replace":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(clock.Second/5, 5*clock.Second)
	case "away":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(8*clock.Second, 20*clock.Second)
	case "leave":
		f.Nodes, f.For = m.some(1), m.span(6*clock.Second, 14*clock.Second)
	case "kill-all", "blackout":
		f.For = m.span(clock.Second/5, 2*clock.Second)
		for i := range m.keepers() {
			f.Nodes = append(f.Nodes, i)
		}
		if kind == "blackout" && m.r.IntN(2) == 0 {
			f.Wiped = m.some(m.p.Losses)
		}
	case "seeds":
		f.Seeds = m.seeds()
		f.Nodes = m.r.Perm(m.keepers())[:1+m.r.IntN(m.keepers())]
	case "reset":
		f.Nodes = m.r.Perm(m.keepers())[:1]
		f.Nodes, f.For = m.some(m.p.Losses), clock.Millisecond
	case "relay-cut":
		f.Nodes, f.For = []int{m.r.IntN(m.p.Relays)}, m.span(clock.Second, 8*clock.Second)
	case "slow-disk", "stall-disk", "full-disk":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(clock.Second/2, 5*clock.Second)
	case "refuse":
		f.Nodes, f.For, f.N = m.some(m.p.Losses), clock.Second*2, 1+m.r.IntN(4)
		f.Call = []string{"write", "sync", "truncate", "rename", "sync-dir", "open"}[m.r.IntN(6)]
	case "rewrite":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(0, 30*clock.Millisecond)
		if m.r.IntN(2) == 0 {
			f.Call, f.N = []string{"write", "sync", "truncate", "rename", "sync-dir", "open"}[m.r.IntN(6)], 1+m.r.IntN(2)
		}
	case "answers-lost":
		f.For, f.Rate = m.span(2*clock.Second, 8*clock.Second), 0.9
	case "slow-link":
		f.Nodes, f.For = m.some(m.p.Losses), m.span(clock.Second, 4*clock.Second)
	case "grow":
		f.N = 1
	case serially:
		f.Nodes, f.For = m.some(m.p.Core), m.span(10*clock.Millisecond, 100*clock.Millisecond)
	case succession:
		f.Nodes, f.For = m.some(m.p.Core), m.span(0, 3*clock.Second)
	}
	till := at + f.For + catchUp
	switch kind {
	case "kill-all", "blackout":
		if !m.fits(at-catchUp/2, till+2*clock.Second, nil, 0) {
			return f, false
		}
		for _, s := range m.busy {
			if s.to > at && s.from < till {
				return f, false
			}
		}
		m.all = append(m.all, span{from: at, to: till + 2*clock.Second})
	case "seeds", "grow", "relay-cut", "answers-lost":
	case succession:
		till = at + f.length() + catchUp
		if !m.fits(at, till, f.Nodes, 0) {
			return f, false
		}
		for _, n := range f.Nodes {
			m.busy = append(m.busy, span{from: at, to: till, slot: n, whole: true})
		}
	case serially:
		till = at + f.length() + catchUp
		if !m.fits(at, till, f.Nodes, 1) {
			return f, false
		}
		for i, n := range f.Nodes { // one is lost at each moment
			m.busy = append(m.busy, span{from: at, to: till, slot: n, whole: i > 0})
		}
	default:
		if !m.fits(at, till, f.Nodes, len(f.Nodes)) {
			return f, false
		}
		for _, n := range f.Nodes {
			m.busy = append(m.busy, span{from: at, to: till, slot: n})
		}
	}
	return f, true
}

// Make makes the plan of a seed.
func Make(seed uint64, point int) *Plan {
	r := rand.New(rand.NewPCG(seed, uint64(point)+77))
	p := &Plan{Seed: seed, Point: point, Relays: 2 + r.IntN(2), Patient: r.IntN(2) == 0, Routes: 3}
	p.Core = []int{3, 3, 5, 6, 7}[r.IntN(5)]
	p.Losses = map[int]int{3: 1, 5: 1 + r.IntN(2), 6: 2, 7: 2 + r.IntN(2)}[p.Core]
	if r.IntN(2) == 0 {
		p.Diskless = 1 + r.IntN(3)
	}
	m := &maker{r: r, p: p}
	if point == rolloutPoint && r.IntN(3) == 0 {
		p.Quota = quotaLeast + (quotaMost-quotaLeast)*r.Float64()
	}
	p.Seeds = m.seeds()
	if !slices.ContainsFunc(p.Seeds, func(i int) bool { return i < p.Core }) {
		p.Seeds[0] = 0
	}
	mix := Mixes()[point]
	till := firstAt + m.span(15*clock.Second, 30*clock.Second)
	n := 3 + r.IntN(6)
	for tries := 0; len(p.Faults) < n && tries < 60; tries++ {
		at := m.span(firstAt, till)
		if f, ok := m.fault(at, m.pick(mix.Kinds)); ok {
			p.Faults = append(p.Faults, f)
			p.End = max(p.End, f.At+f.length())
		}
	}
	if r.IntN(3) == 0 {
		at := p.End + catchUp + m.span(clock.Second, 4*clock.Second)
		if f, ok := m.fault(at, []string{"kill-all", "blackout"}[r.IntN(2)]); ok {
			p.Faults = append(p.Faults, f)
			p.End = f.At + f.length()
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	p.End = max(p.End, till) + clock.Second
	m.orders()
	return p
}

var zones = []string{"za", "zb", "zc"}

// ReadPlan reads a plan that was written as JSON.
func ReadPlan(b []byte) (*Plan, error) {
	p := &Plan{}
	if err := json.Unmarshal(b, p); err != nil {
		return nil, codes.New(codes.BadSimPlan, "%v", err)
	}
	if p.Quota < 0 || p.Quota > 1 {
		return nil, codes.New(codes.BadSimPlan, "a quota of %g", p.Quota)
	}
	if p.Core < 1 || p.Core > 99 || p.Diskless < 0 || p.Diskless > 99 || p.Relays < 1 || p.Relays > 99 || len(p.Seeds) == 0 || p.Point < 0 || p.Point >= Points {
		return nil, codes.New(codes.BadSimPlan, "sizes")
	}
	return fits(p)
}

func fits(p *Plan) (*Plan, error) {
	for _, n := range p.Seeds {
		if n < 0 || n >= p.Core+p.Diskless {
			return nil, codes.New(codes.BadSimPlan, "seed %d", n)
		}
	}
	for _, f := range p.Faults {
		if !known(f.Kind) {
			return nil, codes.New(codes.BadSimPlan, "there is no fault %q", f.Kind)
		}
		for _, n := range slices.Concat(f.Nodes, f.Seeds, f.Wiped) {
			if n < 0 || n >= p.Core+p.Diskless {
				return nil, codes.New(codes.BadSimPlan, "%s strikes %d", f.Kind, n)
			}
		}
	}
	return p, nil
}
