package consensus

import (
	"maps"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/deflate"
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

func (k *Keeper) askAllLater(to []ids.Node, m Msg) {
	for _, n := range to {
		concurrency.Go(func() { k.Net.Ask(n, m, askTimeout) })
	}
}

// learnFrom takes in what another keeper tells of a value; false if that is a
// change from a value that this one does not have.
func (k *Keeper) learnFrom(m Msg) bool {
	if !m.unpack() {
		return false
	}
	if m.Held {
		c := k.acc.Cell(m.Key)
		if c.At != m.At {
			return true
		}
		m.Val = c.Val
	}
	if !m.Base.Zero() {
		cur, at := k.Sink.Value(m.Key)
		if !at.Less(m.At) {
			return true
		}
		if at != m.Base || k.Patch == nil {
			return false
		}
		ok := false
		if m.Val, ok = k.Patch(m.Key, cur, m.Val); !ok {
			return false
		}
	}
	if _, at := k.Sink.Value(ids.List); m.Key == ids.List && at.Less(m.At) {
		k.mu.Lock()
		k.listAt = clock.Now()
		k.mu.Unlock()
	}
	k.learn(m.Key, m.At, m.Val)
	return true
}

// ListSeen says that a reading of the list was begun at a time.
func (k *Keeper) ListSeen(at clock.Tick) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listAt = max(k.listAt, at)
}

// ListAge is how long ago the list was last read, as far as is known here.
func (k *Keeper) ListAge() clock.Span {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listAt == 0 {
		return clock.Span(1<<62 - 1)
	}
	return clock.Since(k.listAt)
}

// Share tells the other keepers of a value that is not kept on disks: the change
// from the last one, and the whole to those that do not have that.
func (k *Keeper) Share(key ids.Key, at ids.Place, val []byte) {
	whole := Msg{Kind: Learn, From: k.Self, Key: key, At: at, Val: val}
	change := whole
	if old, base := k.Sink.Value(key); key.Shared() && !base.Zero() && k.Diff != nil {
		if d := k.Diff(key, old, val); d != nil {
			change.Base = base
			change.Val, change.Packed = deflate.Pack(d)
		}
	}
	k.learn(key, at, val)
	whole.Val, whole.Packed = deflate.Pack(whole.Val)
	if change.Base.Zero() {
		change = whole
	}
	for _, n := range k.peers() {
		concurrency.Go(func() {
			a, ok := k.Net.Ask(n, change, askTimeout)
			if ok && !a.OK && !change.Base.Zero() {
				k.Net.Ask(n, whole, askTimeout)
			}
		})
	}
}

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

// Relays is how many relays there are, as far as the keepers know; 0 while this
// one has not run long enough to have heard of all.
func (k *Keeper) Relays() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Since(k.local0) < countAfter {
		return 0
	}
	return len(k.relays)
}

// FedElsewhere tells whether a zone is another than this keeper's and has a seat
// that was heard of lately.
func (k *Keeper) FedElsewhere(z ids.Zone) bool {
	if z == k.Zone {
		return false
	}
	seats := k.acc.Roster().All()
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(seats, func(n ids.Node) bool {
		at, ok := k.heard[n]
		return k.others[n] == z && ok && clock.Since(at) < hereFor
	})
}

// Far tells whether a daemon is known to be in another zone.
func (k *Keeper) Far(n ids.Node) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	z := k.others[n]
	return z != "" && z != k.Zone
}

// KeeperZones tells the zones of keepers.
func (k *Keeper) KeeperZones() map[ids.Node]ids.Zone {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[ids.Node]ids.Zone{k.Self: k.Zone}
	for n, z := range k.others {
		if at, ok := k.heard[n]; ok && clock.Since(at) < 10*clock.Second {
			out[n] = z
		}
	}
	return out
}
