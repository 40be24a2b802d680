package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// ill is how replicas fare: the part of its requests that each fails, and how
// many times as long each takes.
type ill struct {
	bad  map[ids.Replica]float64
	slow map[ids.Replica]float64
}

// serve sends n requests a while apart and tells where they went and how many
// failed.
func (i ill) serve(t *testing.T, f *Fleet, sim *clock.Sim, n int, rnd *rand.Rand) (at map[ids.Replica]int, failed int) {
	t.Helper()
	at = map[ids.Replica]int{}
	for range n {
		sim.Move(20 * clock.Millisecond)
		a := &Ask{Service: "s", Tokens: int64(1000 + rnd.IntN(4000)), Draw: rnd.Uint64()}
		r, err := f.Choose(a)
		if err != nil {
			t.Fatal(err)
		}
		at[r.ID]++
		f.Sent(r, a)
		if rnd.Float64() < i.bad[r.ID] {
			failed++
			f.Done(r, Failed)
			continue
		}
		ms := 20 + float64(a.Promise.Unread)/100
		if x := i.slow[r.ID]; x > 0 {
			ms *= x
		}
		f.Begun(r, a.Tokens)
		f.Read(r, a, clock.Ms(ms))
		f.Done(r, Fine)
	}
	return
}

func TestOutliers(t *testing.T) {
	for name, c := range map[string]struct {
		ill     ill
		ejected bool
	}{
		"partly failing": {ill{bad: map[ids.Replica]float64{"i-3": 0.5}}, true},
		"slow":           {ill{slow: map[ids.Replica]float64{"i-3": 8}}, true},
		"all alike":      {ill{bad: map[ids.Replica]float64{"i-0": 0.4, "i-1": 0.4, "i-2": 0.4, "i-3": 0.4, "i-4": 0.4, "i-5": 0.4, "i-6": 0.4, "i-7": 0.4}}, false},
		"now and then":   {ill{bad: map[ids.Replica]float64{"i-0": 0.02, "i-1": 0.02, "i-3": 0.02, "i-5": 0.02}}, false},
		"well":           {ill{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, sim := fleet(t, 8)
			rnd := rand.New(rand.NewPCG(3, 4))
			ill{}.serve(t, f, sim, 200, rnd)
			at, _ := c.ill.serve(t, f, sim, 1000, rnd)
			is.Equal(at["i-3"] < 50, c.ejected) // of 125
			at, failed := ill{}.serve(t, f, sim, 2500, rnd)
			is.Equal(failed, 0)
			is.True(at["i-3"] > 100) // well again, it is taken back
		})
	}
}

// However many stand out, no more than a quarter are ejected.
func TestEjectedShare(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 8)
	rnd := rand.New(rand.NewPCG(3, 4))
	i := ill{bad: map[ids.Replica]float64{"i-0": 1, "i-1": 1, "i-2": 1, "i-3": 1}}
	for range 40 {
		i.serve(t, f, sim, 25, rnd)
		out := 0
		for _, r := range f.reps {
			if clock.Now() < r.outlier.until {
				out++
			}
		}
		is.True(out <= 2)
	}
	for _, r := range f.reps { // all ejected, as the list may have it after others went
		r.outlier.until = clock.Now().Add(clock.Minute)
	}
	_, err := f.Choose(&Ask{Service: "s"})
	is.NoErr(err)
}

// One that fails again each time that it is taken back is left longer each time.
func TestEjectedLonger(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 8)
	rnd := rand.New(rand.NewPCG(3, 4))
	ill{}.serve(t, f, sim, 200, rnd)
	i := ill{bad: map[ids.Replica]float64{"i-3": 1}}
	first, _ := i.serve(t, f, sim, 500, rnd)
	second, _ := i.serve(t, f, sim, 1500, rnd)
	is.True(second["i-3"] < first["i-3"]+4)
	is.True(f.reps["i-3"].outlier.times >= 3)
}

// A request that brings nothing for long counts as slow, however good the
// replica says that it is.
func TestHung(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 8)
	rnd := rand.New(rand.NewPCG(3, 4))
	ill{}.serve(t, f, sim, 200, rnd)
	r := f.reps["i-3"]
	for range 4 {
		sim.Move(2 * clock.Second)
		f.Hung(r, &Ask{}, 10*clock.Millisecond) // a client that left at once says nothing
	}
	is.True(clock.Now() >= r.outlier.until)
	for range 12 {
		f.Hung(r, &Ask{}, 3*clock.Second)
	}
	is.True(clock.Now() < r.outlier.until)
}
