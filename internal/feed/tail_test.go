package feed

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

// keeper is a keeper that pushes what it is told to, and answers questions
// whether that is current while it is told to.
type keeper struct {
	addr    ids.Addr
	pushes  atomic.Pointer[consensus.Msg]
	answers atomic.Pointer[consensus.Msg]
	follows atomic.Int64
}

func newKeeper(t *testing.T) *keeper {
	l, err := rpc.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &keeper{addr: ids.Addr(l.Addr().String())}
	s := rpc.Serve(l, func(m consensus.Msg, push func(consensus.Msg) error) (consensus.Msg, bool) {
		if m.Kind == consensus.Confirm {
			if a := k.answers.Load(); a != nil {
				return *a, true
			}
			return consensus.Msg{}, false
		}
		k.follows.Add(1)
		for push(*k.pushes.Load()) == nil {
			clock.Sleep(20 * clock.Millisecond)
		}
		return consensus.Msg{}, false
	})
	t.Cleanup(s.Close)
	return k
}

func newTail(seeds ...ids.Addr) *Tail {
	return &Tail{Self: "r", Seeds: func() []ids.Addr { return seeds }, Take: func(consensus.Item) bool { return true },
		Heard: func(int, clock.Span) {}, Apply: 800 * clock.Millisecond}
}

func soon(t *testing.T, what string, fn func() bool) {
	t.Helper()
	for end := clock.Now().Add(20 * clock.Second); !fn(); clock.Sleep(clock.Millisecond) {
		if clock.Now() > end {
			t.Fatal("never came: " + what)
		}
	}
}

// What is pushed makes nothing current, however fresh it calls itself: it may
// have lain in a queue. Only an answer to a question does, as of the question,
// and once all that it counts has come.
func TestFreshAsOfTheQuestion(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t)
	k.pushes.Store(&consensus.Msg{Fresh: true, Life: 1, Num: 5})
	tail := newTail(k.addr)
	begun := clock.Now()
	is.True(tail.follow(k.addr)) // it left, though messages came all the while
	is.True(clock.Since(begun) < 3*clock.Second)
	is.True(!tail.Fresh(clock.Minute))

	k.answers.Store(&consensus.Msg{OK: true, Life: 1, Num: 6})
	is.True(tail.follow(k.addr)) // it lags behind what its keeper knew
	is.True(!tail.Fresh(clock.Minute))

	k.pushes.Store(&consensus.Msg{Fresh: true, Life: 1, Num: 6})
	tail.Run()
	soon(t, "a confirmation", func() bool { return tail.Fresh(clock.Minute) })
	n := k.follows.Load()
	clock.Sleep(2 * tail.stale())
	is.Equal(k.follows.Load(), n) // stays
	is.True(tail.Fresh(tail.stale()))
	k.answers.Store(&consensus.Msg{Code: codes.NoMajority})
	soon(t, "the end", func() bool { return k.follows.Load() > n })
	is.True(!tail.Fresh(tail.stale()))
}

// A relay whose seeds are all down, or have no seat, finds the seats by what
// any of them says, and reads its seeds anew for each try.
func TestSeatsByHearsay(t *testing.T) {
	is := is.New(t)
	seat, seed := newKeeper(t), newKeeper(t)
	seat.pushes.Store(&consensus.Msg{Fresh: true, Life: 1, Num: 1})
	seat.answers.Store(&consensus.Msg{OK: true, Life: 1, Num: 1})
	m := consensus.Msg{Code: codes.NotVoting, SeatZones: map[ids.Node]ids.Zone{ids.Node(seat.addr): "z"}}
	m.Roster.Num = 3
	seed.pushes.Store(&m)
	var seeds atomic.Pointer[[]ids.Addr]
	seeds.Store(&[]ids.Addr{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
	tail := newTail()
	tail.Zone = "z"
	tail.Seeds = func() []ids.Addr { return *seeds.Load() }
	tail.Run()
	clock.Sleep(200 * clock.Millisecond)
	seeds.Store(&[]ids.Addr{"127.0.0.1:1", seed.addr})
	soon(t, "the seat", func() bool { return tail.Fresh(clock.Minute) })
	is.Equal(seat.follows.Load(), int64(1))
	old := consensus.Msg{SeatZones: map[ids.Node]ids.Zone{"gone": "z"}}
	old.Roster.Num = 2
	tail.told(old) // of an older roster
	tail.told(consensus.Msg{})
	is.Equal(tail.order()[0], seat.addr)
}

// While the keeper of the own zone does not answer, one of another will do.
func TestHomeIsDown(t *testing.T) {
	is := is.New(t)
	away := newKeeper(t)
	away.pushes.Store(&consensus.Msg{Fresh: true, Life: 1, Num: 1, KeeperZones: map[ids.Node]ids.Zone{ids.Node(away.addr): "y", "127.0.0.1:1": "z"}})
	away.answers.Store(&consensus.Msg{OK: true, Life: 1, Num: 1})
	tail := newTail(away.addr)
	tail.Zone = "z"
	tail.Run()
	soon(t, "a confirmation", func() bool { return tail.Fresh(clock.Minute) })
	is.True(away.follows.Load() < 5)
}

// A relay that is told of a keeper of its own zone goes there unfed; if that one
// is down it comes back and is fed where it was greeted.
func TestGreeted(t *testing.T) {
	for _, down := range []bool{false, true} {
		is := is.New(t)
		home, away := newKeeper(t), newKeeper(t)
		homeAddr := home.addr
		if down {
			homeAddr = "127.0.0.1:1"
		}
		zones := map[ids.Node]ids.Zone{ids.Node(away.addr): "y", ids.Node(homeAddr): "z"}
		home.pushes.Store(&consensus.Msg{Fresh: true, Life: 1, Num: 1, KeeperZones: zones})
		home.answers.Store(&consensus.Msg{OK: true, Life: 1, Num: 1})
		away.pushes.Store(&consensus.Msg{Greeting: true, Life: 2, KeeperZones: zones})
		away.answers.Store(&consensus.Msg{OK: true, Life: 2, Num: 4})
		tail := newTail(away.addr)
		tail.Zone = "z"
		tail.Run()
		if down {
			soon(t, "the greeting", func() bool { return away.follows.Load() > 1 })
			away.pushes.Store(&consensus.Msg{Fresh: true, Life: 2, Num: 4, KeeperZones: zones})
		}
		soon(t, "a confirmation", func() bool { return tail.Fresh(clock.Minute) })
		at, _, _ := tail.Place()
		is.Equal(at == away.addr, down)
	}
}
