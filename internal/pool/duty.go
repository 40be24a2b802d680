package pool

import (
	"maps"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Service is what the balancer has to know of a service.
type Service struct {
	Members []Member
	Slots   int
}

// Duty is the duty of planning the pools, done by one keeper at a time. All
// keepers fold the counts of the relays that follow them, and hand the sum to
// the one that has it.
type Duty struct {
	consensus.Duty
	Rules Rules
	// Window is how long counts are gone by.
	Window clock.Span
	// Services reads the services that have engines, as the feed has them now.
	Services func() map[ids.Service]Service
	// Plan reads the plan in the feed.
	Plan func() ([]byte, ids.Place)

	mu     sync.Mutex
	relays map[ids.Node]report
	folds  map[ids.Node]report
	num    uint64
	epoch  ids.Epoch
	plan   *Plan
	at     clock.Tick
	known  ids.Place
	moves  []string
	last   Counts
}

type report struct {
	num   uint64
	life  uint64
	at    clock.Tick
	of    int
	count *Counts
}

var (
	badCounts = telemetry.Counter("pool.counts-unreadable")
	oldCounts = telemetry.Counter("pool.counts-old")
	moved     = telemetry.Counter("pool.moves")
	partial   = telemetry.Counter("pool.partial")
)

const (
	lostAfter  = 3 * clock.Second
	movesKept  = 16
	partEnough = 0.8
)

// Counted takes the counts of a relay, or the folded ones of a keeper, in.
// Those that are doubled or late are left out.
func (d *Duty) Counted(m consensus.Msg) consensus.Msg {
	c, err := DecodeCounts(m.Val)
	if err != nil {
		badCounts.Add(1)
		return consensus.Fail(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.relays == nil {
		d.relays, d.folds = map[ids.Node]report{}, map[ids.Node]report{}
	}
	of := d.relays
	if m.Kind == consensus.Fold {
		of = d.folds
	}
	if have, ok := of[m.From]; ok && have.life == m.Life && m.Num <= have.num {
		oldCounts.Add(1)
		return consensus.Msg{OK: true}
	}
	of[m.From] = report{m.Num, m.Life, clock.Now(), m.Count, c}
	return consensus.Msg{OK: true}
}

func (d *Duty) fresh(of map[ids.Node]report) (*Counts, int) {
	sum, n := &Counts{}, 0
	for who, r := range of {
		if clock.Since(r.at) > d.Window {
			delete(of, who)
			continue
		}
		sum.Add(r.count)
		n += max(1, r.of)
	}
	return sum, n
}

// Step folds, and plans if the duty is this keeper's.
func (d *Duty) Step() {
	k := d.Keeper
	if !k.Sure(lostAfter) {
		return
	}
	mine, at := d.Mine()
	if !mine {
		if d.Vacant(at, func(n ids.Node) bool { return n != "" && n != k.Self && k.Heard(n, lostAfter) }) {
			d.Win()
			mine, at = d.Mine()
		}
	}
	d.mu.Lock()
	sum, n := d.fresh(d.relays)
	d.num++
	num := d.num
	d.mu.Unlock()
	if !mine {
		if to := d.Holder(); to != "" && to != k.Self && n > 0 {
			k.Net.Ask(to, consensus.Msg{Kind: consensus.Fold, From: k.Self, Num: num, Life: k.Life(), Count: n, Val: sum.Encode()}, lostAfter/4)
		}
		return
	}
	d.step(at.Epoch, sum, n)
}

func (d *Duty) step(e ids.Epoch, sum *Counts, n int) {
	k := d.Keeper
	d.mu.Lock()
	defer d.mu.Unlock()
	others, m := d.fresh(d.folds)
	sum.Add(others)
	d.last = *sum
	if d.epoch != e {
		// what was planned before stays until there is cause to change it
		d.epoch, d.plan, d.at = e, nil, clock.Now()
	}
	if b, at := d.Plan(); d.plan == nil || d.known.Less(at) {
		d.known = at
		if p, err := DecodePlan(b); err == nil {
			d.plan = p
		}
	}
	if d.plan == nil {
		d.plan = &Plan{}
	}
	if all := k.Relays(); all == 0 || float64(n+m) < partEnough*float64(all) {
		partial.Add(1)
		return
	}
	if clock.Since(d.at) < d.Window {
		return
	}
	next := &Plan{Num: d.plan.Num + 1, Splits: maps.Clone(d.plan.Splits)}
	if next.Splits == nil {
		next.Splits = map[ids.Service]Split{}
	}
	changed := false
	svcs := d.Services()
	for s := range next.Splits {
		if _, ok := svcs[s]; !ok {
			delete(next.Splits, s)
			changed = true
		}
	}
	for s, v := range svcs {
		w := sum.Services[s]
		if w == nil {
			continue
		}
		x, move := d.Rules.Next(s, next.Splits[s], v.Members, w, v.Slots)
		if !move {
			continue
		}
		changed = true
		if x.Heavy == 0 {
			delete(next.Splits, s)
		} else {
			next.Splits[s] = x
		}
		moved.Add(1)
		d.moves = append(d.moves, string(s)+": "+x.Why)
		if len(d.moves) > movesKept {
			d.moves = d.moves[1:]
		}
		telemetry.State("pools", "service", s, "heavy from", x.Heavy, "prefill", len(x.Prefill), "of", len(v.Members), "why", x.Why)
	}
	if !changed {
		return
	}
	d.plan, d.at = next, clock.Now()
	d.known = ids.Place{Epoch: e, Seq: next.Num}
	k.Share(ids.Plan, d.known, next.Encode())
}

// Report tells the plan, what was counted last, and the last moves.
func (d *Duty) Report() (*Plan, Counts, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, _ := d.Plan(); len(b) > 0 {
		p, _ := DecodePlan(b)
		return p, d.last, append([]string(nil), d.moves...)
	}
	return d.plan, d.last, append([]string(nil), d.moves...)
}
