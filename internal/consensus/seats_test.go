package consensus

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

var six = Roster{Num: 1, Seat: []ids.Node{"a1", "a2", "b1", "b2", "c1", "c2"}}

func first(n ids.Node) ids.Zone { return ids.Zone(n[:1]) }

func TestSeats(t *testing.T) {
	is := is.New(t)
	is.Equal(Seats(0, 3), 3)
	is.Equal(Seats(1, 3), 4)
	is.Equal(Seats(1, 4), 4)
	is.Equal(Seats(2, 5), 6)
	is.Equal(Seats(2, 15), 15)
}

// Newcomers are seated so that the loss of a zone is borne on the way as well.
func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		seat, ask, in []ids.Node
		want          int
	}{
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"a2"}, nil, 6}, // two of four in one zone
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"a2", "b2"}, []ids.Node{"a2", "b2"}, 6},
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"c2", "b2", "a2"}, []ids.Node{"a2", "b2", "c2"}, 6},
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"c2", "b2", "a2"}, []ids.Node{"a2", "b2"}, 5},
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"d1"}, []ids.Node{"d1"}, 4},
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"d1", "e1", "a2"}, []ids.Node{"d1", "e1"}, 5},
		{[]ids.Node{"a1", "b1", "c1"}, []ids.Node{"d1", "a1"}, nil, 3},        // enough
		{[]ids.Node{"a1", "a2", "a3"}, []ids.Node{"a4"}, []ids.Node{"a4"}, 4}, // one zone is all there is
		{[]ids.Node{"a1"}, []ids.Node{"b1", "c1"}, []ids.Node{"b1", "c1"}, 4},
	} {
		is.New(t).Equal(Roster{Seat: c.seat}.Admit(c.ask, first, c.want), c.in)
	}
}

// The seeds found the roster when each has told whether it has a disk.
func TestFoundersWithDisks(t *testing.T) {
	for _, c := range []struct{ disks, seats []ids.Node }{
		{[]ids.Node{"a", "b", "c"}, []ids.Node{"a", "b", "c"}},
		{[]ids.Node{"a", "c"}, []ids.Node{"a", "c"}},
		{[]ids.Node{"b"}, []ids.Node{"b"}},
		{nil, []ids.Node{"a", "b", "c"}}, // a deployment without any
	} {
		is := is.New(t)
		k := &core{n: &net{ks: map[ids.Node]*Keeper{}, cut: map[[2]ids.Node]bool{}}, ks: map[ids.Node]*Keeper{}, st: map[ids.Node]*shelf{}, si: map[ids.Node]*sink{}}
		for _, n := range three.Seat {
			k.add(n, three.Seat).Disk = among(c.disks...)(n)
		}
		k.n.part("a", "b")
		is.True(!k.ks["a"].Begin()) // not before all have told
		k.n.join()
		for _, n := range three.Seat {
			is.True(k.ks[n].Begin())
			is.Equal(k.ks[n].Acceptor().Voting(), among(c.seats...)(n))
			if among(c.seats...)(n) {
				is.Equal(k.ks[n].Acceptor().Roster().Seat, c.seats)
			}
		}
	}
}

// A founder that was late takes part as soon as it hears of the roster, though
// another founder is gone: what two of three acknowledged stays within reach.
func TestLateFounder(t *testing.T) {
	is := is.New(t)
	c := &core{n: &net{ks: map[ids.Node]*Keeper{}, cut: map[[2]ids.Node]bool{}}, ks: map[ids.Node]*Keeper{}, st: map[ids.Node]*shelf{}, si: map[ids.Node]*sink{}}
	for _, n := range three.Seat {
		c.add(n, three.Seat)
	}
	is.True(c.ks["a"].Begin())
	is.True(c.ks["b"].Begin())
	is.True(c.put("a", 0, "1").OK)
	c.n.part("b", "a", "c")
	is.True(c.ks["c"].Begin())
	v, ok := c.get("c")
	is.True(ok)
	is.Equal(v, "1")
	d := c.add("d", []ids.Node{"a", "d"}) // named a seed, in no roster
	is.True(d.Begin())
	is.True(!d.Acceptor().Voting())
}

// A founder that is restarted before it has founded is no lost disk, though
// another one is; one whose disk was lost is.
func TestFounderRestarted(t *testing.T) {
	for _, lost := range []bool{false, true} {
		is := is.New(t)
		c := &core{n: &net{ks: map[ids.Node]*Keeper{}, cut: map[[2]ids.Node]bool{}}, ks: map[ids.Node]*Keeper{}, st: map[ids.Node]*shelf{}, si: map[ids.Node]*sink{}}
		for _, n := range three.Seat {
			is.NoErr(c.add(n, three.Seat).Acceptor().First(three.Seat))
		}
		is.True(c.ks["a"].Begin())
		is.True(c.ks["b"].Begin())
		is.True(!c.ks["a"].Acceptor().Unvoted()) // founded
		is.True(c.put("a", 0, "1").OK)
		c.add("b", three.Seat) // its disk is lost
		if lost {
			c.st["c"] = &shelf{}
		}
		k := c.start("c", three.Seat)
		is.Equal(k.Acceptor().Unvoted(), !lost)
		is.NoErr(k.Acceptor().Rewrite())
		k = c.start("c", three.Seat)
		k.Round() // hears of the roster
		is.Equal(k.Regain(), !lost)
		is.Equal(c.ks["b"].Regain(), !lost)
		v, ok := c.get("c")
		is.Equal(ok, !lost)
		is.True(lost || v == "1")
	}
}

// A keeper without a disk carries orders to those that have one, and is never
// counted.
func TestWithoutDisk(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	d := c.add("d", three.Seat)
	d.Disk = false
	is.True(c.put("d", 0, "1").OK)
	v, ok := c.get("d")
	is.True(ok)
	is.Equal(v, "1")
	is.Equal(d.Acceptor().Roster().Seat, three.Seat)
	e := ids.Epoch{Round: 99, Node: "x", Life: 1}
	is.Equal(d.Handle(Msg{Kind: Vote, Key: kk, Epoch: e, Roster: three}).Code, codes.NotVoting)
	is.Equal(d.Handle(Msg{Kind: Accept, Key: kk, At: ids.Place{Epoch: e, Seq: 1}, Roster: three}).Code, codes.NotVoting)
	is.True(!d.Handle(Msg{Kind: Survey}).OK)
	d.Regain()
	is.True(!c.ks["a"].Acceptor().Roster().Has("d"))
	c.n.part("d", "a") // another seat is tried
	is.True(c.put("d", 1, "22").OK)
	c.n.join()
	c.n.part("a", "b", "c")
	c.n.part("c", "b")
	is.True(!c.put("d", 2, "333").OK) // no majority anywhere, and none made up
	is.Equal(len(d.Acceptor().Cells()), 0)
	is.True(!d.Sure(clock.Minute))
}

// Two seats are lost at once in the middle of a change, then a whole zone: what
// was acknowledged stands and changes go on.
func TestTwoSeatsLost(t *testing.T) {
	for _, lost := range [][]ids.Node{{"a1", "b1"}, {"a1", "a2"}, {"b2", "c1"}, {"c1", "c2"}} {
		is := is.New(t)
		c := newCoreOf(t, six)
		is.True(c.put("a1", 0, "1").OK)
		c.st[lost[0]].set(nil, true) // their disks take the change no more
		c.st[lost[1]].set(nil, true)
		on := ids.Node("b1")
		if among(lost...)(on) {
			on = "c2"
		}
		is.True(c.put(on, 1, "22").OK)
		for _, n := range lost {
			c.n.part(n, six.Seat...)
		}
		v, ok := c.get(on)
		is.True(ok)
		is.Equal(v, "22")
		is.True(c.put(on, 2, "333").OK)
		_, ok = c.get(lost[0])
		is.True(!ok)
	}
}

// Two disks are wiped right after an acknowledgement that they were part of,
// and all others lose power as well: the value is there when all are back.
func TestTwoDisksWiped(t *testing.T) {
	for _, r := range []Roster{six, {Num: 1, Seat: []ids.Node{"a", "b", "c", "d", "e"}}} {
		for i := range r.Seat {
			j := (i + 1) % len(r.Seat)
			is := is.New(t)
			c := newCoreOf(t, r)
			own := r.Seat[i]
			is.True(c.put(own, 0, "1").OK)
			is.True(c.put(own, 1, "22").OK)
			c.n.part(own, r.Seat...)
			for n, s := range c.st {
				if c.st[n] = s.powerless(); n == own || n == r.Seat[j] {
					c.st[n] = &shelf{}
				}
			}
			c.n.join()
			for _, n := range r.Seat {
				c.start(n, r.Seat)
			}
			for _, n := range []ids.Node{own, r.Seat[j]} {
				is.True(!c.ks[n].Acceptor().Voting())
				is.True(c.ks[n].Regain())
			}
			for _, n := range r.Seat {
				v, ok := c.get(n)
				is.True(ok)
				is.Equal(v, "22")
			}
		}
	}
}

// limit lets so many messages of one keeper through, then none.
func (c *core) limit(from ids.Node, left int) {
	var mu sync.Mutex
	c.n.through(func(n, _ ids.Node, _ Msg) bool {
		mu.Lock()
		defer mu.Unlock()
		if n == from {
			left--
		}
		return n != from || left >= 0
	})
}

// Growth from three seats to six is cut off after each message that it takes:
// whoever finds it ends it, and nothing acknowledged is lost on the way.
func TestGrowthInterrupted(t *testing.T) {
	for left := 1; left < 100; left += 3 {
		t.Run(fmt.Sprint(left), func(t *testing.T) {
			t.Parallel()
			interrupted(t, left)
		})
	}
	t.Run("not at all", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		is.Equal(len(interrupted(t, 1<<20).Seat), 6)
	})
}

func interrupted(t *testing.T, left int) Roster {
	is := is.New(t)
	c := newCoreOf(t, Roster{Num: 1, Seat: []ids.Node{"a1", "b1", "c1"}})
	is.True(c.put("b1", 0, "1").OK)
	for _, n := range six.Seat {
		k := c.ks[n]
		if k == nil {
			k = c.add(n, []ids.Node{"a1", "b1", "c1"})
		}
		k.Seats = 6
		for _, o := range six.Seat {
			if o != n {
				k.hear(Msg{From: o, Zone: first(o)})
			}
		}
	}
	a := c.ks["a1"]
	a.Round()
	is.True(a.Sure(hereFor))
	for _, j := range []ids.Node{"a2", "b2", "c2"} {
		c.ks[j].Regain() // seats are given once all were heard of since
	}
	a.Round()
	c.limit("a1", left)
	for range 2 {
		for _, j := range []ids.Node{"a2", "b2", "c2"} {
			c.ks[j].mu.Lock()
			c.ks[j].wanted = 0 // a while later
			c.ks[j].mu.Unlock()
			c.ks[j].Regain() // asks for a seat
		}
		for !a.seating.TryLock() { // until the change has ended, or was given up
			for _, j := range []ids.Node{"a2", "b2", "c2"} {
				c.ks[j].Regain()
			}
			runtime.Gosched()
		}
		a.seating.Unlock()
	}
	c.n.part("a1", six.Seat...) // the keeper that began it is gone
	b := c.ks["b1"]
	settled := func() bool {
		v, ok := c.get("b1")
		return ok && v == "1" && len(b.Acceptor().Roster().Next) == 0
	}
	for try := 0; !settled(); try++ {
		if try > 20 {
			t.Fatalf("never settled: %v", b.Acceptor().Roster())
		}
		b.Round()
		for _, n := range []ids.Node{"a2", "b2", "c2"} {
			c.ks[n].Regain()
		}
		b.seating.Lock()
		b.seat()
		b.seating.Unlock()
	}
	c.n.join()
	c.n.through(nil)
	is.True(c.put("c1", 1, "22").OK)
	for _, n := range b.Acceptor().Roster().Seat {
		k := c.ks[n]
		k.Round()
		is.True(k.Regain())
		v, ok := c.get(n)
		is.True(ok)
		is.Equal(v, "22")
	}
	return b.Acceptor().Roster()
}

// One that may have voted in an earlier life is no newcomer, whoever knows of it.
func TestNewcomer(t *testing.T) {
	is := is.New(t)
	with := Roster{Num: 2, Seat: three.Seat, Next: []ids.Node{"a", "b", "c", "d"}}
	ok := func(r Roster, cell *Roster) Msg {
		m := Msg{OK: true, Roster: r, Cells: map[ids.Key]Cell{}}
		if cell != nil {
			m.Cells[ids.Roster] = Cell{Val: cell.Encode()}
		}
		return m
	}
	is.True(Newcomer("d", map[ids.Node]Msg{"a": ok(three, nil), "b": ok(three, nil)}))
	is.True(!Newcomer("d", map[ids.Node]Msg{"a": ok(three, nil)}))                       // no majority
	is.True(!Newcomer("d", map[ids.Node]Msg{"a": ok(three, nil), "b": {Roster: three}})) // b does not vote
	is.True(!Newcomer("d", map[ids.Node]Msg{"a": ok(three, nil), "b": ok(with, nil)}))
	is.True(!Newcomer("d", map[ids.Node]Msg{"a": ok(three, nil), "b": ok(three, &with)})) // accepted, not yet gone by
	is.True(!Newcomer("d", map[ids.Node]Msg{}))
}

// Founders that are all killed before any has founded go on founding when they
// are back, with the seeds of the first start, whatever the settings name by
// then; not while one is missing, nor where the disk of one was lost.
func TestAllKilledBeforeFounding(t *testing.T) {
	for _, lost := range []bool{false, true} {
		is := is.New(t)
		c := &core{n: &net{ks: map[ids.Node]*Keeper{}, cut: map[[2]ids.Node]bool{}}, ks: map[ids.Node]*Keeper{}, st: map[ids.Node]*shelf{}, si: map[ids.Node]*sink{}}
		for _, n := range three.Seat {
			is.NoErr(c.add(n, three.Seat).Acceptor().First(three.Seat))
		}
		for i, n := range three.Seat {
			if lost && i == 0 {
				c.st[n] = &shelf{}
			}
			c.start(n, []ids.Node{"d", "e", "f"})
		}
		c.n.part("c", "a", "b")
		is.Equal(c.ks["b"].Acceptor().Founders(), three.Seat)
		is.True(!c.ks["b"].Begin())
		c.n.join()
		for _, n := range []ids.Node{"b", "c"} {
			is.Equal(c.ks[n].Begin(), !lost)
			is.Equal(c.ks[n].Acceptor().Voting(), !lost)
		}
		if lost {
			continue
		}
		is.Equal(len(c.ks["b"].Acceptor().Founders()), 0)
		is.True(c.put("b", 0, "1").OK)
		c.n.part("b", "a", "c")
		is.True(c.ks["a"].Begin()) // hears of the roster from c
		v, ok := c.get("a")
		is.True(ok)
		is.Equal(v, "1")
	}
}
