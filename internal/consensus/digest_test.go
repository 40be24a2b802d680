package consensus

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

// A digest that has not changed is told by its sum; who asked has it whole all
// the same. Anything that changes is told at once.
func TestSumStandsForDigest(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	a, b := c.ks["a"], c.ks["b"]
	eventually(t, "the value at b", func() bool { m := b.digest().Marks["k"]; return m.Known == m.At && m.At.Seq == 2 })
	ask := func() (raw, whole Msg) {
		raw = b.Handle(Msg{Kind: Digest, From: "a", Sum: a.digests.last["b"].Sum})
		whole, ok := a.ask("b", Msg{Kind: Digest, From: "a"}, clock.Second)
		is.True(ok)
		return raw, whole
	}
	c.si["b"].Publish(Item{Key: "seen", At: ids.Place{Seq: 1}})
	_, first := ask()
	is.Equal(first.Marks["k"].At, b.Acceptor().Cell("k").At)
	raw, second := ask()
	is.True(raw.Same)
	is.Equal(len(raw.Marks), 0)
	is.Equal(second.Marks, first.Marks)
	is.Equal(second.Roster, first.Roster)
	for name, change := range map[string]func(){
		"a vote":        func() { b.Acceptor().Vote("k", ids.Epoch{Round: 99, Node: "c"}, b.Acceptor().Roster()) },
		"a value":       func() { c.si["b"].Publish(Item{Key: "told", At: ids.Place{Seq: 7}}) },
		"a newer value": func() { c.si["b"].Publish(Item{Key: "seen", At: ids.Place{Seq: 2}}) },
		"a follower":    func() { c.si["b"].followers = append(c.si["b"].followers, "r") },
		"a roster": func() {
			r := b.Acceptor().Roster()
			is.NoErr(b.Acceptor().Adopt(Roster{Num: r.Num + 1, Seat: r.Seat, Next: []ids.Node{"d"}}))
		},
	} {
		change()
		raw, whole := ask()
		if raw.Same {
			t.Errorf("%s was not told", name)
		}
		is.Equal(whole.Marks, b.digest().Marks)
		is.Equal(whole.Relays, b.digest().Relays)
		is.Equal(whole.Roster, b.digest().Roster)
	}
	// a sum that the asker does not have proves nothing
	a.Net = answering(Msg{OK: true, Same: true, Sum: a.digests.last["b"].Sum + 1})
	_, ok := a.ask("b", Msg{Kind: Digest, From: "a"}, clock.Second)
	is.True(!ok)
}

// answering is a net whose daemons all give one answer.
type answering Msg

func (a answering) Ask(ids.Node, Msg, clock.Span) (Msg, bool) { return Msg(a), true }

// Seats that find a change of seats left open take turns, so that they do not
// take each other's leases; those that are silent are passed over.
func TestTurnsToSeat(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	r := three
	for _, k := range c.ks {
		k.Round()
	}
	var turns []int
	firstNode := ids.Node("")
	for n, k := range sorted(c.ks) {
		turns = append(turns, k.turnToSeat(r))
		if k.turnToSeat(r) == 0 {
			firstNode = n
		}
	}
	slices.Sort(turns)
	is.Equal(turns, []int{0, 1, 2})
	turns = nil
	for n, k := range sorted(c.ks) {
		if n != firstNode {
			k.mu.Lock()
			k.heard[firstNode] = clock.Now().Add(-2 * hereFor)
			k.mu.Unlock()
			turns = append(turns, k.turnToSeat(r))
		}
	}
	slices.Sort(turns)
	is.Equal(turns, []int{0, 1})
	other := 0 // another roster, another order
	for num := range uint64(20) {
		if c.ks[firstNode].turnToSeat(Roster{Num: 100 + num, Seat: r.Seat}) != 0 {
			other++
		}
	}
	is.True(other > 0)
}

// A shared value goes to others as the change from the last one; who lacks that
// gets it whole.
func TestShareTellsChanges(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	a := c.ks["a"]
	for _, k := range c.ks {
		k.Diff = func(_ ids.Key, old, fresh []byte) []byte { return fresh[len(old):] }
		k.Patch = func(_ ids.Key, old, change []byte) ([]byte, bool) { return slices.Concat(old, change), true }
	}
	at := func(seq uint64) ids.Place { return ids.Place{Epoch: ids.Epoch{Round: 1, Node: "a"}, Seq: seq} }
	told := concurrency.NewMark()
	var whole, changes int
	c.n.through(func(_, _ ids.Node, m Msg) bool {
		if m.Kind == Learn && m.Key == ids.List {
			if m.Base.Zero() {
				whole++
			} else {
				changes++
				is.True(bytes.Equal(m.Val, []byte("b")) || bytes.Equal(m.Val, []byte("c")))
			}
			told.Set()
		}
		return true
	})
	has := func(n ids.Node, v string) func() bool {
		return func() bool { got, _ := c.si[n].Value(ids.List); return string(got) == v }
	}
	a.Share(ids.List, at(1), []byte("a"))
	eventually(t, "the list", has("b", "a"))
	eventually(t, "the list", has("c", "a"))
	c.n.part("c", "a")
	a.Share(ids.List, at(2), []byte("ab"))
	eventually(t, "the list", has("b", "ab"))
	c.n.join()
	a.Share(ids.List, at(3), []byte("abc"))
	eventually(t, "the list", has("b", "abc"))
	eventually(t, "the list", has("c", "abc")) // lacked the second
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	is.Equal(changes, 3) // none to c while it was cut off
	is.Equal(whole, 3)
}
