package sim

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/guards"
)

const seedsEach = 3

// The days of some seeds are whole, and the same seed gives the same history.
func TestDays(t *testing.T) {
	is := is.New(t)
	for point := range Points {
		for seed := range uint64(seedsEach) {
			r := Play(Make(seed+1, point), nil)
			for _, b := range r.Broken {
				t.Errorf("point %d seed %d: %v %s: %s", point, seed+1, b.At, b.Judge, b.Text)
			}
			is.True(r.Acked >= 5)
			is.True(r.Struck > 0)
			is.Equal(r.Digest, Play(Make(seed+1, point), nil).Digest)
		}
	}
}

// A day breaks without a guard that it needs.
func TestGuardsAreMissed(t *testing.T) {
	for _, g := range []guards.Guard{guards.Majority, guards.Confirm, guards.Fresh} {
		found := false
		for seed := uint64(1); seed <= 20 && !found; seed++ {
			_, found = Alone(seed, Missed{Guard: g, Point: 1})
		}
		if !found {
			t.Errorf("nothing misses %s", g)
		}
	}
}

// A plan made smaller is still found broken by the same judge.
func TestShrink(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 20; seed++ {
		p := Make(seed, 1)
		p.Without = guards.Confirm
		r := Play(p, nil)
		if len(r.Broken) == 0 {
			continue
		}
		q, s, played := Shrink(p, 25)
		is.True(played <= 25)
		is.True(len(q.Faults)+len(q.Orders) < len(p.Faults)+len(p.Orders))
		is.Equal(s.Broken[0].Judge, r.Broken[0].Judge)
		return
	}
	t.Fatal("no day broke")
}

func TestUnreadablePlan(t *testing.T) {
	is := is.New(t)
	for _, b := range []string{"", "{}", `{"Core":3,"Relays":1,"Seeds":[9]}`, `{"Core":3,"Relays":1,"Seeds":[0],"Faults":[{"Kind":"odd"}]}`, `{"Core":3,"Relays":1,"Seeds":[0],"Faults":[{"Kind":"kill","Nodes":[7]}]}`} {
		_, err := ReadPlan([]byte(b))
		is.True(err != nil)
	}
	p, err := ReadPlan([]byte(`{"Core":3,"Relays":1,"Seeds":[0]}`))
	is.NoErr(err)
	is.Equal(p.Core, 3)
}
