package control

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
)

const (
	repeats  = 8 * clock.Second
	reverted = clock.Second // how long after its order the verdict comes
)

// register is the register of one service's rollouts at the only seat.
type register struct {
	t      *testing.T
	sim    *clock.Sim
	acc    *consensus.Acceptor
	hub    *feed.Hub
	keeper *consensus.Keeper
}

func newRegister(t *testing.T) *register {
	r := &register{t: t, sim: &clock.Sim{}, acc: consensus.NewAcceptor()}
	t.Cleanup(r.sim.Use())
	r.acc.Use(consensus.Volatile{})
	if err := r.acc.Found(consensus.Roster{Num: 1, Seat: []ids.Node{"a"}}, nil); err != nil {
		t.Fatal(err)
	}
	r.sim.Move(clock.Minute)
	r.restart()
	return r
}

// newOwner makes a keeper that has to win the register, and has known its value before.
func (r *register) newOwner() {
	r.keeper = consensus.New("a", r.acc, nobody{}, r.hub)
	r.keeper.Decider = deciderWith(r.keeper, r.hub, repeats)
}

// restart makes a keeper that knows what its disk has and nothing else.
func (r *register) restart() {
	r.hub = feed.NewHub()
	r.newOwner()
	r.keeper.Round()
}

// steadily lets time pass while the keeper holds its rounds.
func (r *register) steadily(d clock.Span) {
	for end := clock.Now().Add(d); clock.Now() < end; {
		r.sim.Move(consensus.Beat)
		r.keeper.Round()
	}
}

func (r *register) send(c *rollout.Command) consensus.Msg {
	return r.keeper.Change(ids.Rollout("s"), &consensus.Order{Body: c.Encode()}, clock.Now().Add(clock.Second))
}

func (r *register) order() consensus.Msg {
	return r.send(&rollout.Command{Start: &rollout.Start{Target: "v2", Within: clock.Minute, Steps: rollout.DefaultSteps()}})
}

func (r *register) state() *rollout.State {
	r.t.Helper()
	val, _ := r.hub.Value(ids.Rollout("s"))
	state, err := rollout.Decode(val)
	is.New(r.t).NoErr(err)
	return state
}

// revert takes an order and reverts it.
func (r *register) revert() {
	r.t.Helper()
	is := is.New(r.t)
	r.steadily(10 * clock.Second)
	is.True(r.order().OK)
	r.steadily(reverted)
	is.True(r.send(&rollout.Command{Finish: &rollout.Finish{Number: 1, Status: rollout.Reverted, Elapsed: reverted}}).OK)
	is.Equal(r.state().Status, rollout.Reverted)
}

// LOST: an acknowledged order for a version that was reverted long ago was dropped as a repeat
// by a keeper that had just won the register.
func TestOrderAfterOwnerChange(t *testing.T) {
	is := is.New(t)
	r := newRegister(t)
	r.revert()
	r.steadily(2 * clock.Second)
	is.True(r.order().OK) // sent again
	is.Equal(r.state().Number, uint64(1))
	r.steadily(repeats)
	r.newOwner()
	is.True(r.order().OK)
	is.Equal(r.state().Number, uint64(2))
	is.True(r.state().Active())
}

// LOST: keepers that start again count the age of a verdict anew, and must not acknowledge an
// order that they drop.
func TestOrderAfterRestartOfAll(t *testing.T) {
	is := is.New(t)
	r := newRegister(t)
	r.revert()
	r.restart()
	is.Equal(r.order().Code, codes.MayBeRepeat)
	r.steadily(repeats)
	is.True(r.order().OK)
	is.Equal(r.state().Number, uint64(2))
}

// LOST: once the time for repeats has been seen to pass, no restart brings it back.
func TestOrderAfterRepeatsOver(t *testing.T) {
	is := is.New(t)
	r := newRegister(t)
	r.revert()
	r.steadily(repeats)
	is.True(r.send(&rollout.Command{EndRepeats: &rollout.EndRepeats{Number: 1}}).OK)
	is.True(r.state().RepeatsOver)
	r.restart()
	is.True(r.order().OK)
	is.Equal(r.state().Number, uint64(2))
	is.True(!r.state().RepeatsOver)
}
