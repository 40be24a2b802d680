package feed

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/wire"
	"spoolswitch/internal/word"
)

// keeper is a keeper that pushes what it is told to, and answers questions
// whether that is current while it is told to.
type keeper struct {
	addr    word.Addr
	pushes  atomic.Pointer[keep.Msg]
	answers atomic.Pointer[keep.Msg]
	follows atomic.Int64
}

func newKeeper(t *testing.T) *keeper {
	l, err := wire.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &keeper{addr: word.Addr(l.Addr().String())}
	s := wire.Serve(l, func(m keep.Msg, push func(keep.Msg) error) (keep.Msg, bool) {
		if m.Kind == keep.Confirm {
			if a := k.answers.Load(); a != nil {
				return *a, true
			}
			return keep.Msg{}, false
		}
		k.follows.Add(1)
		for push(*k.pushes.Load()) == nil {
			clk.Sleep(20 * clk.Millisecond)
		}
		return keep.Msg{}, false
	})
	t.Cleanup(s.Close)
	return k
}

func newTail(seeds ...word.Addr) *Tail {
	return &Tail{Self: "r", Seeds: func() []word.Addr { return seeds }, Take: func(keep.Item) bool { return true },
		Heard: func(int, clk.Span) {}, Apply: 800 * clk.Millisecond}
}

func soon(t *testing.T, what string, fn func() bool) {
	t.Helper()
	for end := clk.Now().Add(20 * clk.Second); !fn(); clk.Sleep(clk.Millisecond) {
		if clk.Now() > end {
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
	k.pushes.Store(&keep.Msg{Fresh: true, Life: 1, Num: 5})
	tail := newTail(k.addr)
	begun := clk.Now()
	is.True(tail.follow(k.addr)) // it left, though messages came all the while
	is.True(clk.Since(begun) < 3*clk.Second)
	is.True(!tail.Fresh(clk.Minute))

	k.answers.Store(&keep.Msg{OK: true, Life: 1, Num: 6})
	is.True(tail.follow(k.addr)) // it lags behind what its keeper knew
	is.True(!tail.Fresh(clk.Minute))

	k.pushes.Store(&keep.Msg{Fresh: true, Life: 1, Num: 6})
	tail.Run()
	soon(t, "a confirmation", func() bool { return tail.Fresh(clk.Minute) })
	n := k.follows.Load()
	clk.Sleep(2 * tail.stale())
	is.Equal(k.follows.Load(), n) // stays
	is.True(tail.Fresh(tail.stale()))
	k.answers.Store(&keep.Msg{Code: code.NoMajority})
	soon(t, "the end", func() bool { return k.follows.Load() > n })
	is.True(!tail.Fresh(tail.stale()))
}

// A relay whose seeds are all down, or have no seat, finds the seats by what
// any of them says, and reads its seeds anew for each try.
func TestSeatsByHearsay(t *testing.T) {
	is := is.New(t)
	seat, seed := newKeeper(t), newKeeper(t)
	seat.pushes.Store(&keep.Msg{Fresh: true, Life: 1, Num: 1})
	seat.answers.Store(&keep.Msg{OK: true, Life: 1, Num: 1})
	m := keep.Msg{Code: code.NotVoting, SeatZones: map[word.Node]word.Zone{word.Node(seat.addr): "z"}}
	m.Roster.Num = 3
	seed.pushes.Store(&m)
	var seeds atomic.Pointer[[]word.Addr]
	seeds.Store(&[]word.Addr{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
	tail := newTail()
	tail.Zone = "z"
	tail.Seeds = func() []word.Addr { return *seeds.Load() }
	tail.Run()
	clk.Sleep(200 * clk.Millisecond)
	seeds.Store(&[]word.Addr{"127.0.0.1:1", seed.addr})
	soon(t, "the seat", func() bool { return tail.Fresh(clk.Minute) })
	is.Equal(seat.follows.Load(), int64(1))
	old := keep.Msg{SeatZones: map[word.Node]word.Zone{"gone": "z"}}
	old.Roster.Num = 2
	tail.told(old) // of an older roster
	tail.told(keep.Msg{})
	is.Equal(tail.order()[0], seat.addr)
}

// While the keeper of the own zone does not answer, one of another will do.
func TestHomeIsDown(t *testing.T) {
	is := is.New(t)
	away := newKeeper(t)
	away.pushes.Store(&keep.Msg{Fresh: true, Life: 1, Num: 1, KeeperZones: map[word.Node]word.Zone{word.Node(away.addr): "y", "127.0.0.1:1": "z"}})
	away.answers.Store(&keep.Msg{OK: true, Life: 1, Num: 1})
	tail := newTail(away.addr)
	tail.Zone = "z"
	tail.Run()
	soon(t, "a confirmation", func() bool { return tail.Fresh(clk.Minute) })
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
		zones := map[word.Node]word.Zone{word.Node(away.addr): "y", word.Node(homeAddr): "z"}
		home.pushes.Store(&keep.Msg{Fresh: true, Life: 1, Num: 1, KeeperZones: zones})
		home.answers.Store(&keep.Msg{OK: true, Life: 1, Num: 1})
		away.pushes.Store(&keep.Msg{Greeting: true, Life: 2, KeeperZones: zones})
		away.answers.Store(&keep.Msg{OK: true, Life: 2, Num: 4})
		tail := newTail(away.addr)
		tail.Zone = "z"
		tail.Run()
		if down {
			soon(t, "the greeting", func() bool { return away.follows.Load() > 1 })
			away.pushes.Store(&keep.Msg{Fresh: true, Life: 2, Num: 4, KeeperZones: zones})
		}
		soon(t, "a confirmation", func() bool { return tail.Fresh(clk.Minute) })
		at, _, _ := tail.Place()
		is.Equal(at == away.addr, down)
	}
}
