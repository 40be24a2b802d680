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

// A seat is given to another after 3 s of silence if the loss of a zone is borne
// no worse then: until it is, a second loss may leave no majority. Where it
// would be borne worse, cuts and freezes are waited for: they last up to 20 s,
// and seats do not move back on their own.
const (
	goneAfter = 3 * clock.Second
	goneLong  = 30 * clock.Second
	askedFor  = 2 * clock.Second
	askPause  = 500 * clock.Millisecond
	hereFor   = 1200 * clock.Millisecond
	copyWait  = 10 * clock.Second
	copyPause = 50 * clock.Millisecond
	// seatTimeout bounds one try to end a change of seats. A seat takes up a
	// change that another has not ended after reseatAfter, and one reseatStep
	// later for each seat that comes before it.
	seatTimeout = 4 * clock.Second
	// votersWait is how long new seats may take to read the others' disks, before
	// they vote.
	votersWait  = 1200 * clock.Millisecond
	reseatAfter = 2 * clock.Second
	reseatStep  = 1500 * clock.Millisecond
)

func (k *Keeper) wantSeat(r Roster) {
	if k.ending.Load() {
		return
	}
	k.mu.Lock()
	soon := k.wanted != 0 && clock.Since(k.wanted) < askPause
	if !soon {
		k.wanted = clock.Now()
	}
	k.mu.Unlock()
	if soon {
		return
	}
	to := r.All()
	slices.SortStableFunc(to, func(a, b ids.Node) int {
		switch x, y := k.recent(a, hereFor), k.recent(b, hereFor); {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
	for _, n := range to {
		if a, ok := k.Net.Ask(n, Msg{Kind: Join, From: k.Self, Zone: k.Zone}, askTimeout); ok && a.OK {
			return
		}
	}
}

// asked is when a keeper asked for a seat last, and since when it has.
type asked struct {
	at   clock.Tick
	from clock.Tick
	zone ids.Zone
	// told says that it asked another seat, which told of it.
	told bool
}

func (k *Keeper) zoneOf(n ids.Node) ids.Zone {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n == k.Self {
		return k.Zone
	}
	if z, ok := k.others[n]; ok && z != "" {
		return z
	}
	return ids.Zone("of " + n)
}

func (k *Keeper) askers(j ids.Node, z ids.Zone) []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	from := now
	if a, ok := k.asked[j]; ok && now.Sub(a.at) <= askedFor {
		from = a.from
	}
	k.asked[j] = asked{at: now, from: from, zone: z}
	return k.fresh()
}

// Asking are the keepers that asked for a seat of late.
func (k *Keeper) Asking() []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fresh()
}

// fresh is Asking, for those who hold the lock.
func (k *Keeper) fresh() []ids.Node {
	var out []ids.Node
	for n, a := range sorted(k.asked) {
		if clock.Since(a.at) > askedFor {
			delete(k.asked, n)
			continue
		}
		if _, leaves := k.leaving[n]; !leaves {
			out = append(out, n)
		}
	}
	return out
}

// beside names those of the askers who may get a seat beside all others: each
// seat was heard of since they first asked. One that comes in place of a machine
// that went just before would else leave a seat that nobody ever asks for.
func (k *Keeper) beside(r Roster, in []ids.Node) []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(in), func(j ids.Node) bool {
		return slices.ContainsFunc(r.Seat, func(n ids.Node) bool { return n != k.Self && k.heard[n] < k.asked[j].from })
	})
}

// soon tells whether one of the askers began to ask just now, so that others who
// were started with it may be about to.
func (k *Keeper) soon(in []ids.Node) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(in, func(j ids.Node) bool { return clock.Since(k.asked[j].from) < hereFor })
}

// mayAssign tells whether this keeper may change the seats.
func (k *Keeper) mayAssign(r Roster) bool {
	return k.acc.Voting() && r.Has(k.Self) && k.Sure(hereFor)
}

func (k *Keeper) join(j ids.Node, z ids.Zone) Msg {
	r := k.acc.Roster()
	if !k.mayAssign(r) {
		return Msg{}
	}
	if !r.Has(j) && len(r.Next) == 0 {
		k.assign(r, k.askers(j, z))
	}
	return Msg{OK: true}
}

// assign gives seats to those who ask for them, if it is time: in place of seats that leave, else of
// such that have gone, else beside all others.
func (k *Keeper) assign(r Roster, in []ids.Node) {
	leavers := k.leavers(r)
	gone, unclear := leavers, false
	if len(leavers) == 0 {
		gone, unclear = k.silent(r)
	}
	if unclear {
		return
	}
	_, seats := k.seeds()
	if len(gone) == 0 {
		in = r.Admit(k.beside(r, in), k.zoneOf, seats)
	} else {
		all := len(gone)
		if gone, in = k.instead(r, gone, in); len(in) < all && k.soon(in) {
			return
		}
	}
	if len(in) == 0 || len(leavers) > 0 && !k.mayHandOver(r, leavers, in) || !k.seating.TryLock() {
		return
	}
	concurrency.Go(func() {
		defer k.seating.Unlock()
		a := k.Own(ids.Roster, clock.Now().Add(3*clock.Second), func(cur []byte) ([]byte, Msg) {
			if len(cur) == 0 {
				cur = k.acc.Roster().Encode()
			}
			return DecideRoster(cur, &Order{Base: ids.Version(r.Num), Joiners: in, Gone: gone})
		})
		if a.OK {
			telemetry.State("seats given", "to", in, "instead of", gone)
			k.endChange(r.Num + 1)
		}
	})
}

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

// silent names the seats that were not heard of for long, the longest first.
// While one may be on its way out or back nothing is clear, nor is it to a
// keeper that was itself cut off or stood still just now.
func (k *Keeper) silent(r Roster) (gone []ids.Node, unclear bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	since := map[ids.Node]clock.Tick{}
	for _, n := range r.Seat {
		at, ok := k.heard[n]
		if !ok {
			at = k.local0
		}
		switch {
		case n == k.Self || clock.Since(at) < hereFor:
		case clock.Since(at) < goneAfter:
			return nil, true
		default:
			since[n] = at
			gone = append(gone, n)
		}
	}
	slices.SortStableFunc(gone, func(a, b ids.Node) int { return int(since[a].Sub(since[b])) })
	return gone, len(gone) > 0 && k.sure.Sub(k.steady) < goneAfter
}

// instead pairs seats that are gone with askers who may take them in one change:
// soon if a lost zone is borne no worse, and after a long while in any case.
func (k *Keeper) instead(r Roster, gone, ask []ids.Node) (out, in []ids.Node) {
	ask = slices.DeleteFunc(slices.Clone(ask), r.Has)
	slices.Sort(ask)
	seat := slices.Clone(r.Seat)
	_, before := r.bears(k.zoneOf)
	for _, g := range gone {
		at := slices.Index(seat, g)
		took := -1
		for i, n := range ask {
			seat[at] = n
			if _, after := (Roster{Seat: seat}).bears(k.zoneOf); after || !before {
				took = i
				break
			}
		}
		if took < 0 && len(ask) > 0 && !k.recent(g, goneLong) {
			took = 0
		}
		if took < 0 {
			seat[at] = g
			continue
		}
		seat[at] = ask[took]
		out, in = append(out, g), append(in, ask[took])
		ask = slices.Delete(ask, took, took+1)
	}
	return out, in
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
