package consensus

import (
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

// net joins keepers in one process; pairs of them can be cut apart, or have
// what goes one way lost in silence.
type net struct {
	mu   sync.Mutex
	ks   map[ids.Node]*Keeper
	cut  map[[2]ids.Node]bool
	mute map[[2]ids.Node]bool
	tap  func(from, to ids.Node, m Msg) bool
}

// through has fn look at each message first, and tell whether it gets through.
func (n *net) through(fn func(from, to ids.Node, m Msg) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = fn
}

type end struct {
	n    *net
	self ids.Node
}

func (e end) Ask(to ids.Node, m Msg, timeout clock.Span) (Msg, bool) {
	e.n.mu.Lock()
	k := e.n.ks[to]
	off := e.n.cut[[2]ids.Node{e.self, to}] || e.n.cut[[2]ids.Node{to, e.self}]
	tap := e.n.tap
	there, back := e.n.mute[[2]ids.Node{e.self, to}], e.n.mute[[2]ids.Node{to, e.self}]
	e.n.mu.Unlock()
	if k == nil || off || tap != nil && !tap(e.self, to, m) {
		return Msg{}, false
	}
	if there || back {
		if !there {
			concurrency.Go(func() { k.Handle(m) })
		}
		clock.Sleep(timeout)
		return Msg{}, false
	}
	var a Msg
	done := concurrency.NewMark()
	concurrency.Go(func() {
		a = k.Handle(m)
		done.Set()
	})
	if !done.Wait(timeout) {
		return Msg{}, false
	}
	return a, true
}

func (n *net) part(a ids.Node, from ...ids.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range from {
		n.cut[[2]ids.Node{a, b}] = true
	}
}

func (n *net) lose(from ids.Node, to ...ids.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range to {
		if n.mute == nil {
			n.mute = map[[2]ids.Node]bool{}
		}
		n.mute[[2]ids.Node{from, b}] = true
	}
}

func (n *net) join() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[[2]ids.Node]bool{}
	n.mute = nil
}

// shelf is a disk that can stall or refuse.
type shelf struct {
	page
	mu     sync.Mutex
	stall  *concurrency.Mark
	refuse bool
}

func (s *shelf) Append(b []byte) error {
	s.mu.Lock()
	m, no := s.stall, s.refuse
	s.mu.Unlock()
	if m != nil {
		m.Wait(5 * clock.Second)
		m.Set()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if no || s.refuse {
		return codes.New(codes.DiskRefused, "full")
	}
	return s.page.Append(b)
}

// powerless is the disk after a loss of power; what is still under way on the
// old one fails.
func (s *shelf) powerless() *shelf {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = true
	return &shelf{page: page{recs: slices.Clone(s.recs)}}
}

func (s *shelf) set(stall *concurrency.Mark, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stall, s.refuse = stall, refuse
}

// sink is a feed without relays.
type sink struct {
	mu    sync.Mutex
	items map[ids.Key]Item
	// followers are named in digests.
	followers []ids.Node
}

func (s *sink) Publish(it Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have, ok := s.items[it.Key]; ok && !have.At.Less(it.At) {
		return false
	}
	s.items[it.Key] = it
	return true
}

func (s *sink) Known() map[ids.Key]ids.Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[ids.Key]ids.Place{}
	for k, it := range s.items {
		out[k] = it.At
	}
	return out
}

func (s *sink) Followers() []ids.Node { return s.followers }

func (s *sink) Value(k ids.Key) ([]byte, ids.Place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[k].Val, s.items[k].At
}

type core struct {
	n  *net
	ks map[ids.Node]*Keeper
	st map[ids.Node]*shelf
	si map[ids.Node]*sink
}

func newCore(t *testing.T) *core { return newCoreOf(t, three) }

func newCoreOf(t *testing.T, r Roster) *core {
	c := &core{n: &net{ks: map[ids.Node]*Keeper{}, cut: map[[2]ids.Node]bool{}}, ks: map[ids.Node]*Keeper{}, st: map[ids.Node]*shelf{}, si: map[ids.Node]*sink{}}
	for _, n := range r.Seat {
		if err := c.add(n, r.Seat).acc.Found(r, nil); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// add starts a keeper with an empty disk. Its zone is the first letter of its name.
func (c *core) add(n ids.Node, founders []ids.Node) *Keeper {
	c.st[n] = &shelf{}
	return c.start(n, founders)
}

// start starts a keeper from what its disk has.
func (c *core) start(n ids.Node, founders []ids.Node) *Keeper {
	acc := NewAcceptor()
	c.si[n] = &sink{items: map[ids.Key]Item{}}
	for _, p := range c.st[n].recs {
		acc.Replay(p)
	}
	acc.Use(c.st[n])
	k := New(n, acc, end{c.n, n}, c.si[n])
	k.Founders, k.Zone = founders, ids.Zone(n[:1])
	k.Decider = func(_ ids.Key, o *Order) Decide {
		return func(cur []byte) ([]byte, Msg) {
			if o.Query {
				return nil, Msg{OK: true, Val: cur}
			}
			if string(cur) == string(o.Body) {
				return nil, Msg{OK: true}
			}
			if len(cur) != int(o.Base) {
				return nil, Msg{Code: codes.OtherVersion}
			}
			return o.Body, Msg{OK: true}
		}
	}
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.ks[n], c.n.ks[n] = k, k
	return k
}

const kk ids.Key = "k"

func (c *core) put(n ids.Node, base int, v string) Msg {
	return c.ks[n].Change(kk, &Order{Base: ids.Version(base), Body: []byte(v)}, clock.Now().Add(900*clock.Millisecond))
}

func (c *core) get(n ids.Node) (string, bool) {
	a := c.ks[n].Change(kk, &Order{Query: true}, clock.Now().Add(900*clock.Millisecond))
	return string(a.Val), a.OK
}

// An owner that was cut off or frozen finds itself fenced: it neither changes
// nor answers from what it had, and learns what came meanwhile.
func TestFencedOwner(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.n.part("a", "b", "c")
	is.True(!c.put("a", 1, "xx").OK)
	_, ok := c.get("a")
	is.True(!ok)
	is.True(c.put("b", 1, "22").OK)
	c.n.join()
	is.Equal(c.put("a", 1, "yy").Code, codes.OtherVersion)
	v, ok := c.get("a")
	is.True(ok)
	is.Equal(v, "22")
	v, _ = c.get("c")
	is.Equal(v, "22")
}

// What the cut-off owner had on its own disk only is never in force beside what
// came meanwhile.
func TestHalfDoneChange(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.n.part("a", "b", "c")
	is.True(!c.put("a", 1, "xx").OK) // on the disk of a, no more
	c.n.join()
	c.ks["b"].Round() // finds it, takes it up or not, but for all alike
	first, ok := c.get("c")
	is.True(ok)
	for _, n := range three.Seat {
		v, ok := c.get(n)
		is.True(ok)
		is.Equal(v, first)
	}
	is.True(first == "1" || first == "xx")
}

// A disk that stalls holds up neither the others nor what is asked of its keeper.
func TestStalledDisk(t *testing.T) {
	for _, slow := range three.Seat {
		is := is.New(t)
		c := newCore(t)
		is.True(c.put("a", 0, "1").OK)
		m := concurrency.NewMark()
		c.st[slow].set(m, false)
		got := c.put("a", 1, "22")
		if !got.OK { // a client tries another
			got = c.put("b", 1, "22")
		}
		is.True(got.OK)
		v, ok := c.get("b")
		is.True(ok)
		is.Equal(v, "22")
		c.st[slow].set(nil, false)
		m.Set()
	}
}

// A full disk is never part of the majority that acknowledges.
func TestFullDisks(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.st["b"].set(nil, true)
	is.True(c.put("a", 1, "22").OK)
	c.st["c"].set(nil, true)
	is.True(!c.put("a", 2, "333").OK)
	c.st["b"].set(nil, false)
	got := c.put("b", 2, "333")
	is.True(got.OK)
	v, _ := c.get("a")
	is.Equal(v, "333")
}

// A keeper that missed a change finds it in its next round.
func TestMissedChange(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.n.part("c", "a", "b")
	is.True(c.put("a", 1, "22").OK)
	for v, _ := c.si["b"].Value(kk); string(v) != "22"; v, _ = c.si["b"].Value(kk) {
		clock.Sleep(clock.Millisecond) // the acknowledgement does not wait for the telling
	}
	c.ks["c"].Round()
	is.True(!c.ks["c"].Sure(clock.Second)) // alone it is not sure
	c.n.join()
	c.ks["c"].Round()
	is.True(c.ks["c"].Sure(clock.Second))
	v, _ := c.si["c"].Value(kk)
	is.Equal(string(v), "22")
}
