package consensus

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Sink takes committed values in; it ignores those older than what it has.
type Sink interface {
	Publish(it Item) bool
	Known() map[ids.Key]ids.Place
	Followers() []ids.Node
	Value(k ids.Key) ([]byte, ids.Place)
}

// Keeper is one daemon of the control plane.
type Keeper struct {
	Self     ids.Node
	Zone     ids.Zone
	Founders []ids.Node
	Seats    int
	// Disk tells whether this keeper has a disk. One without never votes where
	// others have one: it forwards.
	Disk    bool
	Net     Net
	Sink    Sink
	Decider func(key ids.Key, o *Order) Decide
	// Diff tells what changed from one value of a key to the next, nil if that
	// cannot be told or is not worth it, and Patch makes the next value of it.
	// Without them shared values go to other keepers whole.
	Diff  func(key ids.Key, old, fresh []byte) []byte
	Patch func(key ids.Key, old, change []byte) ([]byte, bool)
	// Label names what a value is, for the trace.
	Label func(key ids.Key, val []byte) string
	// Pauses, if set, tell which orders of other daemons may be too old.
	Pauses *Pauses

	seating sync.Mutex
	joint   struct {
		num   uint64
		since clock.Tick
	}
	acc    *Acceptor
	mu     sync.Mutex
	leases map[ids.Key]*lease
	tried  map[ids.Key]ids.Epoch
	round  uint64
	life   uint64
	heard  map[ids.Node]clock.Tick
	// rounding is when other daemons last held a round here.
	rounding map[ids.Node]clock.Tick
	local0   clock.Tick
	sure     clock.Tick
	// steady is when the rounds began that have followed each other since
	steady  clock.Tick
	odd     map[ids.Key]doubt
	mending map[ids.Key]bool
	barred  map[ids.Key]doubt
	sights  map[ids.Node]sight
	trail   []Step
	trailAt []clock.Tick
	others  map[ids.Node]ids.Zone
	relays  map[ids.Node]clock.Tick
	listAt  clock.Tick
	asked   map[ids.Node]asked
	// leaving are the seats that said that they leave, and when.
	leaving map[ids.Node]clock.Tick
	// pending is the hand-over that is due as this keeper knows, and since when; ending says that it
	// leaves itself.
	pending      handOver
	pendingSince clock.Tick
	ending       atomic.Bool
	last         ids.Node
	wanted       clock.Tick
	// contacts and callers are those that rosters are exchanged with; seat0
	// counts the seats through, and seededAt is when the seeds last changed.
	contacts map[ids.Node]contact
	callers  []ids.Node
	seat0    int
	seededAt clock.Tick
	pulling  sync.Mutex
	health   map[ids.Node]health
	digests  digests
	waiters  []*concurrency.Mark
	orders   int
	// newcomer says that this life of the keeper began before it had a seat, so
	// that no promise of it can have been lost.
	newcomer bool
}

// New makes a keeper over an acceptor.
func New(self ids.Node, acc *Acceptor, net Net, sink Sink) *Keeper {
	return &Keeper{Self: self, Disk: true, asked: map[ids.Node]asked{}, leaving: map[ids.Node]clock.Tick{}, acc: acc, Net: net, Sink: sink, life: concurrency.Uint64() | 1,
		leases: map[ids.Key]*lease{}, tried: map[ids.Key]ids.Epoch{}, heard: map[ids.Node]clock.Tick{}, rounding: map[ids.Node]clock.Tick{},
		odd: map[ids.Key]doubt{}, mending: map[ids.Key]bool{}, barred: map[ids.Key]doubt{}, sights: map[ids.Node]sight{},
		others: map[ids.Node]ids.Zone{}, relays: map[ids.Node]clock.Tick{},
		contacts: map[ids.Node]contact{}, health: map[ids.Node]health{}, local0: clock.Now(), seededAt: clock.Now()}
}

// Seeded takes in where keepers may be found, and how many seats there may be.
func (k *Keeper) Seeded(ns []ids.Node, seats int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Equal(ns, k.Founders) {
		k.seededAt = clock.Now()
		clear(k.contacts)
	}
	k.Founders, k.Seats = ns, seats
}

func (k *Keeper) seeds() ([]ids.Node, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Founders, k.Seats
}

// Life tells the starts of this keeper apart.
func (k *Keeper) Life() uint64 { return k.life }

// Acceptor is the keeper's own disk.
func (k *Keeper) Acceptor() *Acceptor { return k.acc }

func (k *Keeper) learn(key ids.Key, at ids.Place, val []byte) {
	if key == ids.Roster {
		if r, ok := DecodeRoster(val); ok && r.Num > k.acc.Roster().Num {
			_ = k.acc.Adopt(r)
			telemetry.State("roster", "num", r.Num, "seats", len(r.Seat), "next", len(r.Next))
		}
	}
	if k.Sink.Publish(Item{Key: key, At: at, Val: val}) {
		k.stepVal(key, at, val, "in the feed")
	}
}

// peers are the daemons that keep values with this one: the seats, and others
// that hold rounds, which those do that have a disk. Who only forwards orders
// needs to be told nothing.
func (k *Keeper) peers() []ids.Node {
	var out []ids.Node
	add := func(n ids.Node) {
		if n != k.Self && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	for _, n := range k.acc.Roster().All() {
		add(n)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.acc.Roster().Num == 0 {
		for _, n := range k.Founders {
			add(n)
		}
	}
	for n, at := range sorted(k.rounding) {
		if clock.Since(at) < 10*clock.Second {
			add(n)
		}
	}
	return out
}

func (k *Keeper) recent(n ids.Node, d clock.Span) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.heard[n]
	if !ok {
		at = k.local0
	}
	return clock.Since(at) < d
}

// Heard tells whether another keeper was heard of within d.
func (k *Keeper) Heard(n ids.Node, d clock.Span) bool { return k.recent(n, d) }

// Sure tells whether a majority confirmed this keeper within d.
func (k *Keeper) Sure(d clock.Span) bool {
	if guards.Off(guards.Fresh) {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sure != 0 && clock.Since(k.sure) < d
}

// newsDelay is how long a keeper that has begun to hold rounds may take to learn what was written
// before.
const newsDelay = 2 * clock.Second

// Witnessed tells whether this keeper has been confirmed by majorities, one after the other, from a
// while before a time until now: what it learned then was new.
func (k *Keeper) Witnessed(at clock.Tick) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sure != 0 && clock.Since(k.sure) < hereFor && k.steady.Add(newsDelay) <= at
}

func (k *Keeper) owner(key ids.Key) ids.Node {
	n := k.acc.Cell(key).Promised.Node
	if at := k.Sink.Known()[key]; at.Epoch.Node != "" && !at.Epoch.Less(k.acc.Cell(key).Promised) {
		n = at.Epoch.Node
	}
	return n
}

// Change has an order carried out by the owner of its key, here or elsewhere,
// for a client that waits until the deadline. What goes to another daemon may
// be read there at any later time, and is bound so that it changes nothing
// then: a configuration by its base, an evacuation by the place that a majority
// confirmed to this taker.
func (k *Keeper) Change(key ids.Key, o *Order, deadline clock.Tick) Msg {
	if !k.acc.Voting() {
		return k.bound(key, o, deadline, func(o *Order) (Msg, bool) {
			a := k.forward(key, o, deadline)
			return a, a.clear()
		})
	}
	if n := k.owner(key); n != "" && n != k.Self && k.reachable(n) {
		a := k.bound(key, o, deadline, func(o *Order) (Msg, bool) {
			left := min(forwardTimeout, clock.Until(deadline))
			a, ok := k.Net.Ask(n, Msg{Kind: Change, From: k.Self, Key: key, Order: o, Left: left}, left)
			if !ok {
				k.misses(n)
				a.Code = codes.NoMajority
			}
			return a, a.clear()
		})
		if a.clear() {
			return a
		}
	}
	return k.carry(key, o, deadline)
}

// clear tells whether a is an answer that another daemon need not be asked for.
func (m *Msg) clear() bool {
	return m.Code != codes.NoMajority && m.Code != codes.NotVoting && m.Code != codes.Unvouched && m.Code != codes.Moved &&
		m.Code != codes.QueueFull
}

// bound sends an order, once the place that it is bound to has been asked for,
// and once more for each time that the place has moved meanwhile.
func (k *Keeper) bound(key ids.Key, o *Order, deadline clock.Tick, send func(*Order) (Msg, bool)) Msg {
	for clock.Until(deadline) > 0 {
		b := *o
		if unbound(key, o) {
			q, ok := send(&Order{Query: true})
			if !ok || !q.OK {
				if q.Code == codes.OK {
					q.Code = codes.NoMajority
				}
				return Msg{Code: q.Code, Text: q.Text}
			}
			b.If = q.At
		}
		a, ok := send(&b)
		if ok || a.Code != codes.Moved || !o.If.Zero() {
			return a
		}
	}
	return Msg{Code: codes.NoMajority}
}

func unbound(key ids.Key, o *Order) bool {
	if guards.Off(guards.Late) {
		return false
	}
	return key.Ordered() && o != nil && !o.Query && o.If.Zero()
}

// carry carries an order out as the owner of its key. An acknowledged
// evacuation gets a place of its own also where it changes nothing, so that no
// order bound to an earlier place comes after it.
func (k *Keeper) carry(key ids.Key, o *Order, deadline clock.Tick) Msg {
	d := k.Decider(key, o)
	_, evac := key.Evacuated()
	return k.own(key, deadline, func(at ids.Place, cur []byte) ([]byte, Msg, bool) {
		next, a := d(cur)
		if next != nil && !o.If.Zero() && o.If != at && !bytes.Equal(next, cur) {
			return nil, Msg{Code: codes.Moved}, false
		}
		return next, a, evac && next != nil
	})
}

// late tells whether an order that another daemon sent may be older than this
// process knows.
func (k *Keeper) late(m Msg) bool {
	return m.Order != nil && !m.Order.Query && !guards.Off(guards.Late) && !k.Pauses.Vouched(clock.Now())
}

// until is the deadline of a message's work: its sender's, d at most.
func (m *Msg) until(d clock.Span) clock.Tick {
	if m.Left > 0 {
		d = min(d, m.Left)
	}
	return clock.Now().Add(d)
}

func (k *Keeper) local(m Msg) Msg {
	if m.Roster.Num > k.acc.Roster().Num {
		_ = k.acc.Adopt(m.Roster)
	}
	switch m.Kind {
	case Vote:
		return k.acc.Vote(m.Key, m.Epoch, m.Roster)
	case Accept:
		return k.acc.Accept(m.Key, m.At, m.Val, m.Roster)
	case Hold:
		return k.acc.Hold(m.Key, m.Epoch, m.Roster)
	case Digest:
		return k.summed(k.digest(), m.Sum)
	}
	return Msg{Code: codes.NoCall}
}

// Handle answers a message of another daemon.
func (k *Keeper) Handle(m Msg) Msg {
	if m.Kind == Gossip {
		return k.gossiped(m)
	}
	k.hear(m)
	switch m.Kind {
	case Vote, Accept, Hold:
		if m.Kind != Hold {
			k.raise(m.Epoch)
		}
		return k.local(m)
	case Learn:
		return Msg{OK: k.learnFrom(m)}
	case Digest:
		return k.local(m)
	case Fetch:
		c := k.acc.Cell(m.Key)
		if m.Key.Shared() {
			c.Val, c.At = k.Sink.Value(m.Key)
		}
		a := Msg{OK: true, Key: m.Key, At: c.At}
		a.Val, a.Packed = deflate.Pack(c.Val)
		return a
	case Survey:
		return k.survey(m)
	case Drift:
		if _, ok := m.Key.Drifted(); !ok {
			return Msg{Code: codes.NoCall}
		}
		at := ids.Place{Epoch: ids.Epoch{Round: k.Sink.Known()[m.Key].Epoch.Round + 1, Node: k.Self, Life: k.life}, Seq: 1}
		k.Share(m.Key, at, m.Val)
		return Msg{OK: true}
	case Join:
		return k.join(m.From, m.Zone)
	case Leave:
		return k.takeNotice(m)
	case Forward, Change:
		return k.ordered(m)
	}
	return Msg{Code: codes.NoCall}
}

func (k *Keeper) hear(m Msg) {
	if m.From == "" {
		return
	}
	r := k.acc.Roster()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard[m.From] = clock.Now()
	if m.Kind == Digest {
		k.rounding[m.From] = clock.Now()
	}
	k.trim(r)
	if m.Zone != "" {
		k.others[m.From] = m.Zone
	}
}
