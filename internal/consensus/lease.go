package consensus

import (
	"bytes"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

const (
	askTimeout     = 450 * clock.Millisecond
	forwardTimeout = 350 * clock.Millisecond
)

type lease struct {
	turn concurrency.Turn
	held bool
	at   ids.Place
	val  []byte
}

func (k *Keeper) lease(key ids.Key) *lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.leases[key]
	if t == nil {
		t = &lease{turn: concurrency.Turn{Max: 64}}
		k.leases[key] = t
	}
	return t
}

// Decide makes the next value out of the current one. A nil next value leaves
// things as they are.
type Decide func(cur []byte) (next []byte, a Msg)

// Own runs d as the owner of the key: it wins a lease if it has none, and
// answers once the change, or that there is none, stands with a majority.
func (k *Keeper) Own(key ids.Key, deadline clock.Tick, d Decide) Msg {
	return k.own(key, deadline, func(_ ids.Place, cur []byte) ([]byte, Msg, bool) {
		next, a := d(cur)
		return next, a, false
	})
}

// own is Own for a decision that also goes by the value's place. With anew a
// next value like the current one gets a place of its own.
func (k *Keeper) own(key ids.Key, deadline clock.Tick, d func(at ids.Place, cur []byte) (next []byte, a Msg, anew bool)) Msg {
	t := k.lease(key)
	if !t.turn.Take(clock.Until(deadline)) {
		return Msg{Code: codes.NoMajority}
	}
	defer t.turn.Give()
	for clock.Until(deadline) > 0 {
		if !t.held && !k.win(key, t, deadline) {
			giveWay()
			continue
		}
		next, a, anew := d(t.at, t.val)
		if next == nil || !anew && bytes.Equal(next, t.val) {
			if k.holds(key, t, deadline) {
				a.At = t.at
				return a
			}
			t.held = false
			continue
		}
		at := ids.Place{Epoch: t.at.Epoch, Seq: t.at.Seq + 1}
		if !k.commit(key, at, next, deadline) {
			t.held = false
			giveWay()
			continue
		}
		t.at, t.val = at, next
		a.At = at
		return a
	}
	return Msg{Code: codes.NoMajority}
}

// giveWay waits for a random while, so that of several keepers that take a key from each other one comes
// to its end.
func giveWay() {
	clock.Sleep(clock.Span(20+concurrency.IntN(60)) * clock.Millisecond)
}

func (k *Keeper) commit(key ids.Key, at ids.Place, val []byte, deadline clock.Tick) bool {
	r := k.acc.Roster()
	k.stepVal(key, at, val, "sent to the disks")
	got := k.askAll(r.All(), Msg{Kind: Accept, Key: key, At: at, Val: val, Roster: r}, min(askTimeout, clock.Until(deadline)),
		func(g map[ids.Node]Msg) bool { return r.Majority(oks(g)) })
	if !r.Majority(oks(got)) {
		k.heed(got)
		return false
	}
	for n, a := range sorted(got) {
		if a.OK {
			k.stepOf(n, key, at, "synced")
		}
	}
	k.learn(key, at, val)
	var synced, rest []ids.Node
	for _, n := range k.peers() {
		if got[n].OK {
			synced = append(synced, n)
		} else {
			rest = append(rest, n)
		}
	}
	k.askAllLater(synced, Msg{Kind: Learn, From: k.Self, Key: key, At: at, Held: true})
	k.askAllLater(rest, Msg{Kind: Learn, From: k.Self, Key: key, At: at, Val: val})
	return true
}

func (k *Keeper) holds(key ids.Key, t *lease, deadline clock.Tick) bool {
	if guards.Off(guards.Confirm) {
		return true
	}
	r := k.acc.Roster()
	got := k.askAll(r.All(), Msg{Kind: Hold, Key: key, Epoch: t.at.Epoch, Roster: r}, min(askTimeout, clock.Until(deadline)),
		func(g map[ids.Node]Msg) bool { return r.Majority(oks(g)) })
	if r.Majority(oks(got)) {
		return true
	}
	k.heed(got)
	return false
}

func (k *Keeper) heed(got map[ids.Node]Msg) {
	for _, a := range sorted(got) {
		if a.Roster.Num > k.acc.Roster().Num {
			_ = k.acc.Adopt(a.Roster)
		}
		k.raise(a.Epoch)
	}
}

func (k *Keeper) raise(e ids.Epoch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.round = max(k.round, e.Round)
}

// Best finds what a round of ballots has to rewrite: the highest accepted
// value among a majority's answers.
func Best(r Roster, got map[ids.Node]Msg) (Msg, bool) {
	var best Msg
	if !r.Majority(oks(got)) {
		return best, false
	}
	for _, a := range sorted(got) {
		if a.OK && best.At.Less(a.At) {
			best = a
		}
	}
	return best, true
}

func (k *Keeper) win(key ids.Key, t *lease, deadline clock.Tick) bool {
	if !k.acc.Voting() {
		return false
	}
	c := k.acc.Cell(key)
	k.raise(c.Promised)
	k.mu.Lock()
	k.round++
	e := ids.Epoch{Round: k.round, Node: k.Self, Life: k.life}
	k.tried[key] = e
	k.mu.Unlock()
	r := k.acc.Roster()
	got := k.askAll(r.All(), Msg{Kind: Vote, Key: key, Epoch: e, Roster: r}, min(askTimeout, clock.Until(deadline)),
		func(g map[ids.Node]Msg) bool { return r.Majority(oks(g)) })
	k.heed(got)
	best, won := Best(r, got)
	if !won {
		return false
	}
	for n, a := range sorted(got) {
		if a.OK {
			k.stepOf(n, key, ids.Place{Epoch: e}, "voted")
		}
	}
	at := ids.Place{Epoch: e, Seq: 1}
	if !k.commit(key, at, best.Val, deadline) {
		return false
	}
	t.held, t.at, t.val = true, at, best.Val
	if !key.Duty() {
		telemetry.State("lease won", "key", key, "epoch", e)
	}
	return true
}
