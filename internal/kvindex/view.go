package kvindex

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/lru"
	"spoolswitch/internal/telemetry"
)

// View is what one epoch of a publisher keeps, as far as its batches told.
type View struct {
	x     *Index
	epoch Epoch

	mu       sync.Mutex
	next     Seq
	upto     Seq
	began    bool
	blocks   *lru.Cache[resident]
	gone     *lru.Cache[struct{}]
	spec     map[uint64]hope
	line     []hopeful
	waiting  map[Seq]Batch
	gap      bool
	lost     bool
	since    clock.Tick
	closed   bool
	second   int64
	inSecond int
	peak     int
}

type resident struct {
	tokens int64
	used   clock.Tick
	grade  Grade
}

const (
	capacityDefault = 200000
	goneMost        = 4096
	specsMost       = 8192
	waitingMost     = 256
)

func newView(x *Index, e Epoch) *View {
	v := &View{x: x, epoch: e, blocks: lru.New[resident](capacityDefault), gone: lru.New[struct{}](goneMost),
		spec: map[uint64]hope{}, waiting: map[Seq]Batch{}}
	v.blocks.Dropped = v.evicted
	return v
}

func (v *View) evicted(k uint64, _ resident) { v.gone.Put(k, struct{}{}, 1) }

func (v *View) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leave()
	v.closed = true
	v.clear()
	v.spec, v.line = map[uint64]hope{}, nil
}

// Bound says how many tokens the replica can keep. What is beyond has given way.
func (v *View) Bound(tokens int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.blocks.Bound(tokens)
}

func (v *View) expected() Seq {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.next
}

// take applies a batch that is in its place, with what waited behind it. It
// tells false if a replay has to be asked for.
func (v *View) take(b Batch) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return true
	}
	v.count()
	v.upto = max(v.upto, b.Seq+1)
	switch {
	case b.Seq < v.next:
		duplicates.Add(1)
		return true
	case b.Seq == v.next && !v.lost:
		v.apply(b)
		v.drain()
		return true
	}
	if !v.gap {
		v.gap = true
		gaps.Add(1)
	}
	if _, ok := v.waiting[b.Seq]; ok {
		duplicates.Add(1)
		return true
	}
	if len(v.waiting) < waitingMost {
		v.waiting[b.Seq] = b
	} else if !v.lost {
		v.quarantine()
	}
	return false
}

func (v *View) behind(newest Seq) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upto = max(v.upto, newest+1)
	if v.closed || newest < v.next {
		return false
	}
	if !v.gap {
		v.gap = true
		gaps.Add(1)
	}
	return true
}

// replayed takes in what a replay brought. If it does not begin where it must,
// the epoch is incomplete.
func (v *View) replayed(bs []Batch) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed || !v.gap {
		return true
	}
	filled := false
	for _, b := range bs {
		if b.Seq == v.next {
			v.apply(b)
			filled = true
		}
	}
	v.drain()
	if !filled || v.gap {
		if !v.lost {
			unrecoverable.Add(1)
			v.quarantine()
		}
		return false
	}
	replays.Add(1)
	v.trust()
	return true
}

// drain applies what waited and is in its place now.
func (v *View) drain() {
	for {
		b, ok := v.waiting[v.next]
		if !ok {
			break
		}
		delete(v.waiting, v.next)
		v.apply(b)
	}
	for s := range v.waiting {
		if s < v.next {
			delete(v.waiting, s)
		}
	}
	v.gap = v.next < v.upto
}

func (v *View) apply(b Batch) {
	v.next, v.began = b.Seq+1, true
	for _, e := range b.Events {
		v.event(e)
	}
}

func (v *View) event(e Event) {
	now := clock.Now()
	switch e.Kind {
	case AllBlocksCleared:
		v.clear()
	case BlockRemoved:
		for _, k := range e.Blocks {
			if v.blocks.Remove(k.Hash) {
				v.gone.Put(k.Hash, struct{}{}, 1)
			} else {
				unknownBlocks.Add(1)
			}
		}
	case BlockStored:
		// the last blocks of a chain give way first
		for i := len(e.Blocks) - 1; i >= 0; i-- {
			k := e.Blocks[i]
			v.gone.Remove(k.Hash)
			v.blocks.Put(k.Hash, resident{k.Tokens, now, e.Grade}, max(1, k.Tokens))
			if h, ok := v.spec[k.Hash]; ok {
				delete(v.spec, k.Hash)
				if now < h.until {
					confirmed.Add(1)
				} else {
					expired.Add(1)
				}
				v.x.Latency.See(now.Sub(h.routed))
			}
		}
	}
}

func (v *View) clear() {
	v.blocks.Each(func(k uint64, _ resident) bool {
		v.gone.Put(k, struct{}{}, 1)
		return true
	})
	v.blocks.Clear()
}

func (v *View) quarantine() {
	if v.lost {
		return
	}
	v.lost, v.since = true, clock.Now()
	telemetry.State("cache view quarantined", "replica", v.epoch.Life, "next", v.next)
}

var inQuarantine = telemetry.Counter("kv.quarantined-ms")

func (v *View) leave() {
	if v.lost {
		inQuarantine.Add(int64(clock.Since(v.since) / clock.Millisecond))
		v.lost = false
	}
}

func (v *View) trust() {
	if v.lost {
		v.leave()
		telemetry.State("cache view trusted again", "replica", v.epoch.Life, "next", v.next)
	}
}

// snapshot replaces the view by all that the publisher keeps as of a batch.
func (v *View) snapshot(at Seq, blocks []Block) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed || at+1 < v.next {
		return false
	}
	v.blocks.Clear()
	v.gone.Clear()
	v.next, v.began = at+1, true
	if len(blocks) > 0 {
		v.event(Event{Kind: BlockStored, Grade: Inferred, Blocks: blocks})
	}
	return v.renewed()
}

func (v *View) renewed() bool {
	v.drain()
	if v.gap {
		return false
	}
	rebuilds.Add(1)
	v.trust()
	return true
}

// rebuild starts anew from a batch that says that nothing is kept any more:
// what came before does not matter then.
func (v *View) rebuild(b *Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	from := -1
	for i, e := range b.Events {
		if e.Kind == AllBlocksCleared {
			from = i
		}
	}
	if v.closed || !v.lost || from < 0 {
		untrusted.Add(1)
		return
	}
	delete(v.waiting, b.Seq)
	v.blocks.Clear()
	v.gone.Clear()
	v.apply(Batch{b.Epoch, b.Seq, b.Events[from:]})
	v.renewed()
}
