package discovery

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
)

// alone is the world of a single keeper.
type alone struct {
	items map[ids.Key]consensus.Item
	recs  [][]byte
}

func (a *alone) Ask(ids.Node, consensus.Msg, clock.Span) (consensus.Msg, bool) {
	return consensus.Msg{}, false
}
func (a *alone) Publish(it consensus.Item) bool {
	a.items[it.Key] = it
	return true
}
func (a *alone) Known() map[ids.Key]ids.Place { return nil }
func (a *alone) Followers() []ids.Node        { return nil }
func (a *alone) Value(k ids.Key) ([]byte, ids.Place) {
	return a.items[k].Val, a.items[k].At
}
func (a *alone) Append(p []byte) error     { a.recs = append(a.recs, p); return nil }
func (a *alone) Long(int64) bool           { return false }
func (a *alone) Rewrite(ps [][]byte) error { return nil }

func newDuty(t *testing.T) (*Duty, *alone, *clock.Sim) {
	sim := &clock.Sim{}
	t.Cleanup(sim.Use())
	w := &alone{items: map[ids.Key]consensus.Item{}}
	acc := consensus.NewAcceptor()
	acc.Use(w)
	if err := acc.Found(consensus.Founding([]ids.Node{"a"}), nil); err != nil {
		t.Fatal(err)
	}
	k := consensus.New("a", acc, w, w)
	k.Round()
	return &Duty{Duty: consensus.Duty{Keeper: k, Key: ids.ListDuty, Value: w.Value}}, w, sim
}

// The list is told when it says something new, not each time that it is read.
func TestToldWhenNew(t *testing.T) {
	is := is.New(t)
	d, w, sim := newDuty(t)
	rs := []Replica{{ID: "i-1", State: "in_service", ColdMs: 3000}}
	reads := 0
	d.Read = func() ([]Replica, error) { reads++; return append([]Replica(nil), rs...), nil }
	step := func(dur clock.Span) uint64 {
		sim.Move(dur)
		d.Keeper.Round()
		d.Step()
		return w.items[ids.List].At.Seq
	}
	step(clock.Second) // the duty is vacant: won after a little wait
	first := step(clock.Second)
	is.Equal(first, uint64(1))
	rs[0].ColdMs = 2000
	is.Equal(step(clock.Second), uint64(1)) // colder by as much as the time that went
	rs[0].ColdMs = 3000
	is.Equal(step(clock.Second), uint64(2)) // cold again
	rs[0].ColdMs = 0
	is.Equal(step(4*clock.Second), uint64(2))
	rs[0].State = "draining"
	is.Equal(step(clock.Second), uint64(3))
	n := reads
	step(10 * clock.Millisecond) // never sooner than the pause
	is.Equal(reads, n)
}

// A list that was read before its reader stood still is not told as if it were
// read now, and its age counts from when the reading began.
func TestReadBeforePause(t *testing.T) {
	is := is.New(t)
	d, w, sim := newDuty(t)
	d.Read = func() ([]Replica, error) { return []Replica{{ID: "i-1", State: "in_service"}}, nil }
	for range 3 {
		sim.Move(clock.Second)
		d.Keeper.Round()
		d.Step()
	}
	was := w.items[ids.List].At
	is.True(!was.Zero())
	d.Read = func() ([]Replica, error) {
		sim.Move(4 * clock.Second)
		return []Replica{{ID: "i-2", State: "in_service"}}, nil
	}
	sim.Move(clock.Second)
	d.Keeper.Round()
	d.Step()
	is.Equal(w.items[ids.List].At, was)
	is.True(d.Keeper.ListAge() > 4*clock.Second)
	d.Read = func() ([]Replica, error) {
		sim.Move(400 * clock.Millisecond)
		return []Replica{{ID: "i-2", State: "in_service"}}, nil
	}
	d.Keeper.Round()
	d.Step()
	is.True(was.Less(w.items[ids.List].At))
	is.Equal(d.Keeper.ListAge(), 400*clock.Millisecond)
}

// A platform that is down does not make the duty go round.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	d, w, sim := newDuty(t)
	d.Read = func() ([]Replica, error) { return nil, codes.New(codes.ListRefused, "down") }
	for range 20 {
		sim.Move(200 * clock.Millisecond)
		d.Keeper.Round()
		d.Step()
	}
	is.Equal(w.items[ids.ListDuty].At.Epoch.Round, uint64(1)) // won once
	is.True(d.Keeper.ListAge() > clock.Second)                // and given up for others
}

func TestReadPages(t *testing.T) {
	is := is.New(t)
	is.True(!same([]Replica{{ID: "a"}}, nil, 0))
	b := Encode([]Replica{{ID: "a", Models: []Model{{"m", 2}}}})
	rs, ok := Decode(b)
	is.True(ok)
	is.Equal(rs[0].Models[0].Version, int64(2))
	_, ok = Decode([]byte("no list"))
	is.True(!ok)
}

// A daemon keeps to its share of the platform's rate, and ends a reading of
// many pages that it has begun.
func TestShareOfRate(t *testing.T) {
	is := is.New(t)
	r := &Reader{Addr: "127.0.0.1:1", Rate: Share(2, 0.5)}
	_, err := r.Read()
	is.True(codes.Of(err) == codes.ListRefused)
	r.Rate.Reserve()
	r.Rate.Reserve()
	is.True(r.Rate.Tokens() < 1)
	_, err = r.Read()
	is.True(err != nil && strings.Contains(err.Error(), "share of the rate"))
}

// What changed, taken in by one that has the old list, makes the new one.
func TestDiff(t *testing.T) {
	is := is.New(t)
	var a, b []Replica
	for i := range 40 {
		r := Replica{ID: ids.Replica(fmt.Sprint("i-", i)), Service: "s", Addr: "10.0.0.1:80", Zone: "z", State: "in_service", Models: []Model{{"m", 1}}}
		a = append(a, r)
		switch i {
		case 3:
			continue
		case 5:
			r.State = "draining"
		case 7:
			r.Models = []Model{{"m", 2}}
		case 9:
			r.ColdMs = 2000
		case 11:
			a[i].ColdMs, r.ColdMs = 2000, 500 // cold again, long after the first time
		}
		b = append(b, r)
	}
	b = append(b, Replica{ID: "i-new"})
	d, ok := DecodeDelta(Diff(Encode(a), Encode(b)))
	is.True(ok)
	is.Equal(d.Gone, []ids.Replica{"i-3"})
	var up []ids.Replica
	for _, r := range d.Up {
		up = append(up, r.ID)
	}
	is.Equal(up, []ids.Replica{"i-5", "i-7", "i-9", "i-11", "i-new"})
	is.True(len(Diff(Encode(a), Encode(b))) < len(Encode(b))/2)
	is.True(Diff(Encode(a), []byte("x")) == nil)
	is.True(Diff(nil, Encode(a)) == nil)
	is.True(Diff(Encode(nil), Encode(a)) == nil) // no smaller than the whole
}
