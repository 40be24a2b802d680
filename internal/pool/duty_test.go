package pool

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/interleave"
)

// core is a few keepers with the duty in one process.
type core struct {
	mu  sync.Mutex
	ks  map[ids.Node]*consensus.Keeper
	ds  map[ids.Node]*Duty
	fs  map[ids.Node]*feed
	cut map[ids.Node]bool
	sim *clock.Sim
	svc map[ids.Service]Service
}

type end struct {
	c    *core
	self ids.Node
}

func (e end) Ask(to ids.Node, m consensus.Msg, _ clock.Span) (consensus.Msg, bool) {
	e.c.mu.Lock()
	k, d, off := e.c.ks[to], e.c.ds[to], e.c.cut[to] || e.c.cut[e.self]
	e.c.mu.Unlock()
	if off || k == nil {
		return consensus.Msg{}, false
	}
	if m.Kind == consensus.Fold || m.Kind == consensus.Counts {
		return d.Counted(m), true
	}
	return k.Handle(m), true
}

// feed is a hub and a relay that follows it.
type feed struct {
	mu    sync.Mutex
	items map[ids.Key]consensus.Item
	plans []uint64
}

func (f *feed) Publish(it consensus.Item) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if have, ok := f.items[it.Key]; ok && !have.At.Less(it.At) {
		return false
	}
	f.items[it.Key] = it
	if it.Key == ids.Plan {
		p, err := DecodePlan(it.Val)
		if err != nil {
			panic(err)
		}
		f.plans = append(f.plans, p.Num)
	}
	return true
}

func (f *feed) Known() map[ids.Key]ids.Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[ids.Key]ids.Place{}
	for k, it := range f.items {
		out[k] = it.At
	}
	return out
}

func (f *feed) Followers() []ids.Node { return []ids.Node{"r1", "r2"} }

func (f *feed) Value(k ids.Key) ([]byte, ids.Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.items[k].Val, f.items[k].At
}

type shelf struct{ recs [][]byte }

func (s *shelf) Append(p []byte) error     { s.recs = append(s.recs, p); return nil }
func (s *shelf) Long(int64) bool           { return false }
func (s *shelf) Rewrite(ps [][]byte) error { s.recs = ps; return nil }

var names = []ids.Node{"a", "b", "c"}

func newCore(t *testing.T) *core {
	c := &core{ks: map[ids.Node]*consensus.Keeper{}, ds: map[ids.Node]*Duty{}, fs: map[ids.Node]*feed{}, cut: map[ids.Node]bool{}, sim: &clock.Sim{},
		svc: map[ids.Service]Service{"s": {Members: members(20), Slots: 24}}}
	t.Cleanup(c.sim.Use())
	c.sim.Move(clock.Second)
	for _, n := range names {
		acc := consensus.NewAcceptor()
		acc.Use(&shelf{})
		if err := acc.Found(consensus.Founding(names), nil); err != nil {
			t.Fatal(err)
		}
		f := &feed{items: map[ids.Key]consensus.Item{}}
		k := consensus.New(n, acc, end{c, n}, f)
		c.ks[n], c.fs[n] = k, f
		c.ds[n] = &Duty{Duty: consensus.Duty{Keeper: k, Key: ids.PoolDuty, Value: f.Value}, Rules: rules, Window: 4 * clock.Second,
			Services: func() map[ids.Service]Service { return c.svc }, Plan: func() ([]byte, ids.Place) { return f.Value(ids.Plan) }}
	}
	return c
}

// turn is a second of everybody's life: rounds, reports of two relays, steps.
func (c *core) turn(num uint64, long, short int) {
	c.sim.Move(clock.Second)
	for _, n := range names {
		if !c.cut[n] {
			c.ks[n].Round()
		}
	}
	for i, r := range []ids.Node{"r1", "r2"} {
		to := names[1+i]
		if c.cut[to] {
			to = "a"
		}
		w := window(rnd(), long, short)
		c.ds[to].Counted(consensus.Msg{Kind: consensus.Counts, From: r, Life: 7, Num: num, Count: 1, Val: (&Counts{Services: map[ids.Service]*Work{"s": w}}).Encode()})
	}
	for _, n := range names {
		if !c.cut[n] {
			c.ds[n].Step()
		}
	}
}

func (c *core) holder() (ids.Node, int) {
	n, who := 0, ids.Node("")
	for _, k := range names {
		if mine, _ := c.ds[k].Mine(); mine && !c.cut[k] {
			n, who = n+1, k
		}
	}
	return who, n
}

func (c *core) plan(n ids.Node) *Plan {
	b, _ := c.fs[n].Value(ids.Plan)
	p, err := DecodePlan(b)
	if err != nil {
		return nil
	}
	return p
}

// One keeper plans from the folded counts of all, and all feeds get the plan.
func TestOnePlans(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	for i := range 12 {
		c.turn(uint64(i+1), 120, 600)
	}
	_, n := c.holder()
	is.Equal(n, 1)
	is.True(c.plan("a") != nil)
	is.Equal(c.plan("a"), c.plan("b"))
	is.Equal(c.plan("a"), c.plan("c"))
	was := len(c.plan("a").Splits["s"].Prefill)
	for i := range 40 { // the mix swings, then comes back
		c.turn(uint64(20+i), 10, 1500)
	}
	less := len(c.plan("b").Splits["s"].Prefill)
	is.True(less < was)
	for i := range 40 {
		c.turn(uint64(70+i), 300, 100)
	}
	is.True(len(c.plan("c").Splits["s"].Prefill) > was)
	for _, f := range c.fs {
		for i := 1; i < len(f.plans); i++ {
			is.True(f.plans[i] > f.plans[i-1]) // never back
		}
	}
}

// The holder is cut off or frozen: another takes the duty over and goes on from
// the plan in force. The one that comes back is fenced.
func TestHolderLost(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	for i := range 12 {
		c.turn(uint64(i+1), 120, 600)
	}
	old, _ := c.holder()
	_, at := c.ds[old].Mine()
	before := c.plan(old)
	c.mu.Lock()
	c.cut[old] = true
	c.mu.Unlock()
	for i := range 40 {
		c.turn(uint64(100+i), 10, 1500)
	}
	who, n := c.holder()
	is.Equal(n, 1)
	is.True(who != old)
	after := c.plan(who)
	is.True(after.Num > before.Num)
	is.Equal(c.plan(old), before) // cut off, it planned nothing
	// what the old holder was about to say when it froze comes out now
	c.mu.Lock()
	c.cut[old] = false
	c.mu.Unlock()
	stale := &Plan{Num: before.Num + 99, Splits: map[ids.Service]Split{"s": {Heavy: 1}}}
	c.ks[old].Share(ids.Plan, ids.Place{Epoch: at.Epoch, Seq: stale.Num}, stale.Encode())
	is.Equal(c.plan(who), after)
	for i := range 4 {
		c.turn(uint64(200+i), 10, 1500)
	}
	is.Equal(c.plan(old).Num >= after.Num, true)
	is.Equal(c.plan(old), c.plan(who))
	_, n = c.holder()
	is.Equal(n, 1)
}

// Two keepers hold a ballot for the duty at once, in every order of their
// steps: one has it, and only its plans stand.
func TestTwoHolders(t *testing.T) {
	interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		c := newCore(t)
		for _, n := range names {
			c.ks[n].Round()
		}
		share := func(n ids.Node, num uint64) func() {
			return func() {
				if mine, at := c.ds[n].Mine(); mine {
					p := &Plan{Num: num, Splits: map[ids.Service]Split{"s": {Heavy: int64(num), Prefill: []ids.Replica{ids.Replica(n)}}}}
					c.ks[n].Share(ids.Plan, ids.Place{Epoch: at.Epoch, Seq: num}, p.Encode())
				}
			}
		}
		win := func(n ids.Node) func() { return func() { c.ds[n].Win() } }
		return []interleave.Thread{interleave.Steps(win("a"), share("a", 1), share("a", 2)), interleave.Steps(win("b"), share("b", 1), share("b", 2))},
			func(o []int) {
				// At once, whatever has been told: of those that take the duty for theirs
				// one alone has the epoch that a majority of disks accepted last.
				top, newest := ids.Epoch{}, 0
				for _, k := range names {
					if e := c.ks[k].Acceptor().Cell(ids.PoolDuty).At.Epoch; top.Less(e) {
						top = e
					}
				}
				for _, k := range names {
					if mine, at := c.ds[k].Mine(); mine && at.Epoch == top {
						newest++
					}
				}
				if newest != 1 {
					t.Errorf("order %v: %d hold the duty under %v", o, newest, top)
				}
				// who lost the duty learns of it by the same telling as of the plans
				same := func() bool {
					who, n := c.holder()
					if n != 1 {
						return false
					}
					w := c.plan(who)
					for _, k := range names {
						p := c.plan(k)
						if p == nil || w == nil || p.Num != 2 || p.Splits["s"].Prefill[0] != ids.Replica(who) {
							return false
						}
					}
					return true
				}
				for range 20000 { // the telling takes a moment, on a busy machine a long one
					if same() {
						return
					}
					concurrency.NewMark().Wait(clock.Millisecond)
				}
				who, n := c.holder()
				t.Errorf("order %v: %v %v %v, %d holders, one is %s", o, c.plan("a"), c.plan("b"), c.plan("c"), n, who)
			}
	})
}

// Counts that come twice, late or not at all: nothing is counted twice, and
// with too few of them nobody moves.
func TestCountsLostLateDoubled(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	d := c.ds["a"]
	w := &Counts{Services: map[ids.Service]*Work{"s": window(rnd(), 10, 10)}}
	put := func(num, life uint64) codes.Code {
		return d.Counted(consensus.Msg{Kind: consensus.Counts, From: "r1", Life: life, Num: num, Val: w.Encode()}).Code
	}
	n := func() int64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		s, _ := d.fresh(d.relays)
		if s.Services["s"] == nil {
			return 0
		}
		return s.Services["s"].Buckets[BucketOf(5400)].N
	}
	put(5, 1)
	put(5, 1) // doubled
	put(4, 1) // late
	is.Equal(n(), int64(10))
	put(1, 2) // the relay started anew
	is.Equal(n(), int64(10))
	is.Equal(d.Counted(consensus.Msg{Kind: consensus.Counts, From: "r2", Num: 9, Val: []byte("x")}).Code, codes.BadCounts)
	is.Equal(n(), int64(10))
	c.sim.Move(5 * clock.Second)
	is.Equal(n(), int64(0)) // stale
	for i := range 12 {
		c.turn(uint64(50+i), 120, 600)
	}
	before := c.plan("a")
	is.True(before != nil)
	for i := range 20 { // one relay of two reports no more
		c.sim.Move(clock.Second)
		for _, n := range names {
			c.ks[n].Round()
		}
		c.ds["b"].Counted(consensus.Msg{Kind: consensus.Counts, From: "r1", Life: 8, Num: uint64(clock.Now()), Count: 1,
			Val: (&Counts{Services: map[ids.Service]*Work{"s": window(rnd(), 10, 1500)}}).Encode()})
		for _, n := range names {
			c.ds[n].Step()
		}
		if i == 5 { // what the other reported last is stale by now
			before = c.plan("a")
		}
	}
	is.Equal(c.plan("a"), before)
	delete(c.svc, "s") // a service that is gone takes its split along
	for i := range 12 {
		c.turn(uint64(100+i), 120, 600)
	}
	is.Equal(len(c.plan("a").Splits), 0)
}
