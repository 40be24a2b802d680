package promotion

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
)

// router is one that reports to a keeper's duty what it counted.
type router struct {
	counted  rollout.Counts
	reporter Reporter
}

// newRouter is a router that follows the keeper that duty tells.
func newRouter(name ids.Node, number uint64, duty func() *Duty) *router {
	r := &router{counted: rollout.Counts{Number: number}}
	r.reporter = Reporter{Self: name, Life: 1,
		Counted: func() *rollout.Report {
			return &rollout.Report{Services: map[ids.Service]*rollout.Counts{"s": r.counted.Clone()}}
		},
		Ask: func(m consensus.Msg) (consensus.Msg, Delivery) {
			if duty() == nil {
				return consensus.Msg{}, Unanswered
			}
			return duty().Counted(m), Answered
		}}
	return r
}

// see counts answers of both versions, the candidate's all failing.
func (r *router) see(n int) {
	for i := range n {
		r.counted.See("r", false, ids.Replica(fmt.Sprint("s", i)), rollout.Outcome{})
		r.counted.See("r", true, ids.Replica(fmt.Sprint("c", i)), rollout.Outcome{Failed: true})
	}
}

// tell reports until all was told.
func (r *router) tell() {
	for r.reporter.Report() == retellPause {
	}
}

func failed(d *Duty) int64 {
	total, _ := d.sum()
	if total["s"] == nil {
		return 0
	}
	return total["s"].Routes["r"].Total().Failed
}

// EXPOSURE: what routers had counted was lost with all keepers, and a bad version was completed.
func TestCountsSurviveAllKeepers(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	duty := b.duty
	b.duty.Step()
	first, second := newRouter("r1", b.state.Number, func() *Duty { return duty }), newRouter("r2", b.state.Number, func() *Duty { return duty })
	first.see(5)
	second.see(4)
	first.tell()
	second.tell()
	is.Equal(failed(duty), int64(9))
	duty = nil // all keepers are killed
	first.see(1)
	first.tell()
	b.duty = b.holder(b.restarted())
	duty = b.duty
	for range 40 { // nobody else has the duty: it is won anew
		b.sim.Move(StepPause)
		b.duty.Keeper.Round()
		b.duty.Step()
	}
	first.tell()
	second.tell()
	is.Equal(failed(duty), int64(10))
	first.tell()
	is.Equal(failed(duty), int64(10)) // nothing counts twice
}

// A router that meets a keeper which still goes by an earlier holder tells nothing twice once
// that one has learned of the new holder.
func TestErasDoNotAddUp(t *testing.T) {
	is := is.New(t)
	old, current := &Duty{}, &Duty{}
	era := func(round uint64) func(ids.Key) ([]byte, ids.Place) {
		return func(ids.Key) ([]byte, ids.Place) { return nil, ids.Place{Epoch: ids.Epoch{Round: round}} }
	}
	old.Value, current.Value = era(1), era(2)
	follows := current
	r := newRouter("r1", 1, func() *Duty { return follows })
	r.see(3)
	r.tell()
	follows = old
	r.see(1)
	r.tell()
	is.Equal(failed(old), int64(4))
	old.Value = era(2)
	r.see(2)
	r.tell()
	is.Equal(failed(old)+failed(current), int64(6))
}

// EXPOSURE: a version that routers had given up by themselves was completed, as there were few answers.
func TestGivenUpIsNotCompleted(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.unproven = true
	b.pass(within*6/10, 0)
	is.True(b.state.Unproven)
	b.counts.Suspended = 2 // as many as there are
	b.pass(within, 0)
	is.Equal(b.state.Status, rollout.Reverted)
	is.Equal(b.state.Reason, "at the end: given up by 2 of 2 routers")
}
