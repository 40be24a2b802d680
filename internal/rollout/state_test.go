package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

const within = 10 * clock.Second

func start(target ids.Software) *Command {
	return &Command{Start: &Start{Target: target, Within: within, Steps: DefaultSteps()}}
}

func advance(number uint64, from int) *Command {
	return &Command{Advance: &Advance{Number: number, From: from}}
}

func finish(number uint64, status Status) *Command {
	return &Command{Finish: &Finish{Number: number, Status: status}}
}

// apply applies a command that must not be refused, as it comes over the wire, and returns
// the state that stands then, as it is read from a disk.
func apply(t *testing.T, s *State, c *Command) *State {
	t.Helper()
	is := is.New(t)
	sent, err := DecodeCommand(c.Encode())
	is.NoErr(err)
	next, err := s.Apply(sent, Age{Exact: true, Repeats: clock.Second})
	is.NoErr(err)
	if next == nil {
		return s
	}
	stored, err := Decode(next.Encode())
	is.NoErr(err)
	return stored
}

// An order goes through its steps in order and ends with one verdict; whatever comes twice, late
// or out of order changes nothing.
func TestOrderOfSteps(t *testing.T) {
	is := is.New(t)
	s := apply(t, &State{}, start("v2"))
	is.Equal(s.Number, uint64(1))
	is.Equal(s.Weight(), 3)
	same := func(c *Command) { t.Helper(); is.Equal(apply(t, s, c), s) }
	same(start("v2")) // the same order again
	same(advance(1, 1))
	same(advance(2, 0))
	for i := range len(s.Steps) - 1 {
		s = apply(t, s, advance(1, i))
		is.Equal(s.Step, i+1)
		same(advance(1, i))
	}
	is.Equal(s.Weight(), 100)
	same(advance(1, s.Step)) // there is no step after the last
	_, err := s.Apply(start("v3"), Age{})
	is.Equal(codes.Of(err), codes.RolloutUnderWay)
	same(finish(2, Completed))
	same(finish(1, InProgress))
	s = apply(t, s, finish(1, Completed))
	is.Equal(s.Status, Completed)
	is.Equal(s.Promoted, ids.Software("v2"))
	same(finish(1, Reverted))
	same(advance(1, 0))
	same(start("v2"))
}

// An order for a version that was reverted is the same order for a while, and a new one, which
// begins anew, after it.
func TestOrderedAgain(t *testing.T) {
	is := is.New(t)
	s := apply(t, apply(t, &State{}, start("v2")), finish(1, Reverted))
	is.Equal(s.Weight(), 0)
	is.True(s.IsRejected("v2"))
	is.Equal(apply(t, s, start("v2")), s)
	next, err := s.Apply(start("v2"), Age{Standing: 2 * clock.Second, Repeats: clock.Second})
	is.NoErr(err)
	is.Equal(next.Number, uint64(2))
	is.Equal(next.Step, 0)
	is.True(!next.IsRejected("v2"))
	later := apply(t, s, start("v3"))
	is.True(later.IsRejected("v2"))
	is.True(!later.IsRejected("v3"))
	is.True(!later.IsRejected("v1"))
	done := apply(t, later, finish(2, Completed))
	is.True(done.IsRejected("v2"))
	is.True(!done.IsRejected("v3"))
}

// Whatever commands come, in whatever order: numbers never fall, steps of an order never go
// back, and a verdict stands until the next order.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	dice := rand.New(rand.NewPCG(1, 2))
	targets := []ids.Software{"v1", "v2", "v3"}
	for range 300 {
		s := &State{}
		for range 80 {
			number := uint64(dice.IntN(6))
			c := []*Command{start(targets[dice.IntN(3)]), advance(number, dice.IntN(9)), advance(s.Number, s.Step),
				finish(number, Completed), finish(number, Reverted)}[dice.IntN(5)]
			next, err := s.Apply(c, Age{Standing: clock.Span(dice.IntN(2)) * clock.Minute, Repeats: clock.Second})
			if err != nil || next == nil {
				continue
			}
			is.True(next.Number == s.Number || next.Number == s.Number+1 && c.Start != nil && !s.Active())
			if next.Number == s.Number {
				is.True(s.Active())
				is.True(next.Step >= s.Step && next.Step <= s.Step+1)
				is.Equal(next.Target, s.Target)
			}
			s = next
		}
	}
}

func TestBadOrders(t *testing.T) {
	is := is.New(t)
	bad := func(change func(*Start)) {
		t.Helper()
		c := start("v2")
		change(c.Start)
		_, err := (&State{}).Apply(c, Age{})
		is.Equal(codes.Of(err), codes.BadRollout)
	}
	bad(func(s *Start) { s.Target = "" })
	bad(func(s *Start) { s.Target = ids.Software(make([]byte, targetMost+1)) })
	bad(func(s *Start) { s.Within = 0 })
	bad(func(s *Start) { s.Within = withinMost + 1 })
	bad(func(s *Start) { s.Steps = nil })
	bad(func(s *Start) { s.Steps = s.Steps[:8] }) // ends below 100
	bad(func(s *Start) { s.Steps[5].Weight = 2 }) // falls
	bad(func(s *Start) { s.Steps[0].Weight = 101 })
	bad(func(s *Start) { s.Steps[0].Action = "jump" })
	bad(func(s *Start) { s.Steps[1].Until = 1.5 })
	bad(func(s *Start) { s.Steps[4].Count = 0 })
	bad(func(s *Start) { s.Steps[4].FailureLimit = -1 })
	bad(func(s *Start) { s.Steps[4].Loaded = -1 })
	_, err := (&State{}).Apply(&Command{}, Age{})
	is.Equal(codes.Of(err), codes.BadRollout)
	_, err = DecodeCommand([]byte("x"))
	is.Equal(codes.Of(err), codes.BadRollout)
	_, err = Decode([]byte("x"))
	is.Equal(codes.Of(err), codes.DiskCorrupt)
	is.NoErr(CheckSteps(DefaultSteps()))
	// other patterns are other lists of the same steps
	is.NoErr(CheckSteps([]Step{{Action: SetWeight}, {Action: Analyze, Count: 1}, {Action: SetWeight, Weight: 100}}))
	is.NoErr(CheckSteps([]Step{{Action: SetWeight, Weight: 10}, {Action: Pause, For: 0.3}, {Action: SetWeight, Weight: 100}}))
}
