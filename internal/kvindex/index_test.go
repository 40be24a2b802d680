package kvindex

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/interleave"
	"spoolswitch/internal/telemetry"
)

// publisher is a stand-in for a replica that tells what it keeps: it numbers
// batches from 0 in each life, and can replay the last few.
type publisher struct {
	e     Epoch
	next  Seq
	room  int
	ring  []Batch
	kept  Chain
	snaps bool
}

func newPublisher(life ids.Replica, room int) *publisher {
	return &publisher{e: Epoch{Publisher{"s", "10.0.0.1:80", 0}, life}, room: room}
}

func (p *publisher) batch(es ...Event) Batch {
	b := Batch{p.e, p.next, es}
	p.next++
	p.ring = append(p.ring, b)
	if len(p.ring) > p.room {
		p.ring = p.ring[1:]
	}
	for _, e := range es {
		switch e.Kind {
		case BlockStored:
			p.kept = append(p.kept, e.Blocks...)
		case AllBlocksCleared:
			p.kept = nil
		case BlockRemoved:
			for _, x := range e.Blocks {
				for i, k := range p.kept {
					if k.Hash == x.Hash {
						p.kept = append(p.kept[:i:i], p.kept[i+1:]...)
						break
					}
				}
			}
		}
	}
	return b
}

func (p *publisher) Replay(e Epoch, from Seq) (out []Batch) {
	for _, b := range p.ring {
		if e == p.e && b.Seq >= from {
			out = append(out, b)
		}
	}
	return
}

func (p *publisher) Snapshot(e Epoch) (Seq, []Block, bool) {
	return p.next - 1, p.kept, p.snaps && e == p.e && p.next > 0
}

func stored(bs ...Block) Event  { return Event{Kind: BlockStored, Blocks: bs} }
func removed(bs ...Block) Event { return Event{Kind: BlockRemoved, Blocks: bs} }

func prompt(extras []Extra, ids ...string) Chain {
	ns := make([]int64, len(ids))
	for i := range ns {
		ns[i] = 16
	}
	return Hashed(extras, ids, ns)
}

var base = []Extra{{"model", "m"}}

func tick(t *testing.T) *clock.Sim {
	sim := &clock.Sim{}
	t.Cleanup(sim.Use())
	sim.Move(clock.Second)
	return sim
}

func rise(name string) func() int64 {
	was := telemetry.Counter(name).Get()
	return func() int64 { return telemetry.Counter(name).Get() - was }
}

// other is a batch that has nothing to do with what is looked up.
func (p *publisher) other() Batch {
	return p.batch(stored(prompt(base, fmt.Sprintf("other-%d", p.next))...))
}

func (p *publisher) upTo(x *Index, n Seq) {
	for p.next < n {
		_ = x.Apply(p.other())
	}
}

// The source's complete eviction: stored at 100, removed at 148, looked up at 160.
func TestCompleteEviction(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 1000)
	x := New(p)
	h := prompt(base, "h")
	p.upTo(x, 100)
	is.NoErr(x.Apply(p.batch(stored(h...))))
	is.Equal(x.Lookup(p.e, h, Unlimited), Lookup{Tokens: 16})
	p.upTo(x, 148)
	is.NoErr(x.Apply(p.batch(removed(h...))))
	p.upTo(x, 161)
	is.Equal(x.Lookup(p.e, h, Unlimited).Miss, Evicted)
	is.Equal(x.Lookup(p.e, prompt(base, "never"), Unlimited).Miss, NoMatch)
	is.Equal(x.Lookup(Epoch{p.e.Publisher, "43"}, h, Unlimited).Miss, UnknownEpoch)
	is.Equal(x.Lookup(Epoch{Publisher{"s", "10.0.0.9:80", 0}, "1"}, h, Unlimited).Miss, UnknownEpoch)
}

// One batch that holds the removal is dropped: recovered by a replay, and not.
func TestRemovalDropped(t *testing.T) {
	for _, c := range []struct {
		room int
		miss Miss
	}{{1000, Evicted}, {3, UnknownHistory}} {
		is := is.New(t)
		tick(t)
		p := newPublisher("42", c.room)
		x := New(p)
		gap, back, gone := rise("kv.gaps"), rise("kv.replays"), rise("kv.unrecoverable")
		h := prompt(base, "h")
		is.NoErr(x.Apply(p.batch(stored(h...))))
		p.batch(removed(h...)) // never arrives
		for range 4 {
			p.other()
		}
		is.NoErr(x.Apply(p.other()))
		is.Equal(x.Lookup(p.e, h, Unlimited).Miss, c.miss)
		is.Equal(gap(), int64(1))
		is.Equal(back()+gone(), int64(1))
		is.Equal(gone() == 1, c.miss == UnknownHistory)
		is.Equal(x.Quarantined() == 1, c.miss == UnknownHistory)
	}
}

// 200 and then 207 asks for replay from 201; one that begins at 205 makes the
// epoch incomplete, and what comes on does not resume it.
func TestBeyondTheReplayWindow(t *testing.T) {
	is := is.New(t)
	sim := tick(t)
	p := newPublisher("42", 3)
	x := New(p)
	h := prompt(base, "h")
	p.upTo(x, 200)
	is.NoErr(x.Apply(p.batch(stored(h...)))) // 200
	v := x.Begin(p.e)
	is.Equal(v.expected(), Seq(201))
	for range 6 {
		p.other()
	}
	b := p.other()
	is.Equal(b.Seq, Seq(207))
	is.Equal(p.Replay(p.e, 201)[0].Seq, Seq(205))
	is.NoErr(x.Apply(b))
	is.True(v.Quarantined())
	n, trusted := v.Leading(h)
	is.True(n == 0 && !trusted) // its overlap counts for nothing
	untrusted := rise("kv.untrusted")
	for range 5 {
		is.NoErr(x.Apply(p.other())) // never silently resumed
		is.Equal(x.Lookup(p.e, h, Unlimited).Miss, UnknownHistory)
	}
	is.Equal(untrusted(), int64(5))
	sim.Move(3 * clock.Second)
	is.Equal(x.Status()[0].For, 3*clock.Second)
	quiet := rise("kv.quarantined-ms")
	p.snaps = true // a full snapshot restores it
	is.NoErr(x.Apply(p.other()))
	is.True(!v.Quarantined())
	is.Equal(quiet(), int64(3000))
	is.Equal(x.Lookup(p.e, h, Unlimited).Tokens, int64(16))
	is.Equal(v.expected(), p.next)
}

// A batch that says that nothing is kept any more makes a view anew.
func TestCleanRebuild(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 1)
	x := New(p)
	h, g := prompt(base, "h"), prompt(base, "g")
	is.NoErr(x.Apply(p.batch(stored(h...))))
	p.other()
	is.NoErr(x.Apply(p.other()))
	is.Equal(x.Quarantined(), 1)
	is.NoErr(x.Apply(p.batch(stored(h...), Event{Kind: AllBlocksCleared}, stored(g...))))
	is.Equal(x.Quarantined(), 0)
	is.Equal(x.Lookup(p.e, g, Unlimited).Tokens, int64(16))
	is.Equal(x.Lookup(p.e, h, Unlimited).Tokens, int64(0))
}

// A restart under the same rank: the old residency is gone, and the sequence
// that starts again is no duplicate. Batches of the old life come too late.
func TestRestart(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 1000)
	x := New(p)
	h, g := prompt(base, "h"), prompt(base, "g")
	p.upTo(x, 10)
	is.NoErr(x.Apply(p.batch(stored(h...))))
	late := p.other()
	q := newPublisher("43", 1000)
	x.src = q
	dup, old := rise("kv.duplicates"), rise("kv.stale")
	is.NoErr(x.Apply(q.batch(stored(g...)))) // 0 again
	is.Equal(dup(), int64(0))
	is.Equal(x.Lookup(q.e, h, Unlimited).Miss, NoMatch)
	is.Equal(x.Lookup(q.e, g, Unlimited).Tokens, int64(16))
	is.Equal(x.Lookup(p.e, h, Unlimited).Miss, UnknownEpoch)
	is.Equal(codes.Of(x.Apply(late)), codes.OldEpoch)
	is.Equal(old(), int64(1))
	is.Equal(x.Lookup(q.e, g, Unlimited).Tokens, int64(16))
	r := newPublisher("44", 1000) // another rank is another stream
	r.e.Rank = 1
	is.NoErr(x.Apply(r.batch(stored(h...))))
	is.Equal(x.Lookup(q.e, g, Unlimited).Tokens, int64(16))
	x.End(q.e)
	is.Equal(x.Lookup(q.e, g, Unlimited).Miss, UnknownEpoch)
}

// Every order in which batches of one life may arrive, each once or twice,
// gives the same view; so does a batch of another life in between.
func TestAnyOrder(t *testing.T) {
	h, g := prompt(base, "h", "i"), prompt(base, "g")
	n := interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		p := newPublisher("42", 0) // nothing can be replayed
		x := New(p)
		x.Begin(p.e)
		bs := []Batch{p.batch(stored(h...)), p.batch(removed(h[1])), p.batch(stored(g...)), p.batch(removed(g...), stored(h[1]))}
		apply := func(i int) func() { return func() { _ = x.Apply(bs[i]) } }
		return []interleave.Thread{interleave.Steps(apply(0), apply(2)), interleave.Steps(apply(1), apply(1)), interleave.Steps(apply(3))},
			func(o []int) {
				got := x.Lookup(p.e, h, Unlimited)
				v := x.Begin(p.e)
				if v.Quarantined() { // came before what it builds on, and was told as lost
					if got.Miss != UnknownHistory {
						t.Errorf("order %v: %v while in quarantine", o, got)
					}
					return
				}
				if got.Tokens != 32 || x.Lookup(p.e, g, Unlimited).Miss != Evicted || v.expected() != 4 {
					t.Errorf("order %v: %v, next %d", o, got, v.expected())
				}
			}
	})
	is.New(t).Equal(n, 30)
}

// Delay keeps the sequence whole, and a speculative entry bridges it. Loss does
// not, and no entry lives longer for it.
func TestDelayAndLoss(t *testing.T) {
	is := is.New(t)
	sim := tick(t)
	p := newPublisher("42", 1)
	x := New(p)
	x.SpeculativeFirst = 500 * clock.Millisecond
	v := x.Begin(p.e)
	h, g := prompt(base, "h"), prompt(base, "g")
	exp, conf := rise("kv.expired"), rise("kv.confirmed")
	v.Speculate(h)
	n, _ := v.Leading(h)
	is.Equal(n, 1)
	is.Equal(v.Tokens(), int64(0)) // kept apart
	sim.Move(300 * clock.Millisecond)
	is.NoErr(x.Apply(p.batch(stored(h...))))
	is.Equal(conf(), int64(1))
	is.Equal(x.Lookup(p.e, h, Unlimited), Lookup{Tokens: 16})
	v.Speculate(g)
	is.Equal(x.Lookup(p.e, g, Unlimited), Lookup{Speculative: 16})
	sim.Move(501 * clock.Millisecond)
	n, _ = v.Leading(g)
	is.Equal(n, 0)
	is.Equal(x.Lookup(p.e, g, Unlimited).Miss, NoMatch)
	v.Speculate(nil)
	is.Equal(exp(), int64(1))
	for range 200 { // measured: stored 20 ms after routing
		v.Speculate(g)
		sim.Move(20 * clock.Millisecond)
		is.NoErr(x.Apply(p.batch(stored(g...), removed(g...))))
	}
	d, ok := x.Latency.At(0.99)
	is.True(ok && d >= 20*clock.Millisecond && d < 30*clock.Millisecond)
	life := x.lifetime()
	is.True(life < 200*clock.Millisecond)
	p.other()
	p.other()
	is.NoErr(x.Apply(p.other())) // lost
	is.Equal(x.Quarantined(), 1)
	is.Equal(x.lifetime(), life)
}

// Another salt, adapter or token is another chain, however complete the history.
func TestRequestLevelMisses(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 100)
	x := New(p)
	salted := append(append([]Extra{}, base...), Extra{"salt", "a"})
	is.NoErr(x.Apply(p.batch(stored(prompt(salted, "1", "2")...))))
	is.Equal(x.Lookup(p.e, prompt(salted, "1", "2"), Unlimited), Lookup{Tokens: 32})
	for _, c := range []Chain{
		prompt(append(append([]Extra{}, base...), Extra{"salt", "b"}), "1", "2"),
		prompt(append(append([]Extra{}, base...), Extra{"adapter", "a"}), "1", "2"),
		prompt([]Extra{{"model", "n"}, {"salt", "a"}}, "1", "2"),
	} {
		is.Equal(x.Lookup(p.e, c, Unlimited), Lookup{Miss: NoMatch})
	}
	is.Equal(x.Lookup(p.e, prompt(salted, "1", "3"), Unlimited), Lookup{Tokens: 16, Miss: NoMatch})
}

// With blocks of 16 tokens, prompts of 16, 17, 32 and 33 find 0, 16, 16 and 32:
// the last token is computed again, so its block is not looked up.
func TestLookupBoundaries(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 100)
	x := New(p)
	is.NoErr(x.Apply(p.batch(stored(prompt(base, "1", "2")...))))
	for n, want := range map[int64]int64{16: 0, 17: 16, 32: 16, 33: 32} {
		c := prompt(base, []string{"1", "2"}[:n/16]...)
		l := x.Lookup(p.e, c, Limit(n))
		is.Equal(l.Tokens, want)
		is.Equal(l.Miss == LookupLimit, n%16 == 0)
	}
}

// What cannot be read is counted, has a code, and changes nothing.
func TestBadBatches(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 100)
	x := New(p)
	h := prompt(base, "h")
	is.NoErr(x.Apply(p.batch(stored(h...))))
	bad, odd, dup := rise("kv.malformed"), rise("kv.unknown-removals"), rise("kv.duplicates")
	many := make([]Block, blocksMost+1)
	cases := []Batch{
		{},
		{Epoch: p.e, Seq: 1},
		{Epoch: Epoch{p.e.Publisher, ""}, Seq: 1, Events: []Event{stored(h...)}},
		{Epoch: Epoch{Publisher{}, "42"}, Seq: 1, Events: []Event{stored(h...)}},
		{Epoch: p.e, Seq: 1, Events: []Event{{Kind: 9, Blocks: h}}},
		{Epoch: p.e, Seq: 1, Events: []Event{{Kind: BlockStored, Grade: 7, Blocks: h}}},
		{Epoch: p.e, Seq: 1, Events: []Event{{Kind: BlockStored}}},
		{Epoch: p.e, Seq: 1, Events: []Event{{Kind: AllBlocksCleared, Blocks: h}}},
		{Epoch: p.e, Seq: 1, Events: []Event{stored(Block{1, -5})}},
		{Epoch: p.e, Seq: 1, Events: []Event{stored(many...)}},
		{Epoch: p.e, Seq: 1, Events: make([]Event, eventsMost+1)},
	}
	for _, b := range cases {
		is.Equal(codes.Of(x.Apply(b)), codes.BadBatch)
	}
	is.Equal(bad(), int64(len(cases)))
	is.Equal(x.Lookup(p.e, h, Unlimited).Tokens, int64(16))
	is.NoErr(x.Apply(Batch{p.e, 0, []Event{removed(h...)}})) // backwards
	is.Equal(dup(), int64(1))
	g := prompt(base, "g")
	is.NoErr(x.Apply(p.batch(removed(g...))))
	is.Equal(odd(), int64(1))
	is.Equal(x.Lookup(p.e, g, Unlimited).Miss, NoMatch) // not said to be evicted
	is.Equal(x.Lookup(p.e, h, Unlimited).Tokens, int64(16))
	p.ring = nil
	far := Batch{p.e, 1 << 60, []Event{stored(g...)}}
	is.NoErr(x.Apply(far))
	is.Equal(x.Quarantined(), 1)
}

// What waits behind a gap is bounded, and so is what a view holds.
func TestBounded(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 0)
	x := New(p)
	v := x.Begin(p.e)
	v.Bound(160)
	for range 50 {
		is.NoErr(x.Apply(p.other()))
	}
	is.Equal(v.Tokens(), int64(160))
	is.Equal(x.Lookup(p.e, prompt(base, "other-3"), Unlimited).Miss, Evicted) // it had to give way
	p.other()
	for range 2 * waitingMost {
		is.NoErr(x.Apply(p.other()))
	}
	is.True(len(v.waiting) <= waitingMost)
	is.True(v.Quarantined())
	for i := range 3 * specsMost {
		v.Speculate(prompt(base, fmt.Sprintf("spec-%d", i)))
	}
	is.True(len(v.spec) <= specsMost)
}

// A publisher that says how far it has come shows a loss at the end as well.
func TestHeard(t *testing.T) {
	is := is.New(t)
	tick(t)
	p := newPublisher("42", 2)
	x := New(p)
	h := prompt(base, "h")
	is.NoErr(x.Apply(p.batch(stored(h...))))
	x.Heard(p.e, 0)
	is.Equal(x.Quarantined(), 0)
	p.batch(removed(h...))
	x.Heard(p.e, 1)
	is.Equal(x.Lookup(p.e, h, Unlimited).Miss, Evicted) // replayed
	p.other()
	p.other()
	p.other()
	x.Heard(p.e, 4)
	is.Equal(x.Quarantined(), 1)
	p.room = 10
	p.ring = nil
	late := Batch{p.e, 2, []Event{stored(h...)}}
	p.ring = []Batch{late, {p.e, 3, []Event{removed(h...)}}, {p.e, 4, []Event{stored(h...)}}}
	x.Heard(p.e, 4) // what was missing came after all
	is.Equal(x.Quarantined(), 0)
	is.Equal(x.Lookup(p.e, h, Unlimited).Tokens, int64(16))
}

func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5})
	f.Add([]byte{9, 9, 1, 1, 200, 3, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) {
		p := newPublisher("42", 3)
		x := New(p)
		for i := 0; i+2 < len(in); i += 3 {
			b := Batch{p.e, Seq(in[i] % 16), []Event{{Kind: Kind(in[i+1] % 5), Grade: Grade(in[i+2] % 3)}}}
			if in[i+1]%5 != byte(AllBlocksCleared) {
				b.Events[0].Blocks = []Block{{uint64(in[i+2] % 8), int64(in[i+2])}}
			}
			_ = x.Apply(b)
			v := x.Begin(p.e)
			l := x.Lookup(p.e, Chain{{uint64(in[i+2] % 8), 1}}, Unlimited)
			if v.Quarantined() && (l.Miss != UnknownHistory || l.Tokens != 0) {
				t.Fatal("trusted in quarantine")
			}
		}
	})
}
