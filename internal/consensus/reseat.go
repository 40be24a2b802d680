package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// endChange ends the change of seats that this keeper has begun, with a roster of this number.
func (k *Keeper) endChange(num uint64) {
	begun := clock.Now()
	for clock.Since(begun) < reseatAfter {
		if r := k.acc.Roster(); r.Num != num || len(r.Next) == 0 {
			return
		}
		k.seat()
		giveWay()
	}
}

// seat ends a change of seats, in three steps: majorities of both sets are bound
// to the joint roster and tell their keys, so that none stands that nobody here
// knows of; each key is won anew under majorities of both; the new seats that are
// heard have every value on their disks.
func (k *Keeper) seat() {
	r := k.acc.Roster()
	if len(r.Next) == 0 {
		return
	}
	deadline := clock.Now().Add(seatTimeout)
	begun := clock.Now()
	keys, ok := k.keysOf(r)
	for !ok && k.acc.Roster().Num == r.Num && clock.Since(begun) < votersWait {
		clock.Sleep(copyPause)
		keys, ok = k.keysOf(r)
	}
	if !ok {
		return
	}
	places := map[ids.Key]ids.Place{}
	for _, key := range keys {
		a := k.rewin(key, deadline)
		if !a.OK {
			return
		}
		places[key] = a.At
	}
	if !k.copied(r, places, deadline) {
		return
	}
	a := k.Own(ids.Roster, deadline, func(cur []byte) ([]byte, Msg) {
		return DecideRoster(cur, &Order{Base: ids.Version(r.Num), On: true})
	})
	if a.OK {
		telemetry.State("roster changed", "num", k.acc.Roster().Num)
	}
}

// keysOf asks the seats for their keys under the roster r. Only those count that
// go by it when they answer: no key is accepted under an earlier one any more.
func (k *Keeper) keysOf(r Roster) ([]ids.Key, bool) {
	under := func(g map[ids.Node]Msg) func(ids.Node) bool {
		return func(n ids.Node) bool { return g[n].OK && g[n].Code == codes.OK && g[n].Roster.Num == r.Num }
	}
	got := k.askAll(r.All(), Msg{Kind: Digest, Zone: k.Zone, Roster: r}, askTimeout,
		func(g map[ids.Node]Msg) bool { return r.Majority(under(g)) })
	if !r.Majority(under(got)) {
		k.heed(got)
		return nil, false
	}
	in := map[ids.Key]bool{ids.Roster: true}
	for n := range sorted(got) {
		for key := range got[n].Marks {
			if key.Kept() {
				in[key] = true
			}
		}
	}
	if guards.Off(guards.Keys) {
		in = map[ids.Key]bool{ids.Roster: true}
		for key := range k.acc.Cells() {
			if key.Kept() && key != floorKey {
				in[key] = true
			}
		}
	}
	var keys []ids.Key
	for key := range sorted(in) {
		keys = append(keys, key)
	}
	return keys, true
}

// copied waits until each of the new seats that answer, a majority at least, has
// all values at these places or later ones on its disk. One that answers and
// cannot write holds the change up for a while only.
func (k *Keeper) copied(r Roster, places map[ids.Key]ids.Place, deadline clock.Tick) bool {
	next := Roster{Num: r.Num, Seat: r.Next}
	for clock.Until(deadline) > 0 {
		got := k.askAll(r.Next, Msg{Kind: Digest, Zone: k.Zone, Roster: r}, min(askTimeout, clock.Until(deadline)),
			func(g map[ids.Node]Msg) bool { return len(g) == len(r.Next) })
		has := func(n ids.Node) bool {
			a := got[n]
			if !a.OK || a.Code != codes.OK || a.Roster.Num != r.Num {
				return false
			}
			for key, at := range places {
				if a.Marks[key].At.Less(at) {
					return false
				}
			}
			return true
		}
		k.mu.Lock()
		patient := k.joint.num != r.Num || clock.Since(k.joint.since) < copyWait
		k.mu.Unlock()
		all := true
		for n := range got {
			all = all && has(n)
		}
		if next.Majority(has) && (all || !patient) {
			return true
		}
		clock.Sleep(copyPause)
	}
	return false
}

// rewin wins a key anew under the roster that is gone by now.
func (k *Keeper) rewin(key ids.Key, deadline clock.Tick) Msg {
	t := k.lease(key)
	if !t.turn.Take(clock.Until(deadline)) {
		return Msg{Code: codes.NoMajority}
	}
	t.held = false
	t.turn.Give()
	return k.Own(key, deadline, func([]byte) ([]byte, Msg) { return nil, Msg{OK: true} })
}

// turnToSeat counts the seats that come before this one when a change of seats
// is to be taken up: seats that do so at once take each other's leases. The
// order is drawn anew for each roster, and silent seats and the others named are passed over.
func (k *Keeper) turnToSeat(r Roster, others ...ids.Node) int {
	rank := func(n ids.Node) uint64 {
		h := fnv.New64a()
		fmt.Fprint(h, r.Num, "|", n)
		return h.Sum64()
	}
	before := 0
	for _, n := range r.All() {
		if n != k.Self && !slices.Contains(others, n) && rank(n) < rank(k.Self) && k.recent(n, hereFor) {
			before++
		}
	}
	return before
}

// reseat takes up a change of seats that another seat has begun and not ended.
func (k *Keeper) reseat() {
	r := k.acc.Roster()
	k.mu.Lock()
	if len(r.Next) == 0 || k.joint.num != r.Num {
		k.joint.num, k.joint.since = r.Num, clock.Now()
	}
	since := k.joint.since
	k.mu.Unlock()
	old := clock.Since(since) > reseatAfter+clock.Span(k.turnToSeat(r))*reseatStep
	if len(r.Next) == 0 || !old || !r.Has(k.Self) || !k.acc.Voting() || !k.seating.TryLock() {
		return
	}
	concurrency.Go(func() {
		defer k.seating.Unlock()
		k.seat()
	})
}
