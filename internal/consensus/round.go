package consensus

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Beat is the pause between two rounds in which a keeper confirms itself.
const Beat = 400 * clock.Millisecond

const (
	relayKept  = 10 * clock.Minute
	countAfter = 4 * clock.Second
)

const roundTimeout = 250 * clock.Millisecond

func (k *Keeper) digest() Msg {
	m := Msg{OK: true, From: k.Self, Zone: k.Zone, Marks: map[ids.Key]Mark{}, Roster: k.acc.Roster(), Relays: k.Sink.Followers(), Disk: k.Disk, Unvoted: k.acc.Unvoted(), ListAge: k.ListAge()}
	m.Code = codes.OK
	if !k.acc.Voting() {
		m.Code = codes.NotVoting
	}
	for key, c := range k.acc.Cells() {
		if key == floorKey {
			continue
		}
		m.Marks[key] = Mark{Promised: c.Promised, At: c.At}
	}
	for key, at := range k.Sink.Known() {
		mk := m.Marks[key]
		mk.Known = at
		m.Marks[key] = mk
	}
	return m
}

// Round confirms this keeper with a majority, and takes in what a majority has
// and this keeper has not.
func (k *Keeper) Round() {
	begun := clock.Now()
	r := k.acc.Roster()
	to := k.peers()
	mine := k.digest()
	fresh := !k.Sure(3 * Beat)
	got := k.askAll(to, Msg{Kind: Digest, Zone: k.Zone}, roundTimeout, func(g map[ids.Node]Msg) bool {
		return len(g) == len(to) || fresh && r.Majority(func(n ids.Node) bool {
			a, ok := g[n]
			return n == k.Self && mine.Code == codes.OK || ok && a.Code == codes.OK
		})
	})
	got[k.Self] = mine
	for _, n := range to {
		if _, ok := got[n]; !ok && !fresh {
			k.misses(n)
		}
	}
	for n, a := range sorted(got) {
		a.From = n
		k.hear(a)
		k.answers(n)
		if a.Roster.Num > r.Num {
			_ = k.acc.Adopt(a.Roster)
		}
	}
	k.mu.Lock()
	for n, a := range got {
		for _, name := range a.Relays {
			k.relays[name] = clock.Now()
		}
		if n != k.Self && a.ListAge < clock.Since(k.listAt) {
			k.listAt = clock.Now().Add(-a.ListAge)
		}
	}
	for n, at := range k.relays {
		if clock.Since(at) > relayKept {
			delete(k.relays, n)
		}
	}
	k.mu.Unlock()
	if k.acc.Roster().Num != r.Num {
		return
	}
	voting := func(n ids.Node) bool { a, ok := got[n]; return ok && a.Code == codes.OK }
	if !r.Majority(voting) {
		return
	}
	k.settle(r, got, voting)
	k.see(got)
	k.repair(r)
	k.reseat()
	k.mu.Lock()
	if k.sure == 0 || begun.Sub(k.sure) >= hereFor {
		k.steady = begun
	}
	k.sure = begun
	k.mu.Unlock()
	k.confirmed()
}

type doubt struct {
	at    ids.Place
	since clock.Tick
}

func (k *Keeper) settle(r Roster, got map[ids.Node]Msg, voting func(ids.Node) bool) {
	keys := map[ids.Key]bool{}
	for _, a := range got {
		for key := range a.Marks {
			keys[key] = true
		}
	}
	for key := range sorted(keys) {
		var top, known ids.Place
		var has ids.Node
		for n, a := range sorted(got) {
			mk := a.Marks[key]
			if voting(n) && top.Less(mk.At) {
				top, has = mk.At, n
			}
			if known.Less(mk.Known) {
				known = mk.Known
				if key.Shared() {
					has = n
				}
			}
		}
		mine := k.Sink.Known()[key]
		if key.Shared() {
			if mine.Less(known) {
				k.fetch(key, known, has)
			}
			continue
		}
		if !mine.Less(top) {
			delete(k.odd, key)
			continue
		}
		agreed := r.Majority(func(n ids.Node) bool { return voting(n) && got[n].Marks[key].At == top })
		if agreed || !known.Less(top) {
			if k.fetch(key, top, has) {
				delete(k.odd, key)
			}
			continue
		}
		if o := k.odd[key]; o.at != top {
			k.odd[key] = doubt{top, clock.Now()}
		}
		if (clock.Since(k.odd[key].since) > Beat || mine.Zero()) && k.acc.Voting() {
			delete(k.odd, key)
			telemetry.Trouble("unsettled value taken up", "key", key, "at", top)
			concurrency.Go(func() {
				k.Own(key, clock.Now().Add(2*clock.Second), func([]byte) ([]byte, Msg) { return nil, Msg{OK: true} })
			})
		}
	}
}

func (k *Keeper) fetch(key ids.Key, at ids.Place, from ids.Node) bool {
	c := k.acc.Cell(key)
	if c.At != at {
		a, ok := k.Net.Ask(from, Msg{Kind: Fetch, From: k.Self, Key: key}, askTimeout)
		if !ok || a.At != at {
			return false
		}
		if !a.unpack() {
			return false
		}
		c.Val = a.Val
	}
	k.learn(key, at, c.Val)
	return true
}
