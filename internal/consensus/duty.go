package consensus

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Duty is something that one keeper does at a time. It is won by a ballot, and
// fenced by the ballot's epoch.
type Duty struct {
	Keeper *Keeper
	Key    ids.Key
	Value  func(ids.Key) ([]byte, ids.Place)

	seen  ids.Place
	since clock.Tick
	wait  clock.Span
}

const dutyWait = 350 * clock.Millisecond

// Mine tells whether this life of the keeper has the duty, and since which ballot.
func (d *Duty) Mine() (bool, ids.Place) {
	val, at := d.Value(d.Key)
	k := d.Keeper
	return string(val) == string(k.Self) && at.Epoch.Node == k.Self && at.Epoch.Life == k.Life(), at
}

// Holder names the keeper that has the duty.
func (d *Duty) Holder() ids.Node {
	val, _ := d.Value(d.Key)
	return ids.Node(val)
}

// Vacant tells whether nobody has the duty, or one that is not alive. Each
// keeper waits a little of its own first.
func (d *Duty) Vacant(at ids.Place, alive func(ids.Node) bool) bool {
	if at != d.seen || d.since == 0 || alive(d.Holder()) {
		d.seen, d.since = at, clock.Now()
		d.wait = clock.Span(concurrency.Int64N(int64(dutyWait)))
		return false
	}
	return clock.Since(d.since) >= d.wait
}

// Win holds a ballot for the duty.
func (d *Duty) Win() bool {
	k := d.Keeper
	a := k.Own(d.Key, clock.Now().Add(clock.Second), func(cur []byte) ([]byte, Msg) {
		if string(cur) == string(k.Self) {
			return nil, Msg{OK: true}
		}
		return []byte(k.Self), Msg{OK: true}
	})
	if a.OK {
		telemetry.State("duty won", "duty", d.Key, "node", k.Self)
	}
	return a.OK
}

// Before is who had a duty when a ballot for it was held.
type Before struct {
	// Holder had it last, nobody if there never was a holder.
	Holder ids.Node
	// Other says that somebody else than this keeper had it at some time during the ballot.
	Other bool
}

// WinFrom holds a ballot for the duty that a keeper has had as far as is known, nobody if there never was a holder.
// It leaves the duty to another that has won it meanwhile. What it tells of before holds also if it is not won: what
// was written may stand later.
func (d *Duty) WinFrom(holder ids.Node) (had Before, won bool) {
	k := d.Keeper
	a := k.Own(d.Key, clock.Now().Add(clock.Second), func(cur []byte) ([]byte, Msg) {
		before := ids.Node(cur)
		had.Holder, had.Other = before, had.Other || before != k.Self
		if before != holder && before != "" {
			return nil, Msg{OK: before == k.Self}
		}
		return []byte(k.Self), Msg{OK: true}
	})
	if a.OK {
		telemetry.State("duty won", "duty", d.Key, "node", k.Self)
	}
	return had, a.OK
}

// Confirm tells whether a majority still holds the ballot with which the duty was won, asked now. It wins
// nothing back.
func (d *Duty) Confirm(at ids.Place, timeout clock.Span) bool {
	return d.Keeper.holds(d.Key, &lease{at: at}, clock.Now().Add(timeout))
}
