package feed

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/interleave"
)

type status struct {
	life uint64
	sure bool
	// seats are those that the keeper knows, seatless says that it has none.
	seats    map[ids.Node]ids.Zone
	seatless bool
	num      uint64
}

func (s *status) Life() uint64                       { return s.life }
func (s *status) Sure(clock.Span) bool               { return s.sure }
func (s *status) Relays() int                        { return 3 }
func (s *status) ListAge() clock.Span                { return 0 }
func (s *status) KeeperZones() map[ids.Node]ids.Zone { return nil }
func (s *status) FedElsewhere(z ids.Zone) bool       { return z == "fed" }
func (s *status) SeatZones() (uint64, map[ids.Node]ids.Zone) {
	return s.num, s.seats
}
func (s *status) Confirmed(clock.Span) bool { return s.sure }
func (s *status) Rounds() bool              { return !s.seatless }

func item(k ids.Key, round, seq uint64, v string) consensus.Item {
	return consensus.Item{Key: k, At: ids.Place{Epoch: ids.Epoch{Round: round, Node: "a"}, Seq: seq}, Val: []byte(v)}
}

func TestPublishNeverBack(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	is.True(h.Publish(item("k", 2, 1, "new")))
	is.True(!h.Publish(item("k", 2, 1, "again")))
	is.True(!h.Publish(item("k", 1, 9, "old")))
	v, _ := h.Value("k")
	is.Equal(string(v), "new")
	is.True(h.Publish(item("k", 2, 2, "newer")))
}

// Two keepers feed a relay their items in every order: what it has taken never
// goes back, and ends at the newest.
func TestTailNeverBack(t *testing.T) {
	is := is.New(t)
	n := interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		var took []string
		tail := &Tail{Take: func(it consensus.Item) bool { took = append(took, string(it.Val)); return true }}
		give := func(its ...consensus.Item) interleave.Thread {
			var fs []func()
			for _, it := range its {
				fs = append(fs, func() { tail.Taken(it) })
			}
			return interleave.Steps(fs...)
		}
		return []interleave.Thread{
				give(item("k", 1, 1, "a"), item("k", 1, 2, "b"), item("k", 2, 1, "c"), item("k", 2, 2, "d")),
				give(item("k", 1, 2, "b"), item("k", 2, 1, "c"), item("k", 2, 2, "d")),
				give(item("k", 1, 1, "a"), item("k", 2, 2, "d"))},
			func(o []int) {
				for i := 1; i < len(took); i++ {
					if took[i] <= took[i-1] {
						t.Errorf("took %v in order %v", took, o)
					}
				}
				if len(took) == 0 || took[len(took)-1] != "d" {
					t.Errorf("ended at %v in order %v", took, o)
				}
			}
	})
	is.Equal(n, 1260)
}

// A relay that follows gets all there is, what forbids before what allows; a
// keeper that is not sure feeds nothing.
func TestFollow(t *testing.T) {
	is := is.New(t)
	st := &status{life: 7}
	h := NewHub()
	h.Status = st
	h.Trim = func(k ids.Key, v []byte) []byte {
		if k != ids.Configuration {
			return v
		}
		return v[:4]
	}
	h.Publish(item(ids.Configuration, 1, 1, "conf, and what only keepers need"))
	h.Publish(item(ids.List, 1, 1, "list"))
	h.Publish(item(ids.Evacuation("z"), 1, 1, "on"))
	h.Publish(item(ids.Roster, 1, 1, "not for relays"))
	got := concurrency.NewMark()
	var msgs []consensus.Msg
	concurrency.Go(func() {
		h.Follow(consensus.Msg{From: "r"}, func(m consensus.Msg) error {
			msgs = append(msgs, m)
			if len(msgs) == 2 {
				got.Set()
				return errEnd
			}
			st.sure = true
			concurrency.Go(h.Check)
			return nil
		})
	})
	is.True(got.Wait(10 * clock.Second))
	is.True(!msgs[0].Fresh)
	is.Equal(len(msgs[0].Items), 0)
	is.True(msgs[1].Fresh && msgs[1].Snapshot)
	var keys []ids.Key
	for _, it := range msgs[1].Items {
		keys = append(keys, it.Key)
	}
	is.Equal(keys, []ids.Key{ids.Evacuation("z"), ids.List, ids.Configuration})
	is.Equal(string(msgs[1].Items[2].Val), "conf")
	v, _ := h.Value(ids.Configuration)
	is.Equal(string(v), "conf, and what only keepers need")
	is.Equal(msgs[1].Num, h.Num())
}

var errEnd = errEnded{}

type errEnded struct{}

func (errEnded) Error() string { return "ended" }

// Changes are told from what a follower has; one that has something else
// follows anew and gets the whole.
func TestChanges(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	diffs := 0
	h.Diff = func(_ ids.Key, old, fresh []byte) []byte {
		diffs++
		return []byte(string(old) + ">" + string(fresh))
	}
	var took []string
	tail := &Tail{Heard: func(int, clock.Span) {}, Take: func(it consensus.Item) bool { took = append(took, string(it.Val)); return true }}
	f := &follower{has: map[ids.Key]ids.Place{}}
	push := func() bool {
		its, n := h.since(f, f.num)
		f.num = n
		return tail.news("a", consensus.Msg{Items: its, Num: n, Life: 1})
	}
	h.Publish(item(ids.List, 1, 1, "a"))
	h.Publish(item(ids.Configuration, 1, 1, "c1"))
	is.True(push())
	h.Publish(item(ids.List, 1, 2, "b"))
	h.Publish(item(ids.Configuration, 1, 2, "c2"))
	is.True(push())
	for range 50 { // worked out once, however many follow
		g := &follower{has: map[ids.Key]ids.Place{ids.List: item(ids.List, 1, 1, "").At}}
		its, _ := h.since(g, 2)
		is.Equal(string(its[0].Val), "a>b")
	}
	is.Equal(diffs, 2)                                  // one of the list, one of the configuration
	is.Equal(took, []string{"a", "c1", "a>b", "c1>c2"}) // what is kept on disks as well
	for i := range 2 * pastKept {                       // a follower that fell far behind
		h.Publish(item(ids.List, 1, uint64(3+i), "x"))
	}
	is.True(push())
	is.Equal(took[4], "x")
	tail.Taken(item(ids.List, 2, 1, "other")) // from another keeper
	h.Publish(item(ids.List, 2, 2, "y"))
	is.True(!push())
	_, num, _ := tail.Place()
	is.Equal(num, uint64(0))
	f = &follower{has: map[ids.Key]ids.Place{}}
	is.True(push())
	is.Equal(took[len(took)-1], "y")
}

// A value that a follower has under an earlier place is not told again, nor one
// that it was fed by another keeper; large ones are told compressed.
func TestNothingTwice(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	h.Diff = func(ids.Key, []byte, []byte) []byte { return nil }
	large := strings.Repeat("route ", 1000)
	h.Publish(item(ids.Configuration, 1, 1, large))
	var took []string
	tail := &Tail{Heard: func(int, clock.Span) {}, Take: func(it consensus.Item) bool { took = append(took, string(it.Val)); return true }}
	f := &follower{has: map[ids.Key]ids.Place{}}
	its, n := h.since(f, 0)
	is.True(its[0].Packed)
	is.True(len(its[0].Val) < len(large)/10)
	is.True(tail.news("a", consensus.Msg{Items: its, Num: n, Life: 1}))
	is.Equal(took, []string{large})

	h.Publish(item(ids.Configuration, 2, 1, large)) // taken up by another owner
	its, n = h.since(f, n)
	is.Equal(len(its), 1)
	is.Equal(len(its[0].Val), 0)
	is.True(tail.news("a", consensus.Msg{Items: its, Num: n, Life: 1}))
	is.Equal(len(took), 1)
	_, _, places := tail.Place()
	is.Equal(places[ids.Configuration], item("", 2, 1, "").At)

	other := NewHub()
	other.Diff = h.Diff
	other.Publish(item(ids.Configuration, 2, 1, large))
	g := &follower{has: tail.had()}
	its, _ = other.since(g, 0)
	is.Equal(len(its), 0)

	tail.Forget(ids.Configuration) // what the relay goes by is its own
	g = &follower{has: tail.had()}
	its, _ = other.since(g, 0)
	is.Equal(len(its), 1)
	is.True(its[0].Base.Zero())
}

// A change that a relay cannot take makes it ask for the whole, which it then
// takes although it bears the same place.
func TestUnfitChange(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	h.Diff = func(ids.Key, []byte, []byte) []byte { return []byte("unfit") }
	var took []string
	tail := &Tail{Heard: func(int, clock.Span) {}, Take: func(it consensus.Item) bool {
		if string(it.Val) == "unfit" {
			return false
		}
		took = append(took, string(it.Val))
		return true
	}}
	f := &follower{has: map[ids.Key]ids.Place{}}
	feed := func() bool {
		its, n := h.since(f, f.num)
		f.num = n
		return tail.news("a", consensus.Msg{Items: its, Num: n, Life: 1})
	}
	h.Publish(item(ids.Configuration, 1, 1, "one"))
	is.True(feed())
	h.Publish(item(ids.Configuration, 1, 2, "two"))
	is.True(!feed())
	f = &follower{has: tail.had()}
	is.True(feed())
	is.Equal(took, []string{"one", "two"})
	is.True(!tail.Taken(consensus.Item{Key: "k", At: item("", 3, 1, "").At, Val: []byte("no flate"), Packed: true}))
}

// A relay of a zone that has a keeper is told of it before a snapshot crosses
// zones, once; one that stays is fed.
func TestGreeting(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	st := &status{life: 7, sure: true}
	h.Status = st
	h.Publish(item(ids.List, 1, 1, "list"))
	follow := func(m consensus.Msg, most int) (got []consensus.Msg) {
		h.Follow(m, func(m consensus.Msg) error {
			if got = append(got, m); len(got) == most {
				return errEnd
			}
			return nil
		})
		return got
	}
	got := follow(consensus.Msg{Zone: "fed", Stray: true}, 2)
	is.True(got[0].Greeting)
	is.Equal(len(got[0].Items), 0)
	is.Equal(len(got[1].Items), 1)
	is.True(!got[1].Greeting)
	is.Equal(len(follow(consensus.Msg{Zone: "fed"}, 1)[0].Items), 1)                // has looked already
	is.Equal(len(follow(consensus.Msg{Zone: "other", Stray: true}, 1)[0].Items), 1) // nowhere else to go
}
