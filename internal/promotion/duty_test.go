package promotion

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
)

// world is that of a single keeper: its disk, its feed, and the messages that it sent.
type world struct {
	items map[ids.Key]consensus.Item
	asked []consensus.Msg
}

func (w *world) Ask(_ ids.Node, m consensus.Msg, _ clock.Span) (consensus.Msg, bool) {
	w.asked = append(w.asked, m)
	return consensus.Msg{}, false
}
func (w *world) Publish(it consensus.Item) bool      { w.items[it.Key] = it; return true }
func (w *world) Known() map[ids.Key]ids.Place        { return nil }
func (w *world) Followers() []ids.Node               { return []ids.Node{"r1", "r2"} }
func (w *world) Value(k ids.Key) ([]byte, ids.Place) { return w.items[k].Val, w.items[k].At }
func (w *world) Append([]byte) error                 { return nil }
func (w *world) Long(int64) bool                     { return false }
func (w *world) Rewrite([][]byte) error              { return nil }

// bench is a duty over a register that is kept here.
type bench struct {
	t        *testing.T
	duty     *Duty
	world    *world
	sim      *clock.Sim
	state    *rollout.State
	since    clock.Tick
	listed   float64
	commands bool
	unproven bool
	num      uint64
	counts   rollout.Counts
}

const within = 10 * clock.Second

func newBench(t *testing.T) *bench {
	b := &bench{t: t, sim: &clock.Sim{}, world: &world{items: map[ids.Key]consensus.Item{}}, state: &rollout.State{}, listed: 1, commands: true}
	t.Cleanup(b.sim.Use())
	acceptor := consensus.NewAcceptor()
	acceptor.Use(b.world)
	if err := acceptor.Found(consensus.Founding([]ids.Node{"a"}), nil); err != nil {
		t.Fatal(err)
	}
	b.duty = b.holder(consensus.New("a", acceptor, b.world, b.world))
	b.command(&rollout.Command{Start: &rollout.Start{Target: "v2", Within: within, Steps: rollout.DefaultSteps()}})
	return b
}

// restarted is the keeper after its process was killed: it has its disk and the feed, and another life.
func (b *bench) restarted() *consensus.Keeper {
	return consensus.New("a", b.duty.Keeper.Acceptor(), b.world, b.world)
}

// holder is a duty that works on the bench's register.
func (b *bench) holder(k *consensus.Keeper) *Duty {
	return &Duty{Duty: consensus.Duty{Keeper: k, Key: ids.RolloutDuty, Value: b.world.Value},
		Standing: func() map[ids.Service]Standing {
			return map[ids.Service]Standing{"s": {State: b.state, Age: clock.Since(b.since)}}
		},
		Listed:  func(ids.Service, ids.Software) float64 { return b.listed },
		Command: func(_ ids.Service, c *rollout.Command, _ clock.Span) bool { return b.commands && b.command(c) }}
}

func (b *bench) command(c *rollout.Command) bool {
	next, err := b.state.Apply(c, rollout.Age{Standing: clock.Minute})
	if err != nil {
		b.t.Fatal(err)
	}
	if next != nil {
		b.state, b.since = next, clock.Now()
	}
	return true
}

// pass lets time pass, in which routers see answers of both versions, a part of the
// candidate's failing, and report them.
func (b *bench) pass(d clock.Span, failing float64) {
	for end := clock.Now().Add(d); clock.Now() < end && b.state.Active(); {
		b.sim.Move(StepPause)
		b.duty.Keeper.Round()
		for i := range 40 {
			b.counts.See("r", false, ids.Replica(fmt.Sprint("s", i)), rollout.Outcome{})
			if i < max(3, 40*b.state.Weight()/100) {
				b.counts.See("r", true, ids.Replica(fmt.Sprint("c", i)), rollout.Outcome{Failed: float64(b.num%10) < 10*failing})
			}
		}
		if !b.unproven {
			b.counts.Loaded += 5
		}
		b.report("r1", &b.counts)
		b.counts = rollout.Counts{Number: b.state.Number}
		b.duty.Step()
	}
}

// era is the ballot by which the duty was won last.
func (b *bench) era() ids.Epoch { return b.world.items[ids.RolloutDuty].At.Epoch }

func (b *bench) report(router ids.Node, c *rollout.Counts) consensus.Msg {
	b.num++
	c.Number = b.state.Number
	m := consensus.Msg{Kind: consensus.RolloutCounts, From: router, Life: 1, Num: b.num, Count: 1, Epoch: b.era(),
		Val: (&rollout.Report{Services: map[ids.Service]*rollout.Counts{"s": c}}).Encode()}
	b.duty.Counted(m)
	return m
}

// A good version goes through all steps and is completed before its term; the sample stays small
// until the pause is over.
func TestGoodIsCompleted(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pass(within*4/10, 0)
	is.Equal(b.state.Weight(), 3)
	b.pass(within*5/10, 0)
	is.Equal(b.state.Status, rollout.Completed)
	is.True(b.state.Elapsed < within*9/10)
	is.True(len(b.duty.Moves()) >= len(b.state.Steps))
}

// A bad one is reverted, with the reason, at whatever step it turns bad.
func TestBadIsReverted(t *testing.T) {
	for _, from := range []clock.Span{clock.Second, within * 4 / 10, within * 6 / 10} {
		is := is.New(t)
		b := newBench(t)
		b.pass(from, 0)
		is.True(b.state.Active())
		b.pass(3*clock.Second, 0.5)
		is.Equal(b.state.Status, rollout.Reverted)
		is.True(strings.Contains(b.state.Reason, "failed"))
	}
}

// What cannot be measured is an error and no failure: the order waits, and is reverted when its
// time is over.
func TestUnmeasured(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for b.state.Active() {
		b.sim.Move(StepPause)
		b.duty.Keeper.Round()
		b.duty.Step()
		is.True(!b.state.Active() || b.state.Weight() == 3)
	}
	is.Equal(b.state.Status, rollout.Reverted)
	is.True(b.state.Elapsed >= within)
	is.True(strings.Contains(b.state.Reason, "not done within"))
}

// An order whose candidate was never seen under load keeps a small part of the requests, and is
// completed just before its term.
func TestUnprovenUntilTheEnd(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.unproven = true
	b.pass(within*9/10, 0)
	is.True(b.state.Unproven)
	is.Equal(b.state.Weight(), 1)
	is.True(b.state.Active())
	b.pass(within*9/100, 0)
	is.Equal(b.state.Status, rollout.Completed)
	is.True(b.state.Elapsed >= b.state.CompleteAt() && b.state.Elapsed < within)
	bad := newBench(t)
	bad.unproven = true
	bad.pass(within*8/10, 0)
	bad.pass(within, 0.5)
	is.Equal(bad.state.Status, rollout.Reverted)
}

// Keepers that were all down do not know for how long: routers tell.
func TestTimeIsToldByRouters(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pass(within/10, 0)
	b.sim.Move(within * 5 / 10)
	b.since = clock.Now() // started anew, the register says what it said
	b.duty = b.holder(b.duty.Keeper)
	b.pass(within/10, 0)
	is.Equal(b.state.Step, 1) // nobody knows that it is time
	b.counts.Elapsed = within * 7 / 10
	b.pass(within/10, 0)
	is.True(b.state.Step > 1)
}

// The weight rises only as far as the listed replicas of the candidate can bear it.
func TestNoRoomForTheCandidate(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.listed = 0.5
	b.pass(2*within, 0)
	is.Equal(b.state.Status, rollout.Reverted)
	is.True(b.state.Step > 2)
	is.Equal(b.state.Weight(), 0)
}

// Another keeper that takes the duty over goes on from the standing step.
func TestDutyTakenOver(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.pass(within*6/10, 0)
	step := b.state.Step
	is.True(step > 3)
	b.duty = b.holder(b.duty.Keeper)
	b.pass(within*35/100, 0)
	is.Equal(b.state.Status, rollout.Completed)
	is.True(b.state.Step >= step)
	is.Equal(b.state.Number, uint64(1))
}

// A step that did not reach a majority is tried again; reports that come twice count once.
func TestStepsAreTriedAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.commands = false
	b.pass(clock.Second, 0)
	is.Equal(b.state.Step, 0)
	b.commands = true
	b.pass(clock.Second, 0)
	is.Equal(b.state.Step, 1)
	counts := &rollout.Counts{}
	counts.See("r", false, "s1", rollout.Outcome{})
	total, _ := b.duty.sum()
	before := total["s"].Routes["r"].Stable.Requests
	m := b.report("r2", counts)
	b.duty.Counted(m)
	total, _ = b.duty.sum()
	is.Equal(total["s"].Routes["r"].Stable.Requests, before+1)
	is.Equal(b.duty.Counted(consensus.Msg{Val: []byte("x")}).Code, codes.BadCounts)
}

// Folds of other keepers add up with what routers reported here; a newer fold takes the place of
// an older one of the same life, whose counts stay when a new life begins.
func TestFolds(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	fold := func(life, num uint64, n int) {
		counts := &rollout.Counts{Number: b.state.Number}
		for range n {
			counts.See("r", false, "s1", rollout.Outcome{})
		}
		b.duty.Counted(consensus.Msg{Kind: consensus.RolloutFold, From: "k2", Life: life, Num: num, Count: 3, Epoch: b.era(),
			Val: (&rollout.Report{Services: map[ids.Service]*rollout.Counts{"s": counts}}).Encode()})
	}
	sum := func() int64 {
		total, _ := b.duty.sum()
		return total["s"].Routes["r"].Stable.Requests
	}
	fold(1, 1, 5)
	fold(1, 2, 8)
	fold(1, 1, 5) // late
	is.Equal(sum(), int64(8))
	fold(2, 1, 4) // killed and started again
	is.Equal(sum(), int64(12))
	_, routers := b.duty.sum()
	is.Equal(routers, 6)
	b.sim.Move(reportFresh + clock.Millisecond)
	_, routers = b.duty.sum()
	is.Equal(routers, 0) // unknown, and what they had counted stays
	is.Equal(sum(), int64(12))
}
