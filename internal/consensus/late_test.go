package consensus

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

var zz = ids.Evacuation("z")

// freeze keeps the first order of one kind that one keeper is sent, as its socket
// does while it is frozen; then is done at that moment.
func (c *core) freeze(who ids.Node, kind Kind, then func()) *[]Msg {
	held := &[]Msg{}
	c.n.through(func(_, to ids.Node, m Msg) bool {
		if to != who || m.Kind != kind || m.Order.Query || len(*held) > 0 {
			return true
		}
		*held = append(*held, m)
		then()
		return false
	})
	return held
}

func zoneCore(t *testing.T) *core {
	c := newCore(t)
	for _, k := range c.ks {
		c.zoned(k)
	}
	return c
}

func (c *core) zoned(k *Keeper) {
	k.Decider = func(_ ids.Key, o *Order) Decide {
		return func(cur []byte) ([]byte, Msg) {
			switch {
			case o.Query:
				return nil, Msg{OK: true, Val: cur}
			case o.On:
				return []byte("on"), Msg{OK: true}
			}
			return []byte("off"), Msg{OK: true}
		}
	}
}

func (c *core) zone(n ids.Node, on bool) Msg {
	return c.ks[n].Change(zz, &Order{On: on}, clock.Now().Add(900*clock.Millisecond))
}

func (c *core) zoneIs(n ids.Node) string {
	return string(c.ks[n].Change(zz, &Order{Query: true}, clock.Now().Add(2*clock.Second)).Val)
}

// An evacuation order that lay in the socket of a frozen owner is carried out
// when the owner thaws: not over one that was acknowledged meanwhile.
func TestLateAtOwner(t *testing.T) {
	for _, on := range []bool{true, false} {
		is := is.New(t)
		c := zoneCore(t)
		is.True(c.zone("a", !on).OK)
		held := c.freeze("a", Change, func() {})
		is.True(c.zone("b", on).OK) // by a ballot of its own
		is.True(c.zone("b", !on).OK)
		want := c.zoneIs("c")
		is.Equal(len(*held), 1)
		for range 3 {
			is.Equal(c.ks["a"].Handle((*held)[0]).Code, codes.Moved)
		}
		is.Equal(c.zoneIs("c"), want)
	}
}

// The same where the later order changed nothing and is acknowledged all the same.
func TestLateAfterNoChange(t *testing.T) {
	is := is.New(t)
	c := zoneCore(t)
	is.True(c.zone("a", false).OK)
	held := c.freeze("a", Change, func() { c.n.part("b", "a", "c") })
	is.True(!c.zone("b", true).OK)
	is.True(c.zone("c", false).OK)
	is.Equal(len(*held), 1)
	is.Equal(c.ks["a"].Handle((*held)[0]).Code, codes.Moved)
	is.Equal(c.zoneIs("c"), "off")
	is.True(c.zone("c", true).OK) // one whose client waits is carried out
	is.Equal(c.zoneIs("a"), "on")
}

// The same for a frozen taker, which an order reached by way of a keeper
// without a disk.
func TestLateAtTaker(t *testing.T) {
	is := is.New(t)
	c := zoneCore(t)
	c.zoned(c.add("d", three.Seat))
	d := c.ks["d"]
	d.Disk = false
	is.NoErr(d.Acceptor().Adopt(three)) // as gossip brings it
	is.True(c.zone("a", false).OK)
	held := c.freeze(d.seatsNear()[0], Forward, func() { c.n.part("d", three.Seat...) })
	is.True(!c.zone("d", true).OK)
	is.True(c.zone("c", true).OK)
	is.True(c.zone("c", false).OK)
	is.Equal(len(*held), 1)
	for _, n := range three.Seat {
		is.Equal(c.ks[n].Handle((*held)[0]).Code, codes.Moved)
	}
	is.Equal(c.zoneIs("c"), "off")
	c.n.join()
	c.n.through(nil)
	is.True(c.zone("d", true).OK)
	is.Equal(c.zoneIs("b"), "on")
}

// A place that moves while the client waits is asked for again.
func TestMovedMeanwhile(t *testing.T) {
	is := is.New(t)
	c := zoneCore(t)
	is.True(c.zone("a", false).OK)
	moves := 0
	c.n.through(func(_, _ ids.Node, m Msg) bool {
		if m.Kind == Change && !m.Order.Query {
			if moves++; moves <= 3 {
				is.True(c.zone("a", false).OK)
			}
		}
		return true
	})
	is.True(c.zone("b", true).OK)
	is.Equal(moves, 4)
	is.Equal(c.zoneIs("c"), "on")
}

// An order without a place, of a release that binds none, is not carried out.
func TestUnboundIsRefused(t *testing.T) {
	is := is.New(t)
	c := zoneCore(t)
	is.True(c.zone("a", false).OK)
	for _, kind := range []Kind{Change, Forward} {
		is.Equal(c.ks["a"].Handle(Msg{Kind: kind, Key: zz, Order: &Order{On: true}}).Code, codes.Moved)
	}
	is.Equal(c.zoneIs("b"), "off")
}

// After a pause nothing that is read first is vouched for.
func TestPauses(t *testing.T) {
	is := is.New(t)
	s := &clock.Sim{}
	defer s.Use()()
	p := &Pauses{}
	old := clock.Now()
	for range 20 {
		p.Beat()
		s.Move(PauseBeat)
	}
	is.True(p.Vouched(old)) // it ran all the time
	s.Move(paused + 1)
	is.True(!p.Vouched(clock.Now())) // the first thing that runs knows
	s.Move(backlog)
	is.True(!p.Vouched(clock.Now()))
	s.Move(1)
	is.True(p.Vouched(clock.Now()))
	is.True(!p.Vouched(old))
	is.True((*Pauses)(nil).Vouched(old))
}

// An order that a thawed keeper reads first is left to others.
func TestOrderAfterPause(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	p := &Pauses{beat: clock.Now() - clock.Tick(2*paused)}
	c.ks["a"].Pauses = p
	o := &Order{Base: 1, Body: []byte("22")}
	for _, kind := range []Kind{Change, Forward} {
		is.Equal(c.ks["a"].Handle(Msg{Kind: kind, Key: kk, Order: o, Left: clock.Second}).Code, codes.Unvouched)
	}
	is.True(c.put("b", 1, "22").OK) // by a ballot of its own
	p.ended -= clock.Tick(backlog)
	is.True(c.ks["a"].Handle(Msg{Kind: Change, Key: kk, Order: o, Left: clock.Second}).OK)
}
