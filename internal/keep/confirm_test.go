package keep

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/spawn"
)

// A confirmation counts only if its round began after it was asked for.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	a := c.ks["a"]
	a.Round()
	is.True(a.Sure(clk.Second))
	is.True(!a.Confirmed(30 * clk.Millisecond)) // that round was before
	answer := false
	done := spawn.NewMark()
	spawn.Go(func() {
		answer = a.Confirmed(10 * clk.Second)
		done.Set()
	})
	eventually(t, "the question", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.waiters) == 1
	})
	a.confirmed() // by a round that began before
	is.True(!done.Wait(30 * clk.Millisecond))
	c.n.part("a", "b", "c")
	a.Round() // and by none
	is.True(!done.Wait(30 * clk.Millisecond))
	c.n.join()
	a.Round()
	is.True(done.Wait(10 * clk.Second))
	is.True(answer)
	is.Equal(len(a.waiters), 0)
}
