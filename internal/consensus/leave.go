package consensus

import (
	"fmt"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

const (
	// leavePause is the time between two notices of a keeper that leaves, leaveTimeout how long
	// others have to answer one, and leaveFresh how long one holds.
	leavePause   = 100 * clock.Millisecond
	leaveTimeout = 250 * clock.Millisecond
	leaveFresh   = clock.Second
	// askedAnew is how long a keeper may take to ask another seat than one that is silent.
	askedAnew = askPause + askTimeout + 2*leaveTimeout
	// turnStep is how much later each further seat hands over, if those before it do not.
	turnStep = 300 * clock.Millisecond
)

// successors is what the seats say of keepers that ask for a seat.
type successors int

const (
	// none says that no seat was asked by a keeper that could succeed.
	none successors = iota
	// unknown says that some seat cannot tell.
	unknown
	// some says that there is such a keeper.
	some
)

// HandOver gives this keeper's seat to a keeper that asks for one and under which the loss of a zone
// is borne no worse. It returns once that is done, if there is none, or at the timeout. The keeper goes on
// voting meanwhile, so that its leaving is no loss.
func (k *Keeper) HandOver(timeout clock.Span) {
	k.ending.Store(true)
	begun := clock.Now()
	for clock.Since(begun) < timeout {
		r := k.acc.Roster()
		if !k.acc.Voting() || !r.Has(k.Self) {
			k.noticeLeaving(r) // that none who asked this one gives it a seat
			break
		}
		found := k.noticeLeaving(r)
		if len(k.acc.Roster().Next) == 0 && (found == none || found == unknown && clock.Since(begun) >= askedAnew) {
			break
		}
		clock.Sleep(leavePause)
	}
	telemetry.State("leaving the core", "seat", k.acc.Roster().Has(k.Self), "after", clock.Since(begun).Round(clock.Millisecond))
}

// noticeLeaving tells the seats that this one leaves, and learns whether any of them, or this one,
// knows of a keeper that can take its seat.
func (k *Keeper) noticeLeaving(r Roster) (found successors) {
	notice := Msg{Kind: Leave, From: k.Self, Zone: k.Zone, Roster: r}
	if k.takeNotice(notice).Count > 0 {
		found = some
	}
	notice.Order, notice.SeatZones = k.whoAsks()
	others := slices.DeleteFunc(r.All(), func(n ids.Node) bool { return n == k.Self })
	got := k.askAll(others, notice, leaveTimeout, func(g map[ids.Node]Msg) bool { return len(g) == len(others) })
	for _, n := range others {
		a := got[n]
		k.take(Msg{Roster: a.Roster})
		switch {
		case a.Count > 0:
			found = some
		case !a.OK && !k.leaves(n):
			found = max(found, unknown)
		}
	}
	return found
}

// leaves tells whether a keeper said of late that it leaves: it told then who asked it.
func (k *Keeper) leaves(n ids.Node) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.leaving[n]
	return ok && clock.Since(at) <= askedFor
}

// takeNotice takes in that a seat leaves, and hands the seat over if there is one to take it. A leaver
// tells of the keepers that asked it, as each asks one seat only.
func (k *Keeper) takeNotice(m Msg) Msg {
	k.mu.Lock()
	k.leaving[m.From] = clock.Now()
	if m.Order != nil {
		k.toldOf(m.Order.Joiners, m.SeatZones)
	}
	k.mu.Unlock()
	r := k.acc.Roster()
	if !k.mayAssign(r) {
		return Msg{Roster: r}
	}
	asking := k.Asking()
	_, successors := k.instead(r, k.leavers(r), asking)
	if len(r.Next) == 0 {
		k.assign(r, asking)
	}
	// one that has just started may have been asked in its last life
	return Msg{OK: clock.Since(k.local0) >= askedFor, Count: len(successors), Roster: r}
}

// handOver is a change of seats of which some leave.
type handOver struct {
	roster     uint64
	gone, next string
}

// mayHandOver tells whether it is this keeper's turn to hand seats that leave to others: if several
// did at once, they would take the roster from each other.
func (k *Keeper) mayHandOver(r Roster, leavers, next []ids.Node) bool {
	late := 0
	if slices.Contains(leavers, k.Self) {
		late = len(r.Seat) - len(leavers)
	}
	change := handOver{r.Num, fmt.Sprint(leavers), fmt.Sprint(next)}
	k.mu.Lock()
	if k.pending != change {
		k.pending, k.pendingSince = change, clock.Now()
	}
	since := k.pendingSince
	k.mu.Unlock()
	return clock.Since(since) >= turnStep*clock.Span(late+k.turnToSeat(r, leavers...))
}

// whoAsks names the keepers that asked this one for a seat, and their zones.
func (k *Keeper) whoAsks() (*Order, map[ids.Node]ids.Zone) {
	order, zones := &Order{}, map[ids.Node]ids.Zone{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for n := range sorted(k.asked) {
		if a := k.asked[n]; !a.told && clock.Since(a.at) <= askedFor {
			order.Joiners = append(order.Joiners, n)
			zones[n] = a.zone
		}
	}
	return order, zones
}

// toldOf takes in which keepers asked another one for a seat. It is for those who hold the lock.
func (k *Keeper) toldOf(asking []ids.Node, zones map[ids.Node]ids.Zone) {
	now := clock.Now()
	for _, n := range asking {
		if a, ok := k.asked[n]; ok && clock.Since(a.at) <= askedFor {
			continue
		}
		k.asked[n] = asked{at: now, from: now, zone: zones[n], told: true}
		if zones[n] != "" {
			k.others[n] = zones[n]
		}
	}
}

// leavers are the seats that said of late that they leave.
func (k *Keeper) leavers(r Roster) []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, at := range k.leaving {
		if clock.Since(at) > askedFor {
			delete(k.leaving, n)
		}
	}
	return slices.DeleteFunc(slices.Clone(r.Seat), func(n ids.Node) bool {
		at, leaves := k.leaving[n]
		return !leaves || clock.Since(at) > leaveFresh
	})
}
