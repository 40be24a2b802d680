package consensus

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

var four = Roster{Num: 1, Seat: []ids.Node{"a", "b", "c", "d"}}

// restart takes the power of keepers and starts them from what their disks have.
func (c *core) restart(founders []ids.Node, ns ...ids.Node) {
	for _, n := range ns {
		c.n.mu.Lock()
		delete(c.n.ks, n)
		c.n.mu.Unlock()
		c.st[n] = c.st[n].powerless()
	}
	for _, n := range ns {
		c.start(n, founders)
	}
}

// settle lets keepers do what they do on their own until a key reads as it should.
func (c *core) settle(t *testing.T, key ids.Key, want string, ns ...ids.Node) {
	t.Helper()
	for try := 0; ; try++ {
		for _, n := range ns {
			c.ks[n].Round()
			c.ks[n].Regain()
		}
		done := true
		for _, n := range ns {
			a := c.ks[n].Change(key, &Order{Query: true}, clock.Now().Add(200*clock.Millisecond))
			done = done && a.OK && string(a.Val) == want && len(c.ks[n].Acceptor().Roster().Next) == 0
		}
		if done {
			return
		}
		if try > 100 {
			t.Fatalf("never settled: %v", c.ks[ns[0]].Acceptor().Roster())
		}
		for _, n := range ns { // a while later
			c.ks[n].mu.Lock()
			c.ks[n].joint.since -= clock.Tick(3 * clock.Second)
			c.ks[n].mu.Unlock()
		}
		clock.Sleep(20 * clock.Millisecond)
	}
}

// A seat is lost for good and its change is cut off after each message, with the
// loss of the keeper that led it, of one more or of the power everywhere; when
// these are back from their disks the change ends, all is there, and any one seat
// more may go. The lost one has no say when it is back, with its disk or without.
func TestReplacementAndLoss(t *testing.T) {
	for _, also := range []ids.Node{"a", "b", "e", "all"} {
		for left := 1; left < 60; left += 6 {
			t.Run(fmt.Sprint(also, left), func(t *testing.T) {
				t.Parallel()
				replaced(t, also, left)
			})
		}
	}
}

func replaced(t *testing.T, also ids.Node, left int) {
	is := is.New(t)
	c := newCoreOf(t, four)
	is.True(c.put("a", 0, "1").OK)
	is.True(c.putKey("b", k2, 0, "x").OK)
	c.n.part("d", four.Seat...)
	delete(c.ks, "d")
	c.add("e", four.Seat)
	all := []ids.Node{"a", "b", "c", "e"}
	is.True(!c.ks["e"].Regain()) // learns the roster, and that it has no seat
	c.limit("a", left)
	a := c.ks["a"]
	a.seating.Lock()
	m := a.Own(ids.Roster, clock.Now().Add(300*clock.Millisecond), func(cur []byte) ([]byte, Msg) {
		if len(cur) == 0 {
			cur = a.acc.Roster().Encode()
		}
		return DecideRoster(cur, &Order{Joiners: []ids.Node{"e"}, Gone: []ids.Node{"d"}})
	})
	if m.OK {
		c.ks["e"].Regain()
		a.seat()
	}
	a.seating.Unlock()
	c.n.through(nil)
	if also == "all" {
		c.restart(four.Seat, all...)
	} else {
		c.restart(four.Seat, also)
	}
	c.settle(t, kk, "1", "a", "b", "c")
	c.settle(t, k2, "x", "a", "b", "c")
	if !c.ks["a"].Acceptor().Roster().Has("e") { // given up before it was agreed
		is.True(a.Acceptor().Roster().Num == 1)
		return
	}
	c.settle(t, kk, "1", all...)
	for _, n := range all {
		for try := 0; c.on(kk, all...) < 4 || c.on(k2, all...) < 4; try++ {
			is.True(try < 200)
			for _, o := range all {
				c.ks[o].Round()
			}
			clock.Sleep(clock.Millisecond)
		}
		c.n.part(n, all...)
		on := all[0]
		if on == n {
			on = all[1]
		}
		v, ok := c.get(on)
		is.True(ok)
		is.True(c.put(on, len(v), v+"+").OK)
		c.n.join()
		c.n.part("d", four.Seat...)
	}
	want, _ := c.get("b")
	for _, disk := range []*shelf{c.st["d"].powerless(), {}} {
		c.n.part("d", all...)
		c.st["d"] = disk
		d := c.start("d", four.Seat)
		was := d.Acceptor().Voting()
		c.n.join()
		d.Round()
		d.Regain()
		is.True(d.Acceptor().Voting() == was && !d.Acceptor().Roster().Has("d"))
		v, ok := c.get("d")
		is.True(ok)
		is.Equal(v, want)
	}
}

// A newcomer that dies as soon as it has a seat holds nothing up: another takes it.
func TestNewcomerDies(t *testing.T) {
	is := is.New(t)
	c := newCoreOf(t, four)
	is.True(c.put("a", 0, "1").OK)
	c.n.part("d", four.Seat...)
	c.add("e", four.Seat)
	a := c.ks["a"]
	move := func(from Roster, j, gone ids.Node) {
		is.True(a.Own(ids.Roster, clock.Now().Add(clock.Second), func(cur []byte) ([]byte, Msg) {
			if len(cur) == 0 {
				cur = a.acc.Roster().Encode()
			}
			return DecideRoster(cur, &Order{Base: ids.Version(from.Num), Joiners: []ids.Node{j}, Gone: []ids.Node{gone}})
		}).OK)
	}
	move(a.acc.Roster(), "e", "d")
	c.n.part("e", "a", "b", "c")
	a.seat()
	is.Equal(a.acc.Roster().Seat, []ids.Node{"a", "b", "c", "e"})
	c.add("f", four.Seat)
	move(a.acc.Roster(), "f", "e")
	is.True(c.ks["f"].Regain())
	a.seat()
	is.Equal(a.acc.Roster().Seat, []ids.Node{"a", "b", "c", "f"})
	c.n.part("b", "a", "c", "f")
	v, ok := c.get("f")
	is.True(ok)
	is.Equal(v, "1")
	// the one that died is back with its old disk, and has no seat
	c.n.join()
	c.ks["e"].Round()
	c.ks["e"].Regain()
	is.True(!c.ks["e"].acc.Roster().Has("e"))
	is.True(!c.ks["e"].Acceptor().Voting())
}

// All lose power right after an acknowledgement, twice, and one of them its disk
// as well: what was acknowledged is there.
func TestClosing(t *testing.T) {
	for i, lost := range four.Seat {
		for _, on := range []bool{true, false} {
			t.Run(fmt.Sprint(lost, on), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCoreOf(t, four)
				for round := range 2 {
					taker := four.Seat[(i+round)%4]
					for _, k := range c.ks {
						c.zoned(k)
					}
					is.True(c.ks[taker].Change(zz, &Order{On: on != (round == 1)}, clock.Now().Add(2*clock.Second)).OK)
					c.restart(four.Seat, four.Seat...)
					c.st[lost] = &shelf{}
					c.start(lost, four.Seat)
					for _, k := range c.ks {
						c.zoned(k)
					}
					want := "on"
					if on == (round == 1) {
						want = "off"
					}
					c.n.join()
					c.settle(t, zz, want, four.Seat...)
				}
			})
		}
	}
}

// A seat is away for a thousand changes and for one, all the time or by turns:
// two rounds after it is back it has what stands on its disk, and serves that.
func TestThousandChanges(t *testing.T) {
	for _, away := range []int{1, 30, 1000} {
		for _, turns := range []int{1, 10} {
			t.Run(fmt.Sprint(away, turns), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCore(t)
				v := ""
				for n := range max(away, turns) {
					out := three.Seat[n*turns/max(away, turns)%3]
					c.n.join()
					c.n.part(out, three.Seat...)
					in := three.Seat[(n+1)%3]
					if in == out {
						in = three.Seat[(n+2)%3]
					}
					is.True(c.put(in, len(v), v+"x").OK)
					v += "x"
				}
				c.n.join()
				for _, n := range three.Seat {
					c.restart(three.Seat, n)
				}
				c.n.join()
				rounds := 0
				for ; c.on(kk, three.Seat...) < 3; rounds++ {
					is.True(rounds < 8)
					for _, n := range three.Seat {
						c.ks[n].Round()
					}
					clock.Sleep(10 * clock.Millisecond)
				}
				t.Log("rounds", rounds)
				for _, n := range three.Seat {
					got, ok := c.get(n)
					is.True(ok)
					is.Equal(len(got), len(v))
				}
			})
		}
	}
}
