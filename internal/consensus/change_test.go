package consensus

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

const k2 ids.Key = "k2"

func (c *core) putKey(n ids.Node, key ids.Key, base int, v string) Msg {
	return c.ks[n].Change(key, &Order{Base: ids.Version(base), Body: []byte(v)}, clock.Now().Add(900*clock.Millisecond))
}

// on counts the seats that have a key's value at its newest place on their disks.
func (c *core) on(key ids.Key, seat ...ids.Node) int {
	var top ids.Place
	for _, k := range c.ks {
		if at := k.Acceptor().Cell(key).At; top.Less(at) {
			top = at
		}
	}
	n := 0
	for _, s := range seat {
		if c.ks[s].Acceptor().Cell(key).At == top {
			n++
		}
	}
	return n
}

// enter begins a change of seats at a; d takes its new seat with what a has.
func (c *core) enter(t *testing.T, gone ids.Node) {
	is := is.New(t)
	c.add("d", three.Seat)
	c.n.part("d", "b", "c")
	a, d := c.ks["a"], c.ks["d"]
	d.newcomer = true
	is.True(a.Own(ids.Roster, clock.Now().Add(clock.Second), func([]byte) ([]byte, Msg) {
		return DecideRoster(three.Encode(), &Order{Joiners: []ids.Node{"d"}, Gone: []ids.Node{gone}})
	}).OK)
	is.True(d.Regain())
}

// A key that a majority accepted without the keeper that changes the seats, and
// that this keeper has not heard of, is on a majority of the new seats when the
// change ends: its writer or the leaver may be lost right after.
func TestKeyUnheardOf(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.n.part("a", "b", "c")
	is.True(c.putKey("b", k2, 0, "x").OK)
	clock.Sleep(50 * clock.Millisecond) // its telling is lost on the way
	c.n.join()
	c.enter(t, "c")
	is.True(c.ks["a"].digest().Marks[k2] == Mark{})
	for try := 0; len(c.ks["a"].Acceptor().Roster().Next) > 0; try++ {
		is.True(try < 5)
		c.ks["a"].seat()
	}
	is.Equal(c.ks["a"].Acceptor().Roster().Seat, []ids.Node{"a", "b", "d"})
	is.True(c.on(k2, "a", "b", "d") >= 2)
	c.n.join()
	c.n.part("b", "a", "c", "d") // the writer is lost, and the leaver with it
	c.n.part("c", "a", "d")
	a := c.ks["a"].Change(k2, &Order{Query: true}, clock.Now().Add(2*clock.Second))
	is.True(a.OK)
	is.Equal(string(a.Val), "x")
}

// The same with the leaver as the owner, which had the value accepted by itself
// and one that stays.
func TestLeaverOwns(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.n.part("a", "b", "c")
	is.True(c.putKey("c", k2, 0, "x").OK)
	clock.Sleep(50 * clock.Millisecond) // its telling is lost on the way
	c.n.join()
	c.enter(t, "c")
	for try := 0; len(c.ks["a"].Acceptor().Roster().Next) > 0; try++ {
		is.True(try < 5)
		c.ks["a"].seat()
	}
	is.True(c.on(k2, "a", "b", "d") >= 2)
	// the leaver's lease is over: it writes no more
	c.n.part("c", "d")
	is.True(!c.ks["c"].commit(k2, ids.Place{Epoch: c.ks["c"].lease(k2).at.Epoch, Seq: 9}, []byte("late"), clock.Now().Add(clock.Second)))
	is.Equal(string(c.ks["a"].Change(k2, &Order{Query: true}, clock.Now().Add(2*clock.Second)).Val), "x")
}

// A change does not end before a new seat that is heard has all values on its disk.
func TestNewSeatHasAll(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.enter(t, "c")
	c.n.join()
	m := concurrency.NewMark()
	c.st["d"].set(m, false)
	done := concurrency.NewMark()
	concurrency.Go(func() {
		c.ks["a"].seat()
		done.Set()
	})
	is.True(!done.Wait(600 * clock.Millisecond)) // a and b are a majority and have all
	is.True(len(c.ks["a"].Acceptor().Roster().Next) > 0)
	c.st["d"].set(nil, false)
	m.Set()
	is.True(done.Wait(10 * clock.Second))
	is.Equal(len(c.ks["a"].Acceptor().Roster().Next), 0)
	is.Equal(c.on(kk, "a", "b", "d"), 3)
}

// Seats are given away in the order in which they fell silent, and none
// is while its giver may itself have been the one that was cut off.
func TestSilent(t *testing.T) {
	is := is.New(t)
	s := &clock.Sim{}
	defer s.Use()()
	s.Move(clock.Minute)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	ago := func(n ids.Node, d clock.Span) { k.heard[n] = clock.Now().Add(-d) }
	for _, n := range six.Seat {
		ago(n, 0)
	}
	k.sure, k.steady = clock.Now(), clock.Now().Add(-clock.Minute)
	gone, unclear := k.silent(six)
	is.Equal(len(gone), 0)
	is.True(!unclear)
	ago("a2", 4*clock.Second)
	ago("b2", 9*clock.Second)
	ago("c1", 5*clock.Second)
	gone, unclear = k.silent(six)
	is.Equal(gone, []ids.Node{"b2", "c1", "a2"})
	is.True(!unclear)
	ago("c2", 2*clock.Second) // on its way out, or a cut begins
	_, unclear = k.silent(six)
	is.True(unclear)
	ago("c2", 0)
	k.steady = clock.Now().Add(-clock.Second) // back from a cut or a freeze itself
	_, unclear = k.silent(six)
	is.True(unclear)
}

// A step of a change is taken from the roster that it was meant for only.
func TestRosterStepIsBound(t *testing.T) {
	is := is.New(t)
	r := Roster{Num: 4, Seat: three.Seat}
	_, a := DecideRoster(r.Encode(), &Order{Base: 3, Joiners: []ids.Node{"d"}, Gone: []ids.Node{"c"}})
	is.Equal(a.Code, codes.OtherVersion)
	next, a := DecideRoster(r.Encode(), &Order{Base: 4, Joiners: []ids.Node{"d"}, Gone: []ids.Node{"c"}})
	is.True(a.OK)
	n, _ := DecodeRoster(next)
	is.Equal(n.Next, []ids.Node{"a", "b", "d"})
	_, a = DecideRoster(next, &Order{Base: 4, On: true})
	is.Equal(a.Code, codes.OtherVersion)
	_, a = DecideRoster(next, &Order{Base: 5, On: true})
	is.True(a.OK)
}

// Seats that are gone are given to as many askers in one change, each where the
// loss of a zone is borne no worse.
func TestSeatsInstead(t *testing.T) {
	is := is.New(t)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	k.Zone = "a"
	for _, n := range append(slices.Clone(six.Seat), "b3", "c3") {
		k.others[n] = first(n)
	}
	out, in := k.instead(six, []ids.Node{"b2", "c1", "a2"}, []ids.Node{"c3", "b3"})
	is.Equal(out, []ids.Node{"b2", "c1"})
	is.Equal(in, []ids.Node{"b3", "c3"})
	out, in = k.instead(six, []ids.Node{"b2"}, []ids.Node{"c3"}) // three of six in one zone: b2 is waited for
	is.Equal(len(out)+len(in), 0)
	k.local0, k.heard["b2"] = 1-clock.Tick(clock.Minute), 1-clock.Tick(clock.Minute)
	out, in = k.instead(six, []ids.Node{"b2"}, []ids.Node{"c3"})
	is.Equal(out, []ids.Node{"b2"})
	is.Equal(in, []ids.Node{"c3"})
}

// Who asks while it is not clear yet which seats are gone is counted when it is.
func TestAskersAreKept(t *testing.T) {
	is := is.New(t)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	for _, n := range six.Seat {
		k.heard[n] = clock.Now()
	}
	k.heard["b2"], k.heard["c1"] = clock.Now().Add(-4*clock.Second), clock.Now().Add(-2*clock.Second)
	k.sure = clock.Now()
	is.True(k.join("d", "d").OK)
	is.Equal(k.askers("e", "e"), []ids.Node{"d", "e"})
}

// A successor does not get a seat beside the one that it comes in place of.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	s := &clock.Sim{}
	defer s.Use()()
	s.Move(clock.Minute)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	k.Seats = 8
	hear := func(but ids.Node) {
		for _, n := range six.Seat {
			if n != but {
				k.heard[n] = clock.Now()
			}
		}
		k.sure, k.steady = clock.Now(), clock.Now().Add(-clock.Minute)
	}
	hear("")
	s.Move(clock.Second / 2)
	for range 6 { // b2 went half a second before it was asked
		hear("b2")
		is.Equal(k.beside(six, k.askers("d", "d")), []ids.Node{})
		s.Move(clock.Second / 2)
	}
	hear("")
	is.Equal(k.beside(six, k.askers("d", "d")), []ids.Node{"d"})
}

// Of two successors that start together none gets a seat a change before the other.
func TestSuccessorsTogether(t *testing.T) {
	is := is.New(t)
	s := &clock.Sim{}
	defer s.Use()()
	s.Move(clock.Minute)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	for _, n := range append(slices.Clone(six.Seat), "b3", "c3") {
		k.others[n] = first(n)
		k.heard[n] = clock.Now()
	}
	k.heard["b2"], k.heard["c1"] = clock.Now().Add(-4*clock.Second), clock.Now().Add(-4*clock.Second)
	k.sure, k.steady = clock.Now(), 1
	is.True(k.join("b3", "b").OK)
	is.Equal(len(k.acc.Roster().Next), 0)
	is.True(k.seating.TryLock()) // no change began
	k.seating.Unlock()
	is.True(!k.soon(nil))
	is.True(k.soon([]ids.Node{"b3"}))
	out, in := k.instead(six, []ids.Node{"b2", "c1"}, k.askers("c3", "c"))
	is.Equal(len(out), 2)
	is.Equal(in, []ids.Node{"b3", "c3"})
	s.Move(hereFor)
	is.True(!k.soon(in)) // nor is one waited for that does not come
}
