package keep

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

const k2 word.Key = "k2"

func (c *core) putKey(n word.Node, key word.Key, base int, v string) Msg {
	return c.ks[n].Change(key, &Order{Base: word.Version(base), Body: []byte(v)}, clk.Now().Add(900*clk.Millisecond))
}

// on counts the seats that have a key's value at its newest place on their disks.
func (c *core) on(key word.Key, seat ...word.Node) int {
	var top word.Place
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
func (c *core) enter(t *testing.T, gone word.Node) {
	is := is.New(t)
	c.add("d", three.Seat)
	c.n.part("d", "b", "c")
	a, d := c.ks["a"], c.ks["d"]
	d.newcomer = true
	is.True(a.Own(word.Roster, clk.Now().Add(clk.Second), func([]byte) ([]byte, Msg) {
		return DecideRoster(three.Encode(), &Order{Joiners: []word.Node{"d"}, Gone: []word.Node{gone}})
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
	clk.Sleep(50 * clk.Millisecond) // its telling is lost on the way
	c.n.join()
	c.enter(t, "c")
	is.True(c.ks["a"].digest().Marks[k2] == Mark{})
	for try := 0; len(c.ks["a"].Acceptor().Roster().Next) > 0; try++ {
		is.True(try < 5)
		c.ks["a"].seat()
	}
	is.Equal(c.ks["a"].Acceptor().Roster().Seat, []word.Node{"a", "b", "d"})
	is.True(c.on(k2, "a", "b", "d") >= 2)
	c.n.join()
	c.n.part("b", "a", "c", "d") // the writer is lost, and the leaver with it
	c.n.part("c", "a", "d")
	a := c.ks["a"].Change(k2, &Order{Query: true}, clk.Now().Add(2*clk.Second))
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
	clk.Sleep(50 * clk.Millisecond) // its telling is lost on the way
	c.n.join()
	c.enter(t, "c")
	for try := 0; len(c.ks["a"].Acceptor().Roster().Next) > 0; try++ {
		is.True(try < 5)
		c.ks["a"].seat()
	}
	is.True(c.on(k2, "a", "b", "d") >= 2)
	// the leaver's lease is over: it writes no more
	c.n.part("c", "d")
	is.True(!c.ks["c"].commit(k2, word.Place{Epoch: c.ks["c"].lease(k2).at.Epoch, Seq: 9}, []byte("late"), clk.Now().Add(clk.Second)))
	is.Equal(string(c.ks["a"].Change(k2, &Order{Query: true}, clk.Now().Add(2*clk.Second)).Val), "x")
}

// A change does not end before a new seat that is heard has all values on its disk.
func TestNewSeatHasAll(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	c.enter(t, "c")
	c.n.join()
	m := spawn.NewMark()
	c.st["d"].set(m, false)
	done := spawn.NewMark()
	spawn.Go(func() {
		c.ks["a"].seat()
		done.Set()
	})
	is.True(!done.Wait(600 * clk.Millisecond)) // a and b are a majority and have all
	is.True(len(c.ks["a"].Acceptor().Roster().Next) > 0)
	c.st["d"].set(nil, false)
	m.Set()
	is.True(done.Wait(10 * clk.Second))
	is.Equal(len(c.ks["a"].Acceptor().Roster().Next), 0)
	is.Equal(c.on(kk, "a", "b", "d"), 3)
}

// Seats are given away in the order in which they fell silent, and none
// is while its giver may itself have been the one that was cut off.
func TestSilent(t *testing.T) {
	is := is.New(t)
	s := &clk.Sim{}
	defer s.Use()()
	s.Move(clk.Minute)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	ago := func(n word.Node, d clk.Span) { k.heard[n] = clk.Now().Add(-d) }
	for _, n := range six.Seat {
		ago(n, 0)
	}
	k.sure, k.steady = clk.Now(), clk.Now().Add(-clk.Minute)
	gone, unclear := k.silent(six)
	is.Equal(len(gone), 0)
	is.True(!unclear)
	ago("a2", 4*clk.Second)
	ago("b2", 9*clk.Second)
	ago("c1", 5*clk.Second)
	gone, unclear = k.silent(six)
	is.Equal(gone, []word.Node{"b2", "c1", "a2"})
	is.True(!unclear)
	ago("c2", 2*clk.Second) // on its way out, or a cut begins
	_, unclear = k.silent(six)
	is.True(unclear)
	ago("c2", 0)
	k.steady = clk.Now().Add(-clk.Second) // back from a cut or a freeze itself
	_, unclear = k.silent(six)
	is.True(unclear)
}

// A step of a change is taken from the roster that it was meant for only.
func TestRosterStepIsBound(t *testing.T) {
	is := is.New(t)
	r := Roster{Num: 4, Seat: three.Seat}
	_, a := DecideRoster(r.Encode(), &Order{Base: 3, Joiners: []word.Node{"d"}, Gone: []word.Node{"c"}})
	is.Equal(a.Code, code.OtherVersion)
	next, a := DecideRoster(r.Encode(), &Order{Base: 4, Joiners: []word.Node{"d"}, Gone: []word.Node{"c"}})
	is.True(a.OK)
	n, _ := DecodeRoster(next)
	is.Equal(n.Next, []word.Node{"a", "b", "d"})
	_, a = DecideRoster(next, &Order{Base: 4, On: true})
	is.Equal(a.Code, code.OtherVersion)
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
	out, in := k.instead(six, []word.Node{"b2", "c1", "a2"}, []word.Node{"c3", "b3"})
	is.Equal(out, []word.Node{"b2", "c1"})
	is.Equal(in, []word.Node{"b3", "c3"})
	out, in = k.instead(six, []word.Node{"b2"}, []word.Node{"c3"}) // three of six in one zone: b2 is waited for
	is.Equal(len(out)+len(in), 0)
	k.local0, k.heard["b2"] = 1-clk.Tick(clk.Minute), 1-clk.Tick(clk.Minute)
	out, in = k.instead(six, []word.Node{"b2"}, []word.Node{"c3"})
	is.Equal(out, []word.Node{"b2"})
	is.Equal(in, []word.Node{"c3"})
}

// Who asks while it is not clear yet which seats are gone is counted when it is.
func TestAskersAreKept(t *testing.T) {
	is := is.New(t)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	for _, n := range six.Seat {
		k.heard[n] = clk.Now()
	}
	k.heard["b2"], k.heard["c1"] = clk.Now().Add(-4*clk.Second), clk.Now().Add(-2*clk.Second)
	k.sure = clk.Now()
	is.True(k.join("d", "d").OK)
	is.Equal(k.askers("e", "e"), []word.Node{"d", "e"})
}

// A successor does not get a seat beside the one that it comes in place of.
func TestSuccessor(t *testing.T) {
	is := is.New(t)
	s := &clk.Sim{}
	defer s.Use()()
	s.Move(clk.Minute)
	c := newCoreOf(t, six)
	k := c.ks["a1"]
	k.Seats = 8
	hear := func(but word.Node) {
		for _, n := range six.Seat {
			if n != but {
				k.heard[n] = clk.Now()
			}
		}
		k.sure, k.steady = clk.Now(), clk.Now().Add(-clk.Minute)
	}
	hear("")
	s.Move(clk.Second / 2)
	for range 6 { // b2 went half a second before it was asked
		hear("b2")
		is.Equal(k.beside(six, k.askers("d", "d")), []word.Node{})
		s.Move(clk.Second / 2)
	}
	hear("")
	is.Equal(k.beside(six, k.askers("d", "d")), []word.Node{"d"})
}
