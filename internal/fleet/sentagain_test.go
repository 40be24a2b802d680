package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// An order that was taken is acknowledged at whatever daemon it is sent to
// again, after 300 later changes on the way of which the owner moved, all were
// restarted, a disk was lost and a seat changed hands.
func TestSentAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1)
	type order struct {
		path string
		base int
		body string
	}
	var taken []order
	base, prefix := 0, ""
	change := func(n int) {
		for range n {
			o := order{replace, base, ""}
			if base%3 != 1 {
				prefix = fmt.Sprintf("/p%d/", base)
				o.body = doc(base+2, prefix)
			} else {
				o = order{modify, base, fmt.Sprintf(`{"version":%d}`, base+2)}
			}
			at := 1 + base%3
			for f.keepers[at] == nil {
				at++
			}
			is.Equal(f.insist(at, o.path, o.base, o.body), 200)
			taken = append(taken, o)
			base += 2
		}
	}
	again := func(step int) {
		t.Helper()
		for i := 0; i < len(taken); i += step {
			for k := range f.keepers {
				is.Equal(f.insist(k, taken[i].path, taken[i].base, taken[i].body), 200)
			}
		}
		// the same number, another body
		is.Equal(f.insist(2, replace, taken[0].base, doc(2, "/other/")), 412)
	}
	change(75)
	f.stopKeepers(1) // the owner moves
	change(75)
	f.startKeeper(1, false)
	again(30)
	f.stopKeepers(1, 2, 3)
	f.dirs[2] = t.TempDir()
	for i := 1; i <= 3; i++ {
		f.startKeeper(i, false)
	}
	f.until("the way back", func() bool { return f.keepers[2].Keeper.Acceptor().Voting() })
	change(75)
	again(45)
	f.stopKeepers(3)
	f.dirs[4] = t.TempDir()
	f.startKeeper(4, false)
	f.until("the newcomer's seat", func() bool {
		r := f.keepers[4].Keeper.Acceptor().Roster()
		return r.Has(f.keepers[4].Keeper.Self) && len(r.Next) == 0
	})
	change(75)
	again(45)
	f.until("the last one at the relay", func() bool { return f.ask(1, prefix) == 200 })
}
