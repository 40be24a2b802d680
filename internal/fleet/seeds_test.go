package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/settings"
)

// seeded changes which keepers the settings of later starts, and of all that
// run, name as seeds.
func (f *fleet) seeded(is ...int) {
	f.seeds = is
	for i, k := range f.keepers {
		k.Take(f.keeperSettings(i, false))
	}
	for i, r := range f.relays {
		r.Take(f.relaySettings(i))
	}
}

// rosters waits until all that are named know a roster of so many seats.
func (f *fleet) rosters(seats int, is ...int) {
	f.t.Helper()
	for _, i := range is {
		f.until(fmt.Sprint("the roster at ", i), func() bool {
			return len(f.keepers[i].Keeper.Acceptor().Roster().Seat) == seats
		})
	}
}

// The seeds become the keepers without a disk, then all are killed: those with
// disks bring the roster to the seeds, and the relay finds the seats through
// them.
func TestSeedsWithoutDisks(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	for i := 4; i <= 6; i++ {
		f.startKeeper(i, false)
	}
	f.rosters(3, 4, 5, 6)
	is.Equal(f.insist(4, replace, 0, doc(3, "/a/")), 200)
	f.seeded(4, 5, 6)
	f.stopKeepers(1, 2, 3, 4, 5, 6)
	f.relays[1].Close()
	for i := 1; i <= 6; i++ {
		f.startKeeper(i, false)
	}
	f.startRelay(1)
	f.rosters(3, 4, 5, 6)
	for i := 1; i <= 6; i++ {
		is.Equal(f.read(i), doc(3, "/a/"))
	}
	f.until("service", func() bool { return f.ask(1, "/a/x") == 200 })
}

// A keeper with an empty disk, whose seeds all have none, finds the seats and
// is given one; seats then seeds are lost, and settings come to one keeper only.
func TestNewcomerOfSeedsWithoutDisks(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 0)
	for i := 4; i <= 5; i++ {
		f.startKeeper(i, false)
	}
	is.Equal(f.insist(1, replace, 0, doc(3, "/a/")), 200)
	f.rosters(3, 4, 5)
	f.seeds = []int{4, 5, 9} // the last is down, and named in no roster
	f.dirs[7] = t.TempDir()
	f.startKeeper(7, false)
	f.until("a seat", func() bool {
		r := f.keepers[7].Keeper.Acceptor().Roster()
		return r.Has(f.keepers[7].Keeper.Self) && len(r.Next) == 0 && f.keepers[7].Keeper.Acceptor().Voting()
	})
	f.rosters(4, 1, 2, 3, 7)
	f.stopKeepers(4, 5) // they forget what they knew
	f.startKeeper(4, false)
	f.seeds = []int{4}
	f.keepers[7].Take(f.keeperSettings(7, false)) // told to one seat alone
	f.rosters(4, 4)
	is.Equal(f.read(4), doc(3, "/a/"))
}

// Keepers that know no seat and only each other refuse orders at once, and hand
// them to nobody.
func TestNoSeatKnown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 0)
	f.seeds = []int{4, 5, 6}
	for i := 4; i <= 6; i++ {
		f.startKeeper(i, false)
	}
	for range 20 {
		begun := clock.Now()
		st, _ := f.call(4, "POST", replace, 0, doc(3, "/a/"))
		is.Equal(st, 503)
		is.True(clock.Since(begun) < 600*clock.Millisecond)
	}
	m := f.keepers[5].Keeper.Handle(consensus.Msg{Kind: consensus.Forward, Key: ids.Configuration, Order: &consensus.Order{Query: true}})
	is.True(!m.OK)
}

func (f *fleet) keeperSettings(i int, initial bool) *settings.Settings {
	s := f.settings(fmt.Sprintf("127.0.0.%d", i), fmt.Sprintf("keeper-%d", i), initial)
	s.DataDir = f.dirs[i]
	if f.tune != nil {
		f.tune(i, s)
	}
	return s
}

func (f *fleet) relaySettings(i int) *settings.Settings {
	return f.settings(fmt.Sprintf("127.0.0.%d", 10+i), fmt.Sprintf("relay-%d", i), true)
}
