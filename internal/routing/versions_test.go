package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/rollout"
)

// versioned are replicas of versions, n of each.
func versioned(n int, versions ...string) (out []discovery.Replica) {
	for _, version := range versions {
		for i, r := range replicas(n, "z") {
			r.ID, r.Version = ids.Replica(fmt.Sprintf("%s-%d", version, i)), version
			r.Addr = ids.Addr(fmt.Sprintf("127.0.%s.1:%d", version[1:], i+1))
			out = append(out, r)
		}
	}
	return out
}

// underWay is an order to v2 that stands at a weight.
func underWay(weight int) *rollout.State {
	return &rollout.State{Number: 1, Target: "v2", Status: rollout.InProgress, Steps: []rollout.Step{{Action: rollout.SetWeight, Weight: weight}}}
}

func ended(status rollout.Status) *rollout.State {
	s := underWay(100)
	s.Status = status
	if status == rollout.Completed {
		s.Promoted = s.Target
	} else {
		s.Rejected = []ids.Software{s.Target}
	}
	return s
}

// routerOf is a fleet of a router with replicas of v1 and v2 of which it knows an order.
func routerOf(t *testing.T, n, weight int) *Fleet {
	t.Helper()
	f, _ := fleet(t, 0)
	f.ExposureShare = 0.1
	f.Listed(versioned(n, "v1"), 0)
	f.RolledOut("s", underWay(weight), 0)
	f.Listed(versioned(n, "v1", "v2"), 0)
	return f
}

// ask sends a request and tells the version that got it.
func ask(t *testing.T, f *Fleet, a *Ask) string {
	t.Helper()
	a.Service, a.Route = "s", "r"
	r, err := f.Choose(a)
	if err != nil {
		t.Fatal(err)
	}
	f.Done(r, Fine)
	return r.Version
}

// EXPOSURE: whatever each of many routers takes, and whatever its weight, all of them together send
// the candidate no more than the bound; and close to the weight where that is below it.
func TestExposureOfMany(t *testing.T) {
	is := is.New(t)
	for _, weight := range []int{0, 4, 7, 10} {
		total, exposed := 0, 0
		for router := range 88 {
			f := routerOf(t, 20, weight)
			f.Self = ids.Node(fmt.Sprint("router-", router))
			for i := range 5 + router {
				if total++; ask(t, f, &Ask{Draw: uint64(i)}) == "v2" {
					exposed++
				}
				is.True(float64(exposed) <= 0.1*float64(total)+50)
			}
		}
		is.True(float64(exposed) <= min(float64(weight)/100, 0.09)*float64(total)+25) // rounding by lot
		is.True(float64(exposed) >= min(float64(weight)/100, 0.09)*float64(total)-25)
	}
}

// The sessions that a hash chooses go to the candidate, the same at every router and every
// turn; the others stay, and no session's binding is touched.
func TestSessionsOfTheSample(t *testing.T) {
	is := is.New(t)
	moved := map[int]bool{}
	for router := range 3 {
		f := routerOf(t, 20, 10)
		f.Self = ids.Node(fmt.Sprint("router-", router))
		f.ExposureShare = 1 // the bound is not what is asked for here
		for pass := range 4 {
			for session := range 200 {
				a := &Ask{Draw: 1, Sticky: true, Tokens: 50, Chain: chain(t, fmt.Sprintf("a:100,%x:200,%x:50", 0x1000+session, 0x100000+pass*1000+session))}
				got := ask(t, f, a)
				chosen := kvindex.Mix(chain(t, fmt.Sprintf("a:100,%x:200", 0x1000+session)).Last()^1)%100 < 10
				if chosen {
					is.Equal(got, "v2")
					moved[session] = true
				}
			}
		}
		is.Equal(len(f.versions["s"].state.Rejected), 0)
	}
	is.True(len(moved) > 8 && len(moved) < 40)
}

// The sample falls to as many replicas of the candidate as would bear it among the stable ones,
// the same at every router.
func TestSampledReplicas(t *testing.T) {
	is := is.New(t)
	got := map[ids.Replica]bool{}
	for router := range 10 {
		f := routerOf(t, 50, 10)
		f.Self = ids.Node(fmt.Sprint("router-", router))
		for i := range 300 {
			a := &Ask{Service: "s", Route: "r", Draw: kvindex.Mix(uint64(i))}
			r, err := f.Choose(a)
			is.NoErr(err)
			f.Done(r, Fine)
			if r.Version == "v2" {
				got[r.ID] = true
			}
		}
	}
	is.Equal(len(got), 5)
}

// Which version gets a request, by how an order stands.
func TestTracks(t *testing.T) {
	is := is.New(t)
	only := func(f *Fleet, want string) {
		t.Helper()
		for i := range 100 {
			is.Equal(ask(t, f, &Ask{Draw: uint64(i)}), want)
		}
	}
	only(routerOf(t, 4, 0), "v1")
	only(routerOf(t, 4, 100), "v2")
	f := routerOf(t, 4, 10)
	for range 40 {
		is.Equal(ask(t, f, &Ask{Repeated: true}), "v1")
	}
	f.RolledOut("s", ended(rollout.Reverted), 0)
	only(f, "v1")
	f = routerOf(t, 4, 100)
	f.RolledOut("s", ended(rollout.Completed), 0)
	only(f, "v2")
	// a version that comes later, as with a release, is served as well; the old one is not
	f.Listed(versioned(4, "v1", "v3"), 0)
	only(f, "v3")
	f.Listed(versioned(4, "v1"), 0)
	_, err := f.Choose(&Ask{Service: "s"})
	is.Equal(codes.Of(err), codes.NoReplica)
	f.Listed(versioned(4, "v3"), 0)
	f.Listed(versioned(4, "v1"), 0) // it was gone and comes back
	only(f, "v1")
	// without any stable replica the candidate is all there is
	f = routerOf(t, 4, 10)
	f.Listed(versioned(4, "v2"), 0)
	only(f, "v2")
	// where no replica of the candidate can take it, the stable ones do
	f = routerOf(t, 4, 100)
	for _, r := range f.services["s"] {
		if r.track == candidate {
			r.down, r.downAt = clock.Now().Add(clock.Minute), clock.Now()
		}
	}
	only(f, "v1")
}

// A version that is new in the list gets nothing until what the router knows was confirmed later,
// so that an order that was acknowledged before is known; one that is alone at the start does.
func TestNewVersionIsHeldBack(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 0)
	confirmed := clock.Tick(0)
	f.Confirmation(func() clock.Tick { return confirmed })
	sim.Move(clock.Second)
	f.Listed(versioned(2, "v1"), 0)
	is.Equal(ask(t, f, &Ask{}), "v1")
	sim.Move(clock.Second)
	confirmed = clock.Now()
	sim.Move(clock.Millisecond)
	f.Listed(versioned(2, "v1", "v2"), 0)
	for i := range 50 {
		is.Equal(ask(t, f, &Ask{Draw: uint64(i)}), "v1")
	}
	f.Listed(versioned(2, "v2"), 0)
	_, err := f.Choose(&Ask{Service: "s"})
	is.Equal(codes.Of(err), codes.QueueFull) // it will be known soon
	sim.Move(clock.Second)
	confirmed = clock.Now()
	is.Equal(ask(t, f, &Ask{}), "v2")
	g, _ := fleet(t, 0)
	g.Confirmation(func() clock.Tick { return 0 })
	sim.Move(clock.Second)
	g.Listed(versioned(2, "v1", "v2"), 0) // at the start of a router, in the midst of an order
	_, err = g.Choose(&Ask{Service: "s"})
	is.Equal(codes.Of(err), codes.QueueFull)
	g.RolledOut("s", underWay(0), 0)
	g.Confirmation(func() clock.Tick { return clock.Now() })
	is.Equal(ask(t, g, &Ask{}), "v1")
}

// A router out of contact sends nothing to a candidate that is on trial, nor does one whose own
// evidence speaks against it.
func TestRouterStopsByItself(t *testing.T) {
	is := is.New(t)
	f := routerOf(t, 4, 30)
	confirmed := clock.Now()
	f.Confirmation(func() clock.Tick { return confirmed })
	sent := func() (n int) {
		for i := range 60 {
			if ask(t, f, &Ask{Draw: uint64(i)}) == "v2" {
				n++
			}
		}
		return n
	}
	is.True(sent() > 10)
	confirmed = clock.Now().Add(-contactFresh)
	is.Equal(sent(), 0)
	confirmed = clock.Now()
	is.True(sent() > 10)
	for _, r := range f.services["s"] {
		for range exposedFailed {
			f.Answered(r, &Ask{Service: "s", Route: "r"}, rollout.Outcome{Failed: r.track == candidate}, Timing{})
		}
	}
	is.Equal(sent(), 0)
	is.True(f.RolloutReport().Services["s"].Routes["r"].Total().Failed >= exposedFailed)
	f.RolledOut("s", ended(rollout.Reverted), 0)
	is.Equal(f.RolloutReport(), nil)
}

// BenchmarkChoose measures the choice of a replica of 200 for a request without a session.
func BenchmarkChoose(b *testing.B) {
	for name, state := range map[string]*rollout.State{"no order": nil, "sample": underWay(7), "all": underWay(100)} {
		b.Run(name, func(b *testing.B) {
			f := NewFleet("z", 300*clock.Second)
			f.ExposureShare = 0.1
			f.Listed(versioned(200, "v1"), 0)
			if state != nil {
				f.RolledOut("s", state, 0)
				f.Listed(versioned(200, "v1", "v2"), 0)
			}
			b.ReportAllocs()
			for i := range b.N {
				r, err := f.Choose(&Ask{Service: "s", Route: "r", Draw: uint64(i)})
				if err != nil {
					b.Fatal(err)
				}
				f.Done(r, Fine)
			}
		})
	}
}
