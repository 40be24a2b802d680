package fleet

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/settings"
)

// CONFIG: two machines of the core that were replaced in order, the new ones first, took the majority
// with them.
func TestReplacedInOrder(t *testing.T) {
	for name, leave := range map[string]func(f *fleet){
		"one after the other": func(f *fleet) { f.stopKeepers(1, 2) },
		"both at once": func(f *fleet) {
			for _, ended := range []*concurrency.Mark{f.stopping(1), f.stopping(2)} {
				if !ended.Wait(clock.Minute) {
					f.t.Fatal("a keeper does not end")
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTunedFleet(t, 3, 0, "", zoned)
			is.Equal(f.insist(1, replace, 0, doc(3, "/a/")), 200)
			for _, successor := range []int{4, 5} {
				f.dirs[successor] = t.TempDir()
				f.startKeeper(successor, false)
			}
			f.until("both asking for a seat", func() bool { return len(f.keepers[1].Keeper.Asking()) == 2 })
			leave(f)
			for _, i := range []int{3, 4, 5} {
				is.Equal(f.read(i), doc(3, "/a/"))
			}
			f.rosters(3, 3, 4, 5)
			is.True(!f.keepers[3].Keeper.Acceptor().Roster().Has(f.keepers[3].Keeper.Founders[0]))
			is.True(!f.keepers[3].Keeper.Acceptor().Roster().Has(f.keepers[3].Keeper.Founders[1]))
			is.Equal(f.insist(3, replace, 3, doc(5, "/b/")), 200)
			is.Equal(f.read(4), doc(5, "/b/"))
		})
	}
}

// A seat that nobody can take is not waited for: a restart is as quick as ever.
func TestLeavesWithoutSuccessor(t *testing.T) {
	is := is.New(t)
	f := newTunedFleet(t, 3, 0, "", zoned)
	is.Equal(f.insist(1, replace, 0, doc(3, "/a/")), 200)
	f.stopKeepers(1)
	is.Equal(f.keepers[2].Keeper.Acceptor().Roster().Num, uint64(1))
	f.startKeeper(1, false)
	is.Equal(f.read(1), doc(3, "/a/"))
}

// zoned puts keepers into three zones in turn, and gives them long to leave.
func zoned(i int, s *settings.Settings) {
	s.Zone = []ids.Zone{"z1", "z2", "z3"}[(i-1)%3]
	s.Bounds.GraceS = 40
}

// stopping begins to stop a keeper, and returns what is set when it has ended.
func (f *fleet) stopping(i int) *concurrency.Mark {
	k, ended := f.keepers[i], concurrency.NewMark()
	delete(f.keepers, i)
	concurrency.Go(func() {
		k.Stop()
		ended.Set()
	})
	return ended
}
