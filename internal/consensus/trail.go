package consensus

import (
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

const trailKept = 512

func (k *Keeper) stepVal(key ids.Key, at ids.Place, val []byte, what string) {
	if !key.Kept() {
		return
	}
	label := ""
	if k.Label != nil {
		label = k.Label(key, val)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.note(Step{Key: key, At: at, What: what, Node: k.Self, Label: label})
}

func (k *Keeper) note(s Step) {
	k.trail = append(k.trail, s)
	k.trailAt = append(k.trailAt, clock.Now())
	if len(k.trail) > 2*trailKept {
		k.trail = append([]Step(nil), k.trail[trailKept:]...)
		k.trailAt = append([]clock.Tick(nil), k.trailAt[trailKept:]...)
	}
}

func (k *Keeper) stepOf(n ids.Node, key ids.Key, at ids.Place, what string) {
	if !key.Kept() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.note(Step{Key: key, At: at, What: what, Node: n})
}

// Trail reads the steps kept of a key, oldest first.
func (k *Keeper) Trail(key ids.Key) []Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []Step
	for i, s := range k.trail {
		if s.Key == key {
			s.Ago = clock.Since(k.trailAt[i])
			out = append(out, s)
		}
	}
	return out
}

// Report tells of this keeper and of the steps that it knows of a key.
func (k *Keeper) Report(key ids.Key) *Report {
	r := &Report{Node: k.Self, Role: "keeper", Zone: k.Zone, Voting: k.acc.Voting(), Sure: k.Sure(3 * Beat),
		Roster: k.acc.Roster(), Owners: map[ids.Key]ids.Place{}, Steps: k.Trail(key), Copies: k.Copies()}
	for n, at := range k.Sink.Known() {
		r.Owners[n] = at
	}
	r.Answers = !k.Cut() && (r.Voting || !k.Rounds() && r.Roster.Num > 0)
	k.mu.Lock()
	defer k.mu.Unlock()
	r.Confirmed = -1
	if k.sure != 0 {
		r.Confirmed = clock.Since(k.sure)
	}
	r.Seeds = slices.Clone(k.Founders)
	for _, n := range slices.Concat(k.Founders, k.callers) {
		if n != k.Self && !r.Roster.Has(n) && !slices.Contains(r.Others, n) {
			r.Others = append(r.Others, n)
		}
	}
	return r
}
