package kvindex

import (
	"slices"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Source is the publishers' end: what may still be asked of them.
type Source interface {
	// Replay returns the buffered batches at or after a number.
	Replay(e Epoch, from Seq) []Batch
	// Snapshot returns all that the publisher keeps as of a batch, if it can tell.
	Snapshot(e Epoch) (at Seq, blocks []Block, ok bool)
}

// Index holds a view of each publisher.
type Index struct {
	// SpeculativeFirst is how long a speculative entry lives before its
	// latency has been measured.
	SpeculativeFirst clock.Span
	Latency          Latency

	src   Source
	mu    sync.Mutex
	views map[Publisher]*View
	past  map[ids.Replica]clock.Tick
}

var (
	gaps          = telemetry.Counter("kv.gaps")
	replays       = telemetry.Counter("kv.replays")
	unrecoverable = telemetry.Counter("kv.unrecoverable")
	epochs        = telemetry.Counter("kv.epochs")
	duplicates    = telemetry.Counter("kv.duplicates")
	stale         = telemetry.Counter("kv.stale")
	malformed     = telemetry.Counter("kv.malformed")
	untrusted     = telemetry.Counter("kv.untrusted")
	unknownBlocks = telemetry.Counter("kv.unknown-removals")
	rebuilds      = telemetry.Counter("kv.rebuilds")
	confirmed     = telemetry.Counter("kv.confirmed")
	expired       = telemetry.Counter("kv.expired")
)

const (
	specDefault = 2 * clock.Second
	specLeast   = 100 * clock.Millisecond
	specMost    = 10 * clock.Second
	pastKept    = 10 * clock.Minute
)

// New makes an index over the publishers' end.
func New(src Source) *Index {
	return &Index{src: src, views: map[Publisher]*View{}, past: map[ids.Replica]clock.Tick{}}
}

// lifetime of speculative entries: twice the P99 of what was measured. Loss
// has no part in it.
func (x *Index) lifetime() clock.Span {
	if d, ok := x.Latency.At(0.99); ok {
		return min(max(2*d, specLeast), specMost)
	}
	if x.SpeculativeFirst > 0 {
		return x.SpeculativeFirst
	}
	return specDefault
}

// Begin says which epoch of a publisher is the current one. The view of
// another is discarded whole.
func (x *Index) Begin(e Epoch) *View {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.views[e.Publisher]
	if v != nil && v.epoch == e {
		return v
	}
	if v != nil {
		x.end(v)
	}
	delete(x.past, e.Life)
	epochs.Add(1)
	v = newView(x, e)
	x.views[e.Publisher] = v
	return v
}

// End discards an epoch that is over.
func (x *Index) End(e Epoch) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if v := x.views[e.Publisher]; v != nil && v.epoch == e {
		x.end(v)
		delete(x.views, e.Publisher)
	}
}

func (x *Index) end(v *View) {
	now := clock.Now()
	for l, at := range x.past {
		if now.Sub(at) > pastKept {
			delete(x.past, l)
		}
	}
	x.past[v.epoch.Life] = now
	v.close()
}

// view finds the view that a batch is for. A life that was never heard of is a
// new epoch; one that is over is none.
func (x *Index) view(e Epoch) *View {
	x.mu.Lock()
	v := x.views[e.Publisher]
	_, over := x.past[e.Life]
	x.mu.Unlock()
	switch {
	case over:
		return nil
	case v != nil && v.epoch == e:
		return v
	}
	return x.Begin(e)
}

// Apply takes a batch in: in its place only, or after a replay that fills the
// gap before it.
func (x *Index) Apply(b Batch) error {
	if err := b.check(); err != nil {
		malformed.Add(1)
		return err
	}
	v := x.view(b.Epoch)
	if v == nil {
		stale.Add(1)
		return codes.New(codes.OldEpoch, "%s", b.Epoch.Life)
	}
	if v.take(b) {
		return nil
	}
	x.recover(v, &b)
	return nil
}

// Heard says how far a publisher has come, should the batch itself not arrive.
func (x *Index) Heard(e Epoch, newest Seq) {
	x.mu.Lock()
	v := x.views[e.Publisher]
	x.mu.Unlock()
	if v != nil && v.epoch == e && v.behind(newest) {
		x.recover(v, nil)
	}
}

func (x *Index) recover(v *View, b *Batch) {
	bs := x.src.Replay(v.epoch, v.expected())
	bs = slices.DeleteFunc(bs, func(o Batch) bool { return o.check() != nil || o.Epoch != v.epoch })
	slices.SortFunc(bs, func(p, q Batch) int { return int(p.Seq) - int(q.Seq) })
	if v.replayed(bs) {
		return
	}
	if at, blocks, ok := x.src.Snapshot(v.epoch); ok && v.snapshot(at, blocks) {
		return
	}
	if b != nil {
		v.rebuild(b)
	}
}

// Quarantined is how many views may not be trusted now.
func (x *Index) Quarantined() (n int) {
	for _, v := range x.all() {
		if v.Quarantined() {
			n++
		}
	}
	return n
}

func (x *Index) all() []*View {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]*View, 0, len(x.views))
	for _, v := range x.views {
		out = append(out, v)
	}
	return out
}

// Status is how one view stands.
type Status struct {
	Epoch       Epoch
	Next        Seq
	Gap         bool
	Quarantined bool
	For         clock.Span
	Blocks      int
	Tokens      int64
	Speculative int
	// PeakPerS is the most batches that came in one second.
	PeakPerS int
}

// Status tells how the views stand that ever took a batch in.
func (x *Index) Status() []Status {
	var out []Status
	for _, v := range x.all() {
		if s := v.status(); s.Next > 0 || s.Quarantined {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Epoch.Life < b.Epoch.Life {
			return -1
		}
		return 1
	})
	return out
}
