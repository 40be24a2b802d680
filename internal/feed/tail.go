package feed

import (
	"hash/fnv"
	"slices"
	"sort"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

const (
	avoid     = 2 * clock.Second
	firstWait = 500 * clock.Millisecond
	// confirmPause is the pause between two questions whether the feed is
	// current.
	confirmPause = 600 * clock.Millisecond
	retryPause   = 50 * clock.Millisecond
)

// Tail is the relay's end of the feed. It follows one keeper at a time and
// goes over to another when the news turn stale.
type Tail struct {
	Self  ids.Node
	Addr  ids.Addr
	IP    string
	Zone  ids.Zone
	Seeds func() []ids.Addr
	// Take takes a value in, or the change from the last one of its key; false if
	// the change cannot be taken, and the whole is wanted.
	Take func(it consensus.Item) bool
	// Apply is the time within which a change has to be in force everywhere.
	Apply clock.Span
	Heard func(count int, listAge clock.Span)

	mu     sync.Mutex
	places map[ids.Key]ids.Place
	zones  map[ids.Node]ids.Zone
	// seats are those of the newest roster that anybody told of, by its number.
	seats  map[ids.Node]ids.Zone
	roster uint64
	fresh  clock.Tick
	life   uint64
	num    uint64
	at     ids.Addr
	peer   *rpc.Peer[consensus.Msg]
	bad    map[ids.Addr]clock.Tick
}

func (t *Tail) stale() clock.Span {
	d := t.Apply
	if d <= 0 {
		d = applyDefault
	}
	return max(d*3/4, 2*confirmPause)
}

// Fresh tells whether what was fed was current within d: the time counts from
// when this relay asked, by its own clock, not from when an answer came.
func (t *Tail) Fresh(d clock.Span) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh != 0 && clock.Since(t.fresh) < d
}

// ConfirmedAt tells when this relay asked the question whose answer last confirmed what
// it was fed, 0 before the first.
func (t *Tail) ConfirmedAt() clock.Tick {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh
}

// Place tells which keeper is followed and how far.
func (t *Tail) Place() (ids.Addr, uint64, map[ids.Key]ids.Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[ids.Key]ids.Place{}
	for k, p := range t.places {
		out[k] = p
	}
	return t.at, t.num, out
}

// Taken takes one item in; older ones than those had are left. It tells false
// if the item is a change from a value that this relay does not have.
func (t *Tail) Taken(it consensus.Item) bool {
	t.mu.Lock()
	if t.places == nil {
		t.places = map[ids.Key]ids.Place{}
	}
	have, ok := t.places[it.Key]
	if ok && !have.Less(it.At) {
		t.mu.Unlock()
		return true
	}
	if !it.Base.Zero() && it.Base != have {
		t.mu.Unlock()
		return false
	}
	t.places[it.Key] = it.At
	t.mu.Unlock()
	newsTaken.Add(1)
	if it.Same || t.take(it) {
		return true
	}
	t.Forget(it.Key)
	return false
}

func (t *Tail) take(it consensus.Item) bool {
	if it.Packed {
		val, err := deflate.Unpack(it.Val)
		if err != nil {
			telemetry.Trouble("value not legible", "key", it.Key, "err", err)
			return false
		}
		it.Val, it.Packed = val, false
	}
	return t.Take(it)
}

// Forget says that what this relay goes by is no longer what it was fed under a
// key: the next value has to be fed whole.
func (t *Tail) Forget(key ids.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.places, key)
	t.life, t.num = 0, 0
}

// had are the places of the values that a keeper need not feed again.
func (t *Tail) had() map[ids.Key]ids.Place {
	out := map[ids.Key]ids.Place{}
	for key, at := range t.places {
		if key.Kept() || key.Shared() {
			out[key] = at
		}
	}
	return out
}

func (t *Tail) order() []ids.Addr {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[ids.Addr]bool{}
	var out []ids.Addr
	add := func(a ids.Addr) {
		if a != "" && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for n := range t.zones {
		add(ids.Addr(n))
	}
	for n := range t.seats {
		add(ids.Addr(n))
	}
	for _, a := range t.Seeds() {
		add(a)
	}
	rank := func(a ids.Addr) uint64 {
		h := fnv.New64a()
		h.Write([]byte(string(t.Self) + "|" + string(a)))
		r := h.Sum64() >> 2
		if t.zone(a) != t.Zone {
			r |= 1 << 62
		}
		if at, ok := t.bad[a]; ok && clock.Since(at) < avoid {
			r |= 1 << 63
		}
		return r
	}
	sort.Slice(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	return out
}

func (t *Tail) zone(a ids.Addr) ids.Zone {
	if z, ok := t.zones[ids.Node(a)]; ok {
		return z
	}
	return t.seats[ids.Node(a)]
}

// far tells whether a keeper is known to be in another zone.
func (t *Tail) far(a ids.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	z := t.zone(a)
	return z != "" && z != t.Zone
}

// home tells whether a keeper is of the own zone, or none that is answers.
func (t *Tail) home(a ids.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.zones[ids.Node(a)] == t.Zone {
		return true
	}
	for n, z := range t.zones {
		if at, ok := t.bad[ids.Addr(n)]; z == t.Zone && !(ok && clock.Since(at) < avoid) {
			return false
		}
	}
	return true
}

// Run follows for good.
func (t *Tail) Run() {
	concurrency.Go(func() {
		for {
			t.pass()
			clock.Sleep(50 * clock.Millisecond)
		}
	})
}

// pass tries the keepers that are known, each once, until one was followed; what
// one of them tells of others counts at once.
func (t *Tail) pass() {
	tried := map[ids.Addr]bool{}
	for {
		to := slices.DeleteFunc(t.order(), func(a ids.Addr) bool { return tried[a] })
		if len(to) == 0 || t.follow(to[0]) {
			return
		}
		tried[to[0]] = true
	}
}

// Tell sends a message to the keeper that is followed, without waiting; false if none was
// ever followed, and nothing is sent.
func (t *Tail) Tell(m consensus.Msg) bool {
	t.mu.Lock()
	p := t.peer
	t.mu.Unlock()
	if p == nil {
		return false
	}
	concurrency.Go(func() { _, _ = p.Call(m, firstWait) })
	return true
}

// Ask asks the keeper that is followed, and tells whether the question was sent and whether it was
// answered.
func (t *Tail) Ask(m consensus.Msg) (answer consensus.Msg, sent, answered bool) {
	_, p := t.followed()
	if p == nil {
		return answer, false, false
	}
	answer, err := p.Call(m, firstWait)
	return answer, true, err == nil
}

func (t *Tail) told(m consensus.Msg) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(m.SeatZones) > 0 && m.Roster.Num >= t.roster {
		t.seats, t.roster = m.SeatZones, m.Roster.Num
	}
	if m.Greeting {
		t.zones = m.KeeperZones
	}
}

func (t *Tail) news(a ids.Addr, m consensus.Msg) bool {
	t.mu.Lock()
	if m.Life != t.life {
		t.life, t.num = m.Life, 0
	}
	if m.KeeperZones != nil {
		t.zones = m.KeeperZones
	}
	t.at = a
	t.mu.Unlock()
	for _, it := range m.Items {
		if !t.Taken(it) {
			// followed anew, the keeper tells all of it
			newsGap.Add(1)
			t.mu.Lock()
			t.life, t.num = 0, 0
			t.mu.Unlock()
			return false
		}
	}
	t.mu.Lock()
	t.num = m.Num
	t.mu.Unlock()
	t.Heard(m.Count, m.ListAge)
	return true
}
