package evidence

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/interleave"
	"spoolswitch/internal/kvindex"
)

var e1 = kvindex.Epoch{Publisher: kvindex.Publisher{Service: "s", Addr: "10.0.0.1:80"}, Life: "i-1"}

func chain(t testing.TB, s string) kvindex.Chain {
	c, err := kvindex.ReadChain("m", s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func read(c kvindex.Chain) kvindex.Event {
	return kvindex.Event{Kind: kvindex.BlockStored, Grade: kvindex.Inferred, Blocks: c}
}

func (d *Desk) tokens(c kvindex.Chain) int64 {
	return d.Index.Lookup(e1, c, kvindex.Unlimited).Tokens
}

// Outcomes are published in the order of sending, whatever order they come in.
func TestInOrder(t *testing.T) {
	c := []kvindex.Chain{chain(t, "a:10"), chain(t, "b:10"), chain(t, "c:10")}
	n := interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		d := NewDesk()
		s := d.Open(e1)
		a := []*Attempt{s.Sent(), s.Sent(), s.Sent()}
		settle := func(i int) interleave.Thread {
			return interleave.Steps(func() {
				if i == 1 {
					a[i].Settle(NotRun)
				} else {
					a[i].Settle(Read, read(c[i]))
				}
			}, func() { a[i].Settle(Unseen) }) // the first word counts
		}
		return []interleave.Thread{settle(0), settle(1), settle(2)}, func(o []int) {
			if d.tokens(c[0]) != 10 || d.tokens(c[1]) != 0 || d.tokens(c[2]) != 10 || d.Index.Quarantined() != 0 {
				t.Errorf("order %v", o)
			}
			if bs := d.Replay(e1, 0); len(bs) != 2 || bs[1].Seq != 1 {
				t.Errorf("order %v: %v", o, bs)
			}
		}
	})
	is.New(t).Equal(n, 90)
}

// An attempt whose outcome nobody saw is a hole: the view is in quarantine
// until enough answers after it prove what is kept, and holds just that then.
func TestHole(t *testing.T) {
	is := is.New(t)
	d := NewDesk()
	s := d.Open(e1)
	s.Tell(read(chain(t, "a:10")))
	s.Sent().Settle(Unseen)
	is.Equal(d.Index.Quarantined(), 1)
	for i, p := range []string{"b:10", "c:10", "d:10"} {
		is.Equal(d.tokens(chain(t, "b:10")), int64(0))
		is.Equal(d.Index.Quarantined(), 1)
		is.True(i < ProofsDefault)
		s.Sent().Settle(Read, read(chain(t, p)))
	}
	is.Equal(d.Index.Quarantined(), 0)
	is.Equal(d.tokens(chain(t, "a:10")), int64(0))
	for _, p := range []string{"b:10", "c:10", "d:10"} {
		is.Equal(d.tokens(chain(t, p)), int64(10))
	}
	s.Sent().Settle(Unseen)
	is.Equal(d.Index.Quarantined(), 1)
	s.Tell(kvindex.Event{Kind: kvindex.AllBlocksCleared, Grade: kvindex.Inferred})
	is.Equal(d.Index.Quarantined(), 0) // whatever was in the hole is gone
}

// An outcome that comes after all fills its hole.
func TestLateOutcome(t *testing.T) {
	is := is.New(t)
	d := NewDesk()
	s := d.Open(e1)
	s.Tell(read(chain(t, "a:10")))
	a := s.Sent()
	a.Settle(Unseen)
	s.Tell(read(chain(t, "b:10")))
	is.Equal(d.Index.Quarantined(), 1)
	a.Settle(Read, read(chain(t, "c:10")))
	is.Equal(d.Index.Quarantined(), 0)
	for _, p := range []string{"a:10", "b:10", "c:10"} {
		is.Equal(d.tokens(chain(t, p)), int64(10))
	}
}

// Replays are bounded as the sizing says.
func TestSizing(t *testing.T) {
	is := is.New(t)
	d := NewDesk()
	d.Bounds(Sizing{Steps: 4, Total: 100}, 1)
	s := d.Open(e1)
	for range 10 {
		s.Tell(read(chain(t, "a:10")))
	}
	is.Equal(len(d.Replay(e1, 0)), 4)
	o, ok := d.Oldest(e1)
	is.True(ok)
	is.Equal(o, kvindex.Seq(6))
	is.Equal(d.kept, 4)
	d.Bounds(Sizing{Steps: 100, Total: 3}, 1) // all streams together
	s.Tell(read(chain(t, "b:10")))
	is.True(d.kept <= 4)
	d.Close(e1)
	is.Equal(d.kept, 0)
	s.Sent().Settle(Read, read(chain(t, "a:10"))) // of a life that is over
	is.Equal(d.tokens(chain(t, "a:10")), int64(0))
}
