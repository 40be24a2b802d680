package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/lru"
)

// engine is a replica that keeps parts, with a room of its own, and tells of
// that only by how soon it answers.
type engine struct {
	kept *lru.Cache[int64]
	rnd  *rand.Rand
}

func newEngine(room int64) *engine {
	return &engine{lru.New[int64](room), rand.New(rand.NewPCG(1, 2))}
}

// read reads a prompt and tells how long that takes.
func (e *engine) read(c kvindex.Chain) clock.Span {
	var n int64
	hit := true
	for _, l := range c {
		_, ok := e.kept.Get(l.Hash)
		if hit = hit && ok; !hit {
			n += l.Tokens
		}
	}
	for i := len(c) - 1; i >= 0; i-- {
		e.kept.Put(c[i].Hash, c[i].Tokens, c[i].Tokens)
	}
	noise := 0.9 + 0.2*e.rnd.Float64()
	return clock.Span(float64(n) * noise * float64(clock.Millisecond) / 100)
}

// stale counts the promises of a record that its engine does not hold.
func stale(r *Rep, e *engine) (n int) {
	for _, b := range r.view.Unused(0) {
		if _, ok := e.kept.Get(b.Hash); !ok {
			n++
		}
	}
	return n
}

type world struct {
	f    *Fleet
	sim  *clock.Sim
	e    map[ids.Replica]*engine
	told []Drift
	n    int
}

func newWorld(t *testing.T, room int64) *world {
	f, sim := fleet(t, 1)
	w := &world{f: f, sim: sim, e: map[ids.Replica]*engine{"i-0": newEngine(room)}}
	for i := range 60 { // as long as nothing is known of a session, the pace is learned
		w.turn(t, 1000+i)
	}
	return w
}

func (w *world) turn(t *testing.T, session int) {
	w.n++
	own := int64(100 + w.n*137%900)
	c := chain(t, fmt.Sprintf("%x:500,%x:%d", 100+session, 100000+w.n, own))
	a := &Ask{Service: "s", Sticky: true, Chain: c, Tokens: 500 + own}
	r, err := w.f.Choose(a)
	if err != nil {
		t.Fatal(err)
	}
	w.f.Sent(r, a)
	took := w.e[r.ID].read(c)
	w.sim.Move(took + 10*clock.Millisecond)
	w.f.Begun(r, a.Tokens)
	if d, ok := w.f.Read(r, a, took); ok {
		w.told = append(w.told, d)
	}
	w.f.Done(r, Fine)
}

// A record that is right is left alone.
func TestNoDriftWhereNoneIs(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 10000)
	for i := range 2000 {
		w.turn(t, i%8)
	}
	is.Equal(len(w.told), 0)
	is.Equal(w.f.reps["i-0"].view.Capacity(), int64(10000))
}

// A replica that keeps far less than it says, or loses what it kept, is found
// out, and the record comes close to what is really kept.
func TestDriftIsFoundAndMended(t *testing.T) {
	for name, lose := range map[string]func(w *world){
		"less room": func(w *world) { w.e["i-0"].kept.Bound(2500) },
		"all lost":  func(w *world) { w.e["i-0"] = newEngine(1500) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 10000)
			for i := range 500 {
				w.turn(t, i%8)
			}
			is.Equal(len(w.told), 0)
			lose(w)
			r := w.f.reps["i-0"]
			before := stale(r, w.e["i-0"])
			is.True(before >= 10)
			for i := range 500 {
				w.turn(t, i%8)
			}
			is.True(len(w.told) > 0)
			is.True(stale(r, w.e["i-0"]) <= before/2)
		})
	}
}

// What one relay finds sets the records of the others right.
func TestDriftIsTaken(t *testing.T) {
	is := is.New(t)
	f, sim := fleet(t, 1)
	turn(t, f, "a:100,b:200", "1")
	sim.Move(10 * clock.Second)
	turn(t, f, "c:100,d:200", "2")
	sim.Move(clock.Second)
	r := f.reps["i-0"]
	never := func(uint64) bool { return false }
	f.Mend(Drift{"i-0", 5 * clock.Second}, 0)
	n, _ := r.overlap(chain(t, "a:100,b:200"), never)
	is.Equal(n, int64(0))
	n, _ = r.overlap(chain(t, "c:100,d:200"), never)
	is.Equal(n, int64(300))
	f.Mend(Drift{"i-9", clock.Second}, 0) // of a replica that is not known
}

func TestOtherWeights(t *testing.T) {
	is := is.New(t)
	f, _ := fleet(t, 1)
	r := f.reps["i-0"]
	f.Weights(r, nil, "1")
	turn(t, f, "a:100,b:200", "1")
	f.Weights(r, nil, "1")
	is.True(r.view.Tokens() > 0)
	f.Weights(r, nil, "2")
	is.Equal(r.view.Tokens(), int64(0))
}
