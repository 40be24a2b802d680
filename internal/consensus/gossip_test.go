package consensus

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

// counted counts what a keeper asks of each daemon, by kind.
type counted struct {
	end
	got map[ids.Node]map[Kind]int
}

func (c counted) Ask(to ids.Node, m Msg, d clock.Span) (Msg, bool) {
	c.n.mu.Lock()
	if c.got[to] == nil {
		c.got[to] = map[Kind]int{}
	}
	c.got[to][m.Kind]++
	c.n.mu.Unlock()
	return c.end.Ask(to, m, d)
}

func (c counted) count(to ids.Node, kind Kind) int {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	return c.got[to][kind]
}

func (c *core) count(n ids.Node) counted {
	x := counted{end{c.n, n}, map[ids.Node]map[Kind]int{}}
	c.ks[n].Net = x
	return x
}

func eventually(t *testing.T, what string, fn func() bool) {
	t.Helper()
	for end := clock.Now().Add(20 * clock.Second); !fn(); clock.Sleep(clock.Millisecond) {
		if clock.Now() > end {
			t.Fatal("never came: " + what)
		}
	}
}

// diskless starts a keeper without a disk that knows nothing but its seeds.
func (c *core) diskless(n ids.Node, seeds ...ids.Node) *Keeper {
	k := c.add(n, seeds)
	k.Disk = false
	return k
}

// A seat tells the seeds of its settings that have no seat, the seats of its
// rounds are not asked, and a seed that has met it is left alone for a while.
func TestSeedsAreTold(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	d := c.diskless("d", "d", "e")
	c.diskless("e", "d", "e")
	a := c.ks["a"]
	n := c.count("a")
	a.hear(Msg{From: "b", Zone: "b"})
	a.Seeded([]ids.Node{"b", "d", "e", "gone"}, 3)
	for range 50 {
		a.Gossip()
	}
	for _, k := range []ids.Node{"d", "e"} {
		eventually(t, "the roster", func() bool { return c.ks[k].Acceptor().Roster().Num == 1 })
	}
	num, zones := d.SeatZones()
	is.Equal(num, uint64(1))
	is.Equal(zones["b"], ids.Zone("b"))
	is.Equal(n.count("b", Gossip), 0)
	is.Equal(n.count("d", Gossip), 1)
	eventually(t, "the seed that is down is asked", func() bool { return n.count("gone", Gossip) > 0 })
	is.Equal(n.count("gone", Gossip), 1)
	eventually(t, "the seed that is down is asked again", func() bool {
		a.Gossip()
		return n.count("gone", Gossip) > 1
	})
	is.Equal(n.count("d", Gossip), 1)
	a.Seeded([]ids.Node{"d"}, 3) // changed: told again at once
	a.Gossip()
	eventually(t, "told again", func() bool { return n.count("d", Gossip) == 2 })
}

// One that knows no roster asks those that asked it, whatever its own seeds
// say, and goes by the newest roster that anybody tells.
func TestAnyMeetingIsEnough(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	lost := c.diskless("lost", "nobody")
	mid := c.diskless("mid", "lost")
	mid.Gossip() // neither knows anything
	eventually(t, "the meeting", func() bool {
		lost.mu.Lock()
		defer lost.mu.Unlock()
		return len(lost.callers) == 1
	})
	mid.Seeded([]ids.Node{"c"}, 3) // its settings are mended, those of the other are not
	eventually(t, "the roster", func() bool {
		mid.Gossip()
		return mid.Acceptor().Roster().Num == 1
	})
	eventually(t, "the roster of the other", func() bool {
		lost.Gossip()
		return lost.Acceptor().Roster().Num == 1
	})
	fresh := Roster{Num: 5, Seat: []ids.Node{"a", "b", "x"}}
	is.NoErr(c.ks["c"].Acceptor().Adopt(fresh))
	eventually(t, "the newer roster", func() bool {
		mid.Gossip()
		return mid.Acceptor().Roster().Num == 5
	})
	is.Equal(c.ks["c"].gossiped(Msg{Roster: three}).Roster.Num, uint64(5)) // never back
}

// An order goes to one seat and never on between keepers without one; a keeper
// that knows no seat refuses it at once.
func TestOrdersEnd(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	d, e := c.diskless("d", "e"), c.diskless("e", "d")
	nd, ne := c.count("d"), c.count("e")
	begun := clock.Now()
	is.Equal(c.put("d", 0, "1").Code, codes.NotVoting)
	is.True(clock.Since(begun) < 500*clock.Millisecond)
	is.Equal(d.Handle(Msg{Kind: Forward, Key: kk, Order: &Order{Query: true}}).Code, codes.NotVoting)
	is.Equal(nd.count("e", Forward)+ne.count("d", Forward), 0)
	is.NoErr(d.Acceptor().Adopt(Roster{Num: 2, Seat: []ids.Node{"e"}})) // wrong by now
	is.NoErr(e.Acceptor().Adopt(Roster{Num: 3, Seat: three.Seat}))
	for _, n := range three.Seat {
		is.NoErr(c.ks[n].Acceptor().Adopt(Roster{Num: 3, Seat: three.Seat}))
	}
	is.True(c.put("d", 0, "1").OK) // the one without a seat tells who has one
	is.Equal(nd.count("e", Forward), 1)
	is.Equal(ne.count("a", Forward)+ne.count("b", Forward)+ne.count("c", Forward), 0)
}

// An order that was handed over is worked on no longer than its asker waits,
// and those in hand are bounded.
func TestOrdersInHand(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	a := c.ks["a"]
	c.n.part("a", "b", "c")
	begun := clock.Now()
	is.True(!a.Handle(Msg{Kind: Forward, Key: kk, Order: &Order{Query: true}, Left: 100 * clock.Millisecond}).OK)
	is.True(clock.Since(begun) < 400*clock.Millisecond)
	done := concurrency.NewMark()
	left := OrdersMost
	for range OrdersMost {
		concurrency.Go(func() {
			a.Handle(Msg{Kind: Change, Key: kk, Order: &Order{Query: true}})
			c.n.mu.Lock()
			defer c.n.mu.Unlock()
			if left--; left == 0 {
				done.Set()
			}
		})
	}
	eventually(t, "all in hand", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.orders == OrdersMost
	})
	is.Equal(a.Handle(Msg{Kind: Forward, Key: kk, Order: &Order{Query: true}}).Code, codes.QueueFull)
	is.True(done.Wait(10 * clock.Second))
	c.n.join()
	is.True(a.Handle(Msg{Kind: Forward, Key: kk, Order: &Order{Query: true}}).OK)
}
