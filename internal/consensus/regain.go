package consensus

import (
	"maps"
	"slices"

	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

func (k *Keeper) survey(m Msg) Msg {
	if !m.Epoch.Zero() {
		k.raise(m.Epoch)
		if !k.acc.Voting() || k.acc.Raise(m.Epoch) != nil {
			return Msg{}
		}
	}
	k.mu.Lock()
	tried := maps.Clone(k.tried)
	k.mu.Unlock()
	return Msg{OK: k.acc.Voting(), Disk: k.Disk, From: k.Self, Roster: k.acc.Roster(), Cells: Surveyed(k.acc.Cells(), tried)}
}

// Surveyed adds to the cells of a disk the epochs that its keeper has asked
// votes for: one whose disk is lost may have promised them.
func Surveyed(cells map[ids.Key]Cell, tried map[ids.Key]ids.Epoch) map[ids.Key]Cell {
	for key, e := range tried {
		c := cells[key]
		if c.Promised.Less(e) {
			c.Promised = e
			cells[key] = c
		}
	}
	return cells
}

// Regained puts together what the others have told of the keys. It is enough
// only if every majority that self may have been part of is covered.
func Regained(self ids.Node, got map[ids.Node]Msg) (Roster, map[ids.Key]Cell, bool) {
	var r Roster
	for _, a := range got {
		if a.Roster.Num > r.Num {
			r = a.Roster
		}
	}
	if r.Num == 0 || !r.Has(self) {
		return r, nil, false
	}
	cells := map[ids.Key]Cell{}
	for n, a := range sorted(got) {
		if !a.OK || !r.Has(n) {
			continue
		}
		for key, c := range a.Cells {
			have := cells[key]
			if have.At.Less(c.At) {
				have.At, have.Val = c.At, c.Val
			}
			if have.Promised.Less(c.Promised) {
				have.Promised = c.Promised
			}
			cells[key] = have
		}
	}
	return r, cells, r.Covers(self, func(n ids.Node) bool { return got[n].OK })
}

// Newcomer tells whether self can never have been counted: a majority of the
// newest roster that anybody knows or has accepted has answered, and self is
// in none of them.
func Newcomer(self ids.Node, got map[ids.Node]Msg) bool {
	var top Roster
	for _, a := range got {
		at, ok := DecodeRoster(a.Cells[ids.Roster].Val)
		if a.Roster.Has(self) || ok && at.Has(self) {
			return false
		}
		if a.Roster.Num > top.Num {
			top = a.Roster
		}
	}
	return top.Majority(oks(got))
}

// seated tells whether a majority of the newest roster has answered, and self is
// in it.
func seated(self ids.Node, got map[ids.Node]Msg) bool {
	var top Roster
	for _, a := range got {
		if a.Roster.Num > top.Num {
			top = a.Roster
		}
	}
	return top.Has(self) && majority(top.Seat, oks(got))
}

// Floor is an epoch above all that the others have told of. Raised on those
// that are read before they are read again, it makes sure that no lease goes on
// counting what the lost disk had accepted.
func Floor(got map[ids.Node]Msg, self ids.Node, life uint64) ids.Epoch {
	e := ids.Epoch{Round: 1, Node: self, Life: life}
	for _, a := range got {
		for _, c := range a.Cells {
			e.Round = max(e.Round, c.Promised.Round+1)
		}
	}
	return e
}

// Regain reads enough others to take the place of a lost disk. It tells
// whether this keeper may vote now.
func (k *Keeper) Regain() bool {
	r := k.acc.Roster()
	if k.acc.Voting() {
		if r.Num != 0 && !r.Has(k.Self) {
			k.wantSeat(r)
		}
		return true
	}
	if k.acc.Unvoted() && r.Has(k.Self) {
		return k.found(r)
	}
	k.mu.Lock()
	waits := k.newcomer && r.Num != 0 && !r.Has(k.Self)
	k.mu.Unlock()
	if waits {
		// nothing of it was ever counted: all there is to do is to ask
		k.wantSeat(r)
		return false
	}
	to := k.peers()
	founders, _ := k.seeds()
	for _, n := range founders {
		if n != k.Self && !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	all := func(g map[ids.Node]Msg) bool { return len(g) == len(to) }
	k.mu.Lock()
	newcomer := k.newcomer
	k.mu.Unlock()
	got := k.askAll(to, Msg{Kind: Survey, Zone: k.Zone}, askTimeout*2, func(g map[ids.Node]Msg) bool {
		return all(g) || Newcomer(k.Self, g) || newcomer && seated(k.Self, g)
	})
	r, cells, ok := Regained(k.Self, got)
	if r.Num != 0 && !r.Has(k.Self) {
		if Newcomer(k.Self, got) {
			k.mu.Lock()
			k.newcomer = true
			k.mu.Unlock()
		}
		if k.Disk || !anyDisk(got) {
			k.wantSeat(r)
		}
		return false
	}
	if newcomer && r.Has(k.Self) {
		if k.acc.Found(r, cells) != nil {
			return false
		}
		telemetry.State("seat taken", "read", len(got))
		return true
	}
	if !ok {
		return false
	}
	floor := Floor(got, k.Self, k.life)
	got = k.askAll(to, Msg{Kind: Survey, Zone: k.Zone, Epoch: floor}, askTimeout*2, all)
	r, cells, ok = Regained(k.Self, got)
	if !ok {
		return false
	}
	cells[floorKey] = Cell{Promised: floor}
	if err := k.acc.Found(r, cells); err != nil {
		return false
	}
	telemetry.State("disk regained from others", "read", len(got))
	return true
}
