package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
)

func replicas(n int, z ids.Zone) []discovery.Replica {
	var rs []discovery.Replica
	for i := range n {
		rs = append(rs, discovery.Replica{ID: ids.Replica(fmt.Sprintf("i-%d", i)), Service: "s", Addr: ids.Addr(fmt.Sprintf("127.0.0.1:%d", i+1)), Zone: z, Slots: 100, State: "in_service"})
	}
	return rs
}

func fleet(t *testing.T, n int) (*Fleet, *clock.Sim) {
	t.Helper()
	sim := &clock.Sim{}
	t.Cleanup(sim.Use())
	f := NewFleet("z", 300*clock.Second)
	f.Overrun, f.Slack = 1.5, 5
	f.Relays(1)
	f.Configured(&configuration.Table{Services: map[ids.Service]*configuration.Service{"s": {Name: "s", ColdS: 3, ColdPerS: 20, Engine: &configuration.Engine{KVTokens: 10000}}}})
	f.Listed(replicas(n, "z"), 0)
	return f, sim
}

func chain(t *testing.T, s string) kvindex.Chain {
	t.Helper()
	c, err := kvindex.ReadChain("m", s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// turn sends one turn of a session whose own part is named own, and ends it.
func turn(t *testing.T, f *Fleet, prefix, own string) ids.Replica {
	t.Helper()
	a := &Ask{Service: "s", Sticky: true, Chain: chain(t, prefix+","+own+":50"), Tokens: 50}
	r, err := f.Choose(a)
	if err != nil {
		t.Fatal(err)
	}
	f.Sent(r, a)
	f.Read(r, a, -1)
	f.Done(r, Fine)
	return r.ID
}

func TestSessionStays(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 9)
	first := turn(t, f, "a:100,b:200", "1")
	for i := range 50 {
		sim.Move(10 * clock.Second) // each turn refreshes the timeout
		is.Equal(turn(t, f, "a:100,b:200", fmt.Sprintf("%x", i+2)), first)
	}
}

// Relays that share nothing place a session alike, and so does one that starts anew.
func TestRelaysAgree(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 9)
	var want []ids.Replica
	for i := range 40 {
		want = append(want, turn(t, f, fmt.Sprintf("a:100,%x:200", 1000+i), fmt.Sprintf("%x", i)))
	}
	g, _ := fleet(t, 9)
	for i := 39; i >= 0; i-- {
		is.Equal(turn(t, g, fmt.Sprintf("a:100,%x:200", 1000+i), fmt.Sprintf("%x", 77+i)), want[i])
	}
	used := map[ids.Replica]bool{}
	for _, w := range want {
		used[w] = true
	}
	is.True(len(used) >= 7) // a part that all share draws nobody to one replica
}

// A last part that comes again is the session's own: its turns go where it is kept.
func TestOwnPart(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 9)
	first := turn(t, f, "a:100,b:200", "c")
	is.Equal(turn(t, f, "a:100,b:200", "c"), first)
	is.Equal(turn(t, f, "a:100,b:200,c:60", "d"), first)
}

func TestIdleBindingIsReaped(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 3)
	turn(t, f, "a:100,b:200", "1")
	n, _ := f.Gauges()
	is.Equal(n, 1)
	sim.Move(299 * clock.Second)
	n, _ = f.Gauges()
	is.Equal(n, 1)
	sim.Move(clock.Second)
	n, _ = f.Gauges()
	is.Equal(n, 0)
}

// A bound replica that is gone, draining or evacuated loses its sessions; one
// that is full, hot, cold or down lends them to the next and gets them back.
func TestGivesWay(t *testing.T) {
	for name, c := range map[string]struct {
		out   func(f *Fleet, id ids.Replica)
		back  func(f *Fleet, sim *clock.Sim)
		stays bool
	}{
		"gone": {func(f *Fleet, id ids.Replica) {
			var rs []discovery.Replica
			for _, r := range replicas(5, "z") {
				if r.ID != id {
					rs = append(rs, r)
				}
			}
			f.Listed(rs, 0)
		}, func(f *Fleet, _ *clock.Sim) { f.Listed(replicas(5, "z"), 0) }, false},
		"draining": {func(f *Fleet, id ids.Replica) {
			rs := replicas(5, "z")
			for i := range rs {
				if rs[i].ID == id {
					rs[i].State = "draining"
				}
			}
			f.Listed(rs, 0)
		}, func(f *Fleet, _ *clock.Sim) { f.Listed(replicas(5, "z"), 0) }, false},
		"evacuated": {func(f *Fleet, id ids.Replica) {
			rs := replicas(5, "z")
			for i := range rs {
				if rs[i].ID == id {
					rs[i].Zone = "y"
				}
			}
			f.reps = map[ids.Replica]*Rep{}
			f.Listed(rs, 0)
			f.Evacuate("y", true)
		}, func(f *Fleet, sim *clock.Sim) { f.Evacuate("y", false); sim.Move(4 * clock.Second) }, false},
		"full": {func(f *Fleet, id ids.Replica) { f.Told(f.reps[id], "100,3,100") },
			func(f *Fleet, sim *clock.Sim) { sim.Move(2 * clock.Second) }, true},
		"hot": {func(f *Fleet, id ids.Replica) { f.Told(f.reps[id], "90,0,100") },
			func(f *Fleet, sim *clock.Sim) { sim.Move(2 * clock.Second) }, true},
		"down": {func(f *Fleet, id ids.Replica) {
			f.mu.Lock()
			f.hurt(f.reps[id], clock.Now())
			f.mu.Unlock()
		}, func(f *Fleet, sim *clock.Sim) { sim.Move(4 * clock.Second) }, true},
		"cold": {func(f *Fleet, id ids.Replica) {
			f.reps[id].cold = clock.Now().Add(clock.Second)
			for range 100 {
				f.reps[id].sent = append(f.reps[id].sent, clock.Now())
			}
		}, func(f *Fleet, sim *clock.Sim) { sim.Move(2 * clock.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, sim := fleet(t, 5)
			home := turn(t, f, "a:100,b:200", "1")
			c.out(f, home)
			next := turn(t, f, "a:100,b:200", "2")
			is.True(next != home)
			is.Equal(turn(t, f, "a:100,b:200", "3"), next) // in the same order
			c.back(f, sim)
			is.Equal(turn(t, f, "a:100,b:200", "4") == home, c.stays)
		})
	}
}

// FAILBACK: all relays together keep a cold replica within its bound.
func TestColdBound(t *testing.T) {
	is := is.New(t)
	_, sim := fleet(t, 1)
	const relays = 11
	var fs []*Fleet
	for range relays {
		f := NewFleet("z", clock.Second)
		f.Overrun, f.Slack = 1.5, 5
		f.Configured(&configuration.Table{Services: map[ids.Service]*configuration.Service{"s": {Name: "s", ColdPerS: 20}}})
		f.Relays(relays)
		rs := replicas(1, "z")
		rs[0].ColdMs = 5000
		f.Listed(rs, 0)
		fs = append(fs, f)
	}
	var at []clock.Tick
	for range 400 {
		for _, f := range fs {
			if r, err := f.Choose(&Ask{Service: "s"}); err == nil {
				at = append(at, clock.Now())
				f.Done(r, Fine)
			}
		}
		sim.Move(10 * clock.Millisecond)
	}
	is.True(len(at) > 60) // it is used all the same
	for i := range at {
		n := 0
		for _, u := range at[i:] {
			if u.Sub(at[i]) < clock.Second {
				n++
			}
		}
		is.True(n <= 35)
	}
}

// With more relays than a cold replica may get requests, some use it and the
// bound holds for each of many replicas.
func TestColdBoundOfMany(t *testing.T) {
	is := is.New(t)
	_, sim := fleet(t, 1)
	const relays, reps = 370, 60
	got := make([]int, reps)
	for i := range relays {
		f := NewFleet("z", clock.Second)
		f.Self = ids.Node(fmt.Sprintf("relay-%d", i))
		f.Overrun, f.Slack = 1.5, 5
		f.Configured(&configuration.Table{Services: map[ids.Service]*configuration.Service{"s": {Name: "s", ColdPerS: 20}}})
		f.Relays(relays)
		rs := replicas(reps, "z")
		for j := range rs {
			rs[j].ColdMs = 5000
		}
		f.Listed(rs, 0)
		for range 2 * reps {
			a := &Ask{Service: "s"}
			for {
				r, err := f.Choose(a)
				if err != nil {
					break
				}
				got[index(r.ID)]++
				f.Done(r, Fine)
			}
		}
	}
	used := 0
	for _, n := range got {
		is.True(n <= 35)
		if n > 0 {
			used++
		}
	}
	is.True(used > reps*9/10)
	sim.Move(clock.Second)
}

func index(id ids.Replica) (n int) {
	_, _ = fmt.Sscanf(string(id), "i-%d", &n)
	return
}

func TestNobodyLeft(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 1)
	_, err := f.Choose(&Ask{Service: "t"})
	is.Equal(codes.Of(err), codes.NoReplica)
	f.Told(f.reps["i-0"], "100,0,100")
	_, err = f.Choose(&Ask{Service: "s"})
	is.Equal(codes.Of(err), codes.QueueFull)
	_, err = f.Choose(&Ask{Service: "s", Not: []ids.Replica{"i-0"}})
	is.Equal(codes.Of(err), codes.NoReplica)
}

// Without a session the least loaded is taken, near ones first.
func TestLeastLoaded(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 3)
	rs := replicas(3, "far")
	rs[1].Zone = "z"
	f.reps = map[ids.Replica]*Rep{}
	f.Listed(rs, 0)
	r, err := f.Choose(&Ask{Service: "s"})
	is.NoErr(err)
	is.Equal(r.ID, ids.Replica("i-1"))
	f.Told(f.reps["i-1"], "80,0,100")
	f.Told(f.reps["i-0"], "5,0,100")
	r, err = f.Choose(&Ask{Service: "s"})
	is.NoErr(err)
	is.Equal(r.ID, ids.Replica("i-2"))
}

func TestKeptIsBounded(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 1)
	for i := range 500 {
		turn(t, f, "a:100,b:200", fmt.Sprintf("%x", i))
	}
	_, tokens := f.Gauges()
	is.True(tokens <= 10000)
	n, _ := f.reps["i-0"].overlap(chain(t, "a:100,b:200"), func(uint64) bool { return false })
	is.Equal(n, int64(300)) // used last, kept
}

// Until it is told how many relays there are, a relay takes them for many.
func TestManyUntilTold(t *testing.T) {
	is := is.New(t)
	f := NewFleet("z", clock.Second)
	is.True(f.Share() >= 30)
	f.Relays(0)
	is.True(f.Share() >= 30)
	f.Relays(11)
	is.Equal(f.Share(), 11)
}

// A replica that was down is tried by one request at a time until it answers.
func TestOneTrial(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 1)
	ask := func() (*Rep, error) { return f.Choose(&Ask{Service: "s"}) }
	r, err := ask()
	is.NoErr(err)
	f.Done(r, Silent)
	_, err = ask()
	is.True(err != nil) // down
	sim.Move(clock.Second)
	r, err = ask()
	is.NoErr(err)
	_, err = ask()
	is.True(err != nil) // one is on trial
	f.Done(r, Fine)
	for range 3 {
		_, err = ask()
		is.NoErr(err)
	}
}

// The connections that a replica bears are shared out as well.
func TestConnectionsAreShared(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 1)
	f.Configured(&configuration.Table{Services: map[ids.Service]*configuration.Service{"s": {Name: "s", MaxConns: 40}}})
	f.Relays(11)
	n := 0
	for range 50 {
		if _, err := f.Choose(&Ask{Service: "s"}); err == nil {
			n++
		}
	}
	is.Equal(n, 3)
	f.Relays(100)
	_, err := f.Choose(&Ask{Service: "s"})
	is.Equal(codes.Of(err), codes.QueueFull)
}

// A change of the list says no more of the others: one that was cold when it
// was first listed does not turn cold again.
func TestRelisted(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 0)
	rs := replicas(3, "z")
	rs[0].ColdMs = 2000
	f.Listed(rs, 0)
	was := f.reps["i-0"]
	is.True(was.isCold(clock.Now()))
	sim.Move(3 * clock.Second)
	fresh := replicas(5, "z")[4]
	fresh.ColdMs = 1000
	f.Relisted(discovery.Delta{Up: []discovery.Replica{fresh}, Gone: []ids.Replica{"i-1", "i-9"}}, 0)
	is.True(f.reps["i-0"] == was && !was.isCold(clock.Now()))
	is.True(f.reps["i-1"] == nil)
	is.True(f.reps["i-4"].isCold(clock.Now()))
	is.Equal(len(f.services["s"]), 3)
}

// What a replica told of its load orders it among others for a while, but that it
// is full refuses requests only as long as the word is fresh.
func TestFullIsSoonOld(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 2)
	for _, r := range f.services["s"] {
		f.Told(r, "100,4,100")
	}
	_, err := f.Choose(&Ask{Service: "s"})
	is.True(err != nil)
	sim.Move(300 * clock.Millisecond)
	var held []*Rep
	for range 8 {
		r, err := f.Choose(&Ask{Service: "s"})
		is.NoErr(err)
		held = append(held, r)
	}
	is.True(held[0].press(clock.Now()) >= 100+4) // the word still orders
	sim.Move(clock.Second)
	for { // what is held here is known at all times
		if _, err := f.Choose(&Ask{Service: "s"}); err != nil {
			break
		}
		is.True(len(held) <= 2*100)
		held = append(held, nil)
	}
	is.Equal(len(held), 2*100)
}
