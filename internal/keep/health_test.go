package keep

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/word"
)

// An owner that is heard, but hears nobody, holds up one order and no more.
func TestOneWayCut(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	order := func(n word.Node, key word.Key, base int, v string) Msg {
		return c.ks[n].Change(key, &Order{Base: word.Version(base), Body: []byte(v)}, clk.Now().Add(900*clk.Millisecond))
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
	is.True(!c.ks["a"].Sure(clk.Millisecond))
	is.True(c.ks["b"].recent("a", clk.Second))
	begun := clk.Now()
	is.True(order("b", "k2", 1, "22").OK) // another key that it owned
	is.True(clk.Since(begun) < 250*clk.Millisecond)
	c.ks["c"].Round()
	is.True(!c.ks["c"].reachable("a"))
	c.n.lose("c", "b")
	c.ks["c"].misses("b")
	begun = clk.Now()
	is.True(!c.put("c", 2, "333").OK) // it has no majority
	is.True(clk.Since(begun) < 1200*clk.Millisecond)
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
	begun := clk.Now()
	is.True(c.put("d", 2, "333").OK)
	is.True(clk.Since(begun) < 300*clk.Millisecond)
	is.True(!d.Cut())
	c.n.lose("d", three.Seat...)
	is.True(!c.put("d", 3, "4444").OK)
	is.True(!c.put("d", 3, "4444").OK)
	is.True(d.Cut()) // no seat answers it
	c.n.join()
	is.True(c.put("d", 3, "4444").OK)
	is.True(!d.Cut())
}
