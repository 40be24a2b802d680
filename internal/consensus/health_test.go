package consensus

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// An owner that is heard, but hears nobody, holds up one order and no more.
func TestOneWayCut(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	order := func(n ids.Node, key ids.Key, base int, v string) Msg {
		return c.ks[n].Change(key, &Order{Base: ids.Version(base), Body: []byte(v)}, clock.Now().Add(900*clock.Millisecond))
	}
	is.True(order("a", kk, 0, "1").OK)
	is.True(order("a", "k2", 0, "1").OK)
	for _, n := range three.Seat {
		c.ks[n].Round()
	}
	c.n.lose("b", "a")
	c.n.lose("c", "a")
	is.True(order("b", kk, 1, "22").OK)
	c.ks["a"].Round() // b and c hear of it all the while
	is.True(!c.ks["a"].Sure(clock.Millisecond))
	is.True(c.ks["b"].recent("a", clock.Second))
	begun := clock.Now()
	is.True(order("b", "k2", 1, "22").OK) // another key that it owned
	is.True(clock.Since(begun) < 250*clock.Millisecond)
	c.ks["c"].Round()
	is.True(!c.ks["c"].reachable("a"))
	c.n.lose("c", "b")
	c.ks["c"].misses("b")
	begun = clock.Now()
	is.True(!c.put("c", 2, "333").OK) // it has no majority
	is.True(clock.Since(begun) < 1200*clock.Millisecond)
	c.n.join()
	is.True(c.put("c", 2, "333").OK)
}

// A keeper without a seat leaves a seat that does not answer, and asks it last
// from then on.
func TestSilentSeat(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	d := c.diskless("d", three.Seat...)
	is.True(c.put("d", 0, "1").OK)
	first := d.seatsNear()[0]
	c.n.lose("d", first)
	is.True(c.put("d", 1, "22").OK)
	is.Equal(d.seatsNear()[2], first)
	begun := clock.Now()
	is.True(c.put("d", 2, "333").OK)
	is.True(clock.Since(begun) < 300*clock.Millisecond)
	is.True(!d.Cut())
	c.n.lose("d", three.Seat...)
	is.True(!c.put("d", 3, "4444").OK)
	is.True(!c.put("d", 3, "4444").OK)
	is.True(d.Cut()) // no seat answers it
	c.n.join()
	is.True(c.put("d", 3, "4444").OK)
	is.True(!d.Cut())
}
