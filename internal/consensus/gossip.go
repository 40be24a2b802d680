package consensus

import (
	"maps"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
)

const (
	gossipSoon  = 400 * clock.Millisecond
	gossipUnmet = 1200 * clock.Millisecond
	gossipMet   = 3 * clock.Second
	gossipQuick = 4 * clock.Second
	pullTimeout = 200 * clock.Millisecond

	callersKept = 8
	zonesKept   = 256
)

// contact is when a daemon is told next, and whether its last answer showed
// that it knows the roster.
type contact struct {
	next clock.Tick
	met  bool
}

// Gossip exchanges rosters with the seeds that the settings name now and, where
// this keeper has no seat, with one seat and with those that asked it: each of
// them is told what is known here, and tells what it knows. It returns at once;
// a daemon is asked again after a pause of its own.
func (k *Keeper) Gossip() {
	if guards.Off(guards.Seeds) {
		return
	}
	for _, n := range k.due() {
		concurrency.Go(func() { k.exchange(n, askTimeout) })
	}
}

func (k *Keeper) exchange(n ids.Node, timeout clock.Span) bool {
	a, ok := k.Net.Ask(n, k.gossip(), timeout)
	if !ok {
		k.misses(n)
		k.met(n, false)
		return false
	}
	k.answers(n)
	k.take(a)
	num := k.acc.Roster().Num
	k.met(n, num > 0 && a.Roster.Num == num)
	return true
}

func (k *Keeper) gossip() Msg {
	r := k.acc.Roster()
	return Msg{Kind: Gossip, OK: true, From: k.Self, Zone: k.Zone, Roster: r, SeatZones: k.zonesOf(r)}
}

func (k *Keeper) gossiped(m Msg) Msg {
	k.take(m)
	k.mu.Lock()
	if i := slices.Index(k.callers, m.From); i >= 0 {
		k.callers = slices.Delete(k.callers, i, i+1)
	}
	if m.From != "" {
		k.callers = append(k.callers, m.From)
	}
	k.callers = k.callers[max(0, len(k.callers)-callersKept):]
	k.mu.Unlock()
	return k.gossip()
}

// take takes in what another daemon tells of rosters and of the zones of seats.
func (k *Keeper) take(m Msg) {
	if m.Roster.Num > k.acc.Roster().Num {
		_ = k.acc.Adopt(m.Roster)
	}
	r := k.acc.Roster()
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, z := range m.SeatZones {
		if z != "" && r.Has(n) {
			k.others[n] = z
		}
	}
	if m.Zone != "" && r.Has(m.From) {
		k.others[m.From] = m.Zone
	}
}

func (k *Keeper) met(n ids.Node, met bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.contacts[n]
	c.met = met
	switch {
	case met:
		c.next = clock.Now().Add(gossipMet)
	case clock.Since(k.seededAt) < gossipQuick:
		c.next = clock.Now().Add(gossipSoon)
	default:
		c.next = clock.Now().Add(gossipUnmet)
	}
	k.contacts[n] = c
}

// due names those to be told now, and marks them as asked.
func (k *Keeper) due() []ids.Node {
	r := k.acc.Roster()
	rounds := k.Rounds()
	k.mu.Lock()
	defer k.mu.Unlock()
	var to []ids.Node
	add := func(n ids.Node) {
		if n != k.Self && n != "" && !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	for _, n := range k.Founders {
		if !rounds || !r.Has(n) {
			add(n)
		}
	}
	if !rounds && len(r.All()) > 0 {
		all := r.All()
		add(all[k.seat0%len(all)])
	}
	if r.Num == 0 {
		for _, n := range k.callers {
			add(n)
		}
	}
	maps.DeleteFunc(k.contacts, func(n ids.Node, _ contact) bool { return !slices.Contains(to, n) })
	now := clock.Now()
	var out []ids.Node
	for _, n := range to {
		if k.contacts[n].next <= now {
			k.contacts[n] = contact{next: now.Add(gossipUnmet), met: k.contacts[n].met}
			out = append(out, n)
		}
	}
	if len(out) > 0 {
		k.seat0++
	}
	return out
}

// pull asks the seeds for a roster at once, for an order that waits; one such
// pull at a time.
func (k *Keeper) pull() bool {
	if !k.pulling.TryLock() {
		return false
	}
	defer k.pulling.Unlock()
	seeds, _ := k.seeds()
	to := slices.DeleteFunc(slices.Clone(seeds), func(n ids.Node) bool { return n == k.Self })
	for _, a := range sorted(k.askAll(to, k.gossip(), pullTimeout, func(g map[ids.Node]Msg) bool {
		for _, a := range g {
			if a.Roster.Num > 0 {
				return true
			}
		}
		return false
	})) {
		k.take(a)
	}
	return k.acc.Roster().Num > 0
}

// Rounds tells whether this keeper confirms itself with the seats: one without
// a disk and without a vote does not.
func (k *Keeper) Rounds() bool { return k.Disk || k.acc.Voting() }

// SeatZones tells the zone of each seat of the roster, empty where it is not
// known, and the number of that roster.
func (k *Keeper) SeatZones() (uint64, map[ids.Node]ids.Zone) {
	r := k.acc.Roster()
	return r.Num, k.zonesOf(r)
}

func (k *Keeper) zonesOf(r Roster) map[ids.Node]ids.Zone {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[ids.Node]ids.Zone{}
	for _, n := range r.All() {
		out[n] = k.others[n]
		if n == k.Self {
			out[n] = k.Zone
		}
	}
	return out
}

// trim forgets the zones of daemons that have no seat and were not heard of for
// long. It wants the keeper's lock.
func (k *Keeper) trim(r Roster) {
	if len(k.others) <= zonesKept && len(k.heard) <= zonesKept {
		return
	}
	gone := func(n ids.Node) bool {
		at, ok := k.heard[n]
		return !r.Has(n) && (!ok || clock.Since(at) > 10*clock.Second)
	}
	maps.DeleteFunc(k.others, func(n ids.Node, _ ids.Zone) bool { return gone(n) })
	maps.DeleteFunc(k.heard, func(n ids.Node, _ clock.Tick) bool { return gone(n) })
	maps.DeleteFunc(k.rounding, func(n ids.Node, _ clock.Tick) bool { return gone(n) })
	maps.DeleteFunc(k.health, func(n ids.Node, _ health) bool { return gone(n) })
}
