// Package promotion takes rollouts through their steps: one keeper at a time holds the
// duty, weighs what routers have counted, and has each step and the verdict put into the
// register of the service's rollout.
package promotion

import (
	"fmt"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/telemetry"
)

const (
	// StepPause is the time between two looks at the orders under way.
	StepPause = 100 * clock.Millisecond
	// foldPause is the time between two folds that a keeper sends to the holder.
	foldPause = 200 * clock.Millisecond
	// reportFresh is how long a router counts as one that reports: after it, what it sees is
	// unknown.
	reportFresh = 1500 * clock.Millisecond
	// holderLost is how long the holder of the duty may be silent.
	holderLost = 2 * clock.Second
	// commandTimeout is how long a step is tried to be put on a majority of disks.
	commandTimeout = clock.Second
	// movesKept is how many moves are remembered for operators.
	movesKept = 32
)

// Standing is the value of a rollout's register as a keeper knows it.
type Standing struct {
	State *rollout.State
	// Age is how long this keeper has known the value.
	Age clock.Span
}

// elapsed is how long ago the order was taken, or less: a keeper that was down does not
// know for how long.
func (s *Standing) elapsed() clock.Span { return s.State.Elapsed + s.Age }

// Duty takes the orders under way through their steps. One keeper does it at a time; all
// keepers fold the reports of the routers that follow them, and hand the sum to that
// one. Commands name the order and the step that they build on, so that a keeper that does
// not know that it lost the duty changes nothing twice.
type Duty struct {
	consensus.Duty
	// Standing reads the rollouts that this keeper knows of.
	Standing func() map[ids.Service]Standing
	// Repeats is how long after an order it may be sent again.
	Repeats clock.Span
	// Listed tells which part of the service's serving slots the replicas of a version have.
	Listed func(service ids.Service, target ids.Software) float64
	// Command has a command carried out by the owner of a service's register.
	Command func(service ids.Service, c *rollout.Command, timeout clock.Span) bool

	mu sync.Mutex
	// era is the ballot of the holder that counts are gathered for.
	era     ids.Epoch
	routers map[ids.Node]heard
	// own is what the routers reported to this keeper since the orders began, and folds what
	// other keepers did, each life of a keeper by itself: neither ever falls.
	own    map[ids.Service]*rollout.Counts
	folds  map[keeperLife]fold
	num    uint64
	folded clock.Tick
	runs   map[ids.Service]*run
	moves  []string
}

// heard is when a router reported last.
type heard struct {
	num, life uint64
	at        clock.Tick
}

// keeperLife is one life of a keeper.
type keeperLife struct {
	node ids.Node
	life uint64
}

// fold is the newest fold of one life of a keeper, and of how many routers it was.
type fold struct {
	num     uint64
	at      clock.Tick
	routers int
	report  *rollout.Report
}

var (
	badReports   = telemetry.Counter("rollout.reports-unreadable")
	oldReports   = telemetry.Counter("rollout.reports-old")
	stepsTaken   = telemetry.Counter("rollout.steps")
	completed    = telemetry.Counter("rollout.completed")
	reverted     = telemetry.Counter("rollout.reverted")
	untaken      = telemetry.Counter("rollout.measurements-not-taken")
	commands     = telemetry.Counter("rollout.commands-failed")
	repeatsEnded = telemetry.Counter("rollout.repeats-ended")
)

// Counted takes the report of a router, or the fold of a keeper, in. One that comes twice
// or late changes nothing.
func (d *Duty) Counted(m consensus.Msg) consensus.Msg {
	r, err := rollout.DecodeReport(m.Val)
	if err != nil {
		badReports.Add(1)
		return consensus.Fail(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.enterEra(); m.Epoch != d.era {
		oldReports.Add(1)
		return consensus.Msg{Code: codes.OldEpoch, Epoch: d.era}
	}
	if m.Kind == consensus.RolloutFold {
		d.takeFold(keeperLife{m.From, m.Life}, fold{m.Num, clock.Now(), m.Count, r})
		return consensus.Msg{OK: true}
	}
	if have, ok := d.routers[m.From]; ok && have.life == m.Life && m.Num <= have.num {
		oldReports.Add(1)
		return consensus.Msg{OK: true}
	}
	d.routers[m.From] = heard{m.Num, m.Life, clock.Now()}
	add(d.own, r.Services)
	return consensus.Msg{OK: true}
}

// enterEra forgets what was gathered for an earlier holder of the duty: routers tell it anew. It is for those
// who hold the lock.
func (d *Duty) enterEra() {
	if d.routers == nil {
		d.routers, d.folds, d.own = map[ids.Node]heard{}, map[keeperLife]fold{}, map[ids.Service]*rollout.Counts{}
	}
	if _, at := d.Value(d.Key); at.Epoch != d.era {
		d.era = at.Epoch
		clear(d.routers)
		clear(d.folds)
		clear(d.own)
	}
}

// takeFold keeps the newest fold of a life of a keeper.
func (d *Duty) takeFold(from keeperLife, f fold) {
	if have, ok := d.folds[from]; ok && f.num <= have.num {
		oldReports.Add(1)
		return
	}
	d.folds[from] = f
}

// add adds counts to those of the same orders; those of a later order take the place of an
// earlier one's.
func add(to, from map[ids.Service]*rollout.Counts) {
	for service, counts := range from {
		have := to[service]
		switch {
		case have == nil || have.Number < counts.Number:
			to[service] = counts.Clone()
		case have.Number == counts.Number:
			have.Add(counts)
		}
	}
}

// sum adds up all that was reported, and tells how many routers reported of late.
func (d *Duty) sum() (total map[ids.Service]*rollout.Counts, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enterEra()
	total, routers = d.ownSum()
	for _, f := range d.folds {
		add(total, f.report.Services)
		if clock.Since(f.at) <= reportFresh {
			routers += f.routers
		}
	}
	return total, routers
}

// ownSum is what routers reported to this keeper, and how many did of late.
func (d *Duty) ownSum() (total map[ids.Service]*rollout.Counts, routers int) {
	total = map[ids.Service]*rollout.Counts{}
	add(total, d.own)
	for _, h := range d.routers {
		if clock.Since(h.at) <= reportFresh {
			routers++
		}
	}
	return total, routers
}

// Step folds, and takes steps if the duty is this keeper's. Without an order under way, or one that
// may be sent again, it does nothing.
func (d *Duty) Step() {
	k := d.Keeper
	active, reverted := d.open()
	if len(active) == 0 {
		d.forget()
	}
	if len(active)+len(reverted) == 0 || !k.Sure(holderLost) {
		return
	}
	mine, at := d.Mine()
	if !mine && d.Vacant(at, d.alive) {
		d.Win()
		mine, _ = d.Mine()
	}
	if !mine {
		d.fold()
		return
	}
	d.endRepeats(reverted)
	total, routers := d.sum()
	covered := float64(routers) / float64(max(1, k.Relays()))
	for service, standing := range active {
		counts := total[service]
		if counts != nil && counts.Number != standing.State.Number {
			counts = nil
		}
		d.run(service, standing).look(d, standing, counts, covered)
	}
}

// open are the orders under way, and those that were reverted and may be sent again.
func (d *Duty) open() (active, reverted map[ids.Service]Standing) {
	active, reverted = map[ids.Service]Standing{}, map[ids.Service]Standing{}
	for service, at := range d.Standing() {
		switch {
		case at.State.Active():
			active[service] = at
		case at.State.AwaitsRepeats():
			reverted[service] = at
		}
	}
	return active, reverted
}

// endRepeats notes on a majority of disks which reverted orders are not sent again: a keeper that
// starts does not know how old they are.
func (d *Duty) endRepeats(reverted map[ids.Service]Standing) {
	for service, at := range reverted {
		age := rollout.Age{Standing: at.Age, Repeats: d.Repeats}
		if age.Over(at.State) {
			c := &rollout.Command{EndRepeats: &rollout.EndRepeats{Number: at.State.Number}}
			d.command(service, c, repeatsEnded, "repeats over", at.State.Reason)
		}
	}
}

func (d *Duty) alive(n ids.Node) bool {
	return n != "" && n != d.Keeper.Self && d.Keeper.Heard(n, holderLost)
}

// forget drops what was known of orders that ended.
func (d *Duty) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.routers)
	clear(d.own)
	clear(d.folds)
	clear(d.runs)
}

// fold hands what routers reported to this keeper to the holder.
func (d *Duty) fold() {
	holder := d.Holder()
	if holder == "" || holder == d.Keeper.Self {
		return
	}
	d.mu.Lock()
	if d.folded != 0 && clock.Since(d.folded) < foldPause {
		d.mu.Unlock()
		return
	}
	d.enterEra()
	total, routers := d.ownSum()
	d.num++
	d.folded = clock.Now()
	num, era := d.num, d.era
	d.mu.Unlock()
	if len(total) == 0 {
		return
	}
	m := consensus.Msg{Kind: consensus.RolloutFold, From: d.Keeper.Self, Num: num, Life: d.Keeper.Life(), Epoch: era, Count: routers, Val: (&rollout.Report{Services: total}).Encode()}
	d.Keeper.Net.Ask(holder, m, foldPause)
}

func (d *Duty) run(service ids.Service, at Standing) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = map[ids.Service]*run{}
	}
	r := d.runs[service]
	if r == nil || r.number != at.State.Number {
		r = &run{service: service, number: at.State.Number, step: -1}
		d.runs[service] = r
	}
	return r
}

// command has a command carried out, counts it as done, and remembers the move.
func (d *Duty) command(service ids.Service, c *rollout.Command, done *telemetry.Count, what, why string) {
	c.Writer = d.Keeper.Self
	if !d.Command(service, c, commandTimeout) {
		commands.Add(1)
		return
	}
	done.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moves = append(d.moves, fmt.Sprintf("%s: %s: %s", service, what, why))
	if over := len(d.moves) - movesKept; over > 0 {
		d.moves = d.moves[over:]
	}
}

// counted keeps what was counted for an order, for those who ask.
func (d *Duty) counted(r *run, counts *rollout.Counts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.counts = counts
}

// Moves are the last steps that this keeper took, and why.
func (d *Duty) Moves() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.moves...)
}

// Counts is what this keeper, as the holder, has counted for a service; nil if it is not
// the holder or counted nothing.
func (d *Duty) Counts(service ids.Service) *rollout.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.runs[service]; r != nil {
		return r.counts
	}
	return nil
}
