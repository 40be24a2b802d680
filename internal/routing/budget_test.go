package routing

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
)

// The shares of all relays add up to no more than the bound, at any moment.
func TestBudgetShares(t *testing.T) {
	is := is.New(t)
	sim := &clock.Sim{}
	t.Cleanup(sim.Use())
	const relays = 11
	var bs []*Budget
	for range relays {
		bs = append(bs, &Budget{Ratio: 0.2, Slack: 62, Window: 10 * clock.Second, Shares: func() int { return relays }})
	}
	var asked, spent []clock.Tick
	for i := range 600 {
		for j, b := range bs {
			if (i+j)%3 == 0 {
				b.Note("s")
				asked = append(asked, clock.Now())
			}
			for b.Spend("s") {
				spent = append(spent, clock.Now())
			}
		}
		sim.Move(50 * clock.Millisecond)
	}
	is.True(len(spent) > 100)
	for _, end := range spent {
		in := func(ts []clock.Tick) (n float64) {
			for _, u := range ts {
				if u <= end && end.Sub(u) < 10*clock.Second {
					n++
				}
			}
			return n
		}
		is.True(in(spent) <= 0.2*in(asked)+62)
	}
}
