package consensus

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
)

// A confirmation counts only if its round began after it was asked for.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	a := c.ks["a"]
	a.Round()
	is.True(a.Sure(clock.Second))
	is.True(!a.Confirmed(30 * clock.Millisecond)) // that round was before
	answer := false
	done := concurrency.NewMark()
	concurrency.Go(func() {
		answer = a.Confirmed(10 * clock.Second)
		done.Set()
	})
	eventually(t, "the question", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.waiters) == 1
	})
	a.confirmed() // by a round that began before
	is.True(!done.Wait(30 * clock.Millisecond))
	c.n.part("a", "b", "c")
	a.Round() // and by none
	is.True(!done.Wait(30 * clock.Millisecond))
	c.n.join()
	a.Round()
	is.True(done.Wait(10 * clock.Second))
	is.True(answer)
	is.Equal(len(a.waiters), 0)
}
