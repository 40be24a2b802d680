package consensus

import (
	"fmt"
	"hash/fnv"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

func anyDisk(got map[ids.Node]Msg) bool {
	for _, a := range got {
		if a.Disk {
			return true
		}
	}
	return false
}

// Begin takes part in the founding of the first roster: the seeds that have a
// disk, which every seed asks of all others. Only where none has one do disks
// in memory count. One that hears of a roster goes by that, whether the others
// answer or not. It tells whether that is done.
func (k *Keeper) Begin() bool {
	founders := k.acc.Founders()
	noted := len(founders) > 0
	if !noted { // no disk that could note them
		founders, _ = k.seeds()
	}
	to := slices.DeleteFunc(slices.Clone(founders), func(n ids.Node) bool { return n == k.Self })
	got := k.askAll(to, Msg{Kind: Digest, Zone: k.Zone}, askTimeout, func(g map[ids.Node]Msg) bool { return len(g) == len(to) })
	for _, a := range sorted(got) {
		k.take(a)
	}
	// one that found the roster first may have acknowledged changes since, and
	// others that found it may be down: nothing of this disk was ever counted
	if r := k.acc.Roster(); r.Num > 0 {
		return !r.Has(k.Self) || k.found(r)
	}
	if len(got) < len(to) {
		return false
	}
	// one whose disk is not that of the first start any more may have founded with
	// others, and acknowledged what only the lost disk had
	for _, a := range got {
		if noted && a.Disk && !a.Unvoted {
			return false
		}
	}
	got[k.Self] = Msg{Disk: k.Disk}
	in := slices.Clone(founders)
	if anyDisk(got) {
		in = slices.DeleteFunc(in, func(n ids.Node) bool { return !got[n].Disk })
	}
	if !slices.Contains(in, k.Self) {
		return true
	}
	return k.found(Founding(in))
}

func (k *Keeper) found(r Roster) bool {
	if err := k.acc.Found(r, nil); err != nil {
		telemetry.Trouble("founding record refused", "err", err)
		return false
	}
	telemetry.State("founded", "seats", len(r.Seat))
	return true
}

// seatsNear are the seats of the roster that orders may be forwarded to, the one
// that answered last first; those that were silent lately come last, the one that
// was asked least lately before the others.
func (k *Keeper) seatsNear() []ids.Node {
	out := slices.DeleteFunc(k.acc.Roster().All(), func(n ids.Node) bool { return n == k.Self })
	if len(out) == 0 && guards.Off(guards.Hops) {
		out, _ = k.seeds()
		out = slices.DeleteFunc(slices.Clone(out), func(n ids.Node) bool { return n == k.Self })
	}
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	ranks := map[ids.Node]uint64{}
	for _, n := range out {
		h := fnv.New64a()
		fmt.Fprint(h, k.Self, "|", n)
		ranks[n] = h.Sum64()>>1 | 1
		if n == last {
			ranks[n] = 0
		}
		if at := k.silentSince(n); at != 0 {
			ranks[n] = 1<<63 | uint64(at)
		}
	}
	rank := func(n ids.Node) uint64 { return ranks[n] }
	slices.SortFunc(out, func(a, b ids.Node) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return out
}

func (k *Keeper) answered(n ids.Node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last = n
}

// forward hands an order to a seat, which hands it to nobody without one. A
// keeper that knows no seat refuses it.
func (k *Keeper) forward(key ids.Key, o *Order, deadline clock.Tick) Msg {
	if k.acc.Roster().Num == 0 && !guards.Off(guards.Hops) && !k.pull() {
		return Msg{Code: codes.NotVoting, Text: "no seat is known here"}
	}
	tried := map[ids.Node]bool{}
	for clock.Until(deadline) > 0 {
		to := slices.DeleteFunc(k.seatsNear(), func(n ids.Node) bool { return tried[n] })
		if len(to) == 0 {
			break
		}
		n := to[0]
		tried[n] = true
		timeout := min(askTimeout, clock.Until(deadline))
		a, ok := k.Net.Ask(n, Msg{Kind: Forward, Key: key, Order: o, Left: timeout}, timeout)
		if !ok {
			k.misses(n)
			continue
		}
		k.answers(n)
		if a.clear() || a.Code == codes.Moved {
			k.answered(n)
			return a
		}
		k.take(Msg{Roster: a.Roster})
	}
	return Msg{Code: codes.NoMajority}
}

// OrdersMost is how many orders of other daemons a keeper has in hand at once.
const OrdersMost = 64

func (k *Keeper) admit() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.orders >= OrdersMost && !guards.Off(guards.Hops) {
		return false
	}
	k.orders++
	return true
}

func (k *Keeper) done() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.orders--
}

// ordered carries out an order that another daemon has taken from a client.
func (k *Keeper) ordered(m Msg) Msg {
	if !k.acc.Voting() && !guards.Off(guards.Hops) {
		return Msg{Code: codes.NotVoting, Roster: k.acc.Roster()}
	}
	if !k.admit() {
		return Msg{Code: codes.QueueFull, Text: "too many orders in hand"}
	}
	defer k.done()
	switch {
	case m.Order == nil:
		return Msg{Code: codes.NoCall}
	case k.late(m):
		return Msg{Code: codes.Unvouched}
	case unbound(m.Key, m.Order):
		return Msg{Code: codes.Moved}
	case m.Kind == Forward:
		return k.Change(m.Key, m.Order, m.until(forwardTimeout*2))
	}
	return k.carry(m.Key, m.Order, m.until(forwardTimeout))
}
