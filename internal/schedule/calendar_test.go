package schedule

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
)

func TestDue(t *testing.T) {
	is := is.New(t)
	sim := &clock.Sim{}
	t.Cleanup(sim.Use())
	c, err := Parse("0 3 * * *")
	is.NoErr(err)
	day := clock.On(2026, 12, 2, 1, 0)
	run := func(hours int) (n int) {
		for range hours * 60 {
			if c.Due(day) {
				n++
			}
			sim.Move(clock.Minute)
			day = day.Add(clock.Minute)
		}
		return n
	}
	is.Equal(run(72), 3)
	day = day.Add(-5 * 60 * clock.Minute) // a step back: once more at the most
	n := run(48)
	is.True(n == 2 || n == 3)
	day = day.Add(26 * 60 * clock.Minute) // and one ahead
	n = run(48)
	is.True(n == 2 || n == 1)
	is.Equal(run(48), 2) // then as ever
}

func TestUnreadable(t *testing.T) {
	is := is.New(t)
	for _, s := range []string{"", "often", "61 * * * *", "* * * *"} {
		_, err := Parse(s)
		is.True(err != nil)
	}
}
