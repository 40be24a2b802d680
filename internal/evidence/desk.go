// Package evidence publishes what the answers of replicas let a relay conclude
// about the blocks that they keep. Replicas here tell no such thing themselves:
// each life's attempts are numbered as they are sent, and their outcomes become
// one sequence of batches, in that order, as late as they come.
package evidence

import (
	"sync"

	"spoolswitch/internal/kvindex"
)

// Sizing bounds what is kept for replays: Steps batches of one stream, and Total
// of all together.
type Sizing struct{ Steps, Total int }

// Desk holds the streams of a relay, and the index that they feed.
type Desk struct {
	Index *kvindex.Index

	mu      sync.Mutex
	sizing  Sizing
	proofs  int
	streams map[kvindex.Epoch]*Stream
	kept    int
}

// ProofsDefault is how many outcomes after a hole make a view again.
const ProofsDefault = 3

// SizingDefault is enough for a small fleet.
var SizingDefault = Sizing{Steps: 1500, Total: 3000}

// NewDesk makes an empty desk and its index.
func NewDesk() *Desk {
	d := &Desk{streams: map[kvindex.Epoch]*Stream{}, sizing: SizingDefault, proofs: ProofsDefault}
	d.Index = kvindex.New(d)
	return d
}

// Bounds changes what is kept, and how many outcomes after a hole make a view.
func (d *Desk) Bounds(s Sizing, proofs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sizing, d.proofs = s, max(1, proofs)
}

// Open begins the stream of a life.
func (d *Desk) Open(e kvindex.Epoch) *Stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streams[e]
	if s == nil {
		s = &Stream{d: d, Epoch: e, View: d.Index.Begin(e)}
		d.streams[e] = s
	}
	return s
}

// Close ends the stream of a life that is over.
func (d *Desk) Close(e kvindex.Epoch) {
	d.mu.Lock()
	s := d.streams[e]
	delete(d.streams, e)
	d.mu.Unlock()
	d.Index.End(e)
	if s != nil {
		s.close()
	}
}

func (d *Desk) stream(e kvindex.Epoch) *Stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.streams[e]
}

func (d *Desk) bounds() (steps, proofs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	steps = d.sizing.Steps
	if d.sizing.Total > 0 && d.kept >= d.sizing.Total {
		steps = 1
	}
	return steps, d.proofs
}

func (d *Desk) keeps(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept += n
}

// Replay returns the buffered batches at or after a number.
func (d *Desk) Replay(e kvindex.Epoch, from kvindex.Seq) []kvindex.Batch {
	if s := d.stream(e); s != nil {
		return s.replay(from)
	}
	return nil
}

// Snapshot returns what was proven to be kept since the last hole, once enough
// outcomes did.
func (d *Desk) Snapshot(e kvindex.Epoch) (kvindex.Seq, []kvindex.Block, bool) {
	if s := d.stream(e); s != nil {
		return s.snapshot()
	}
	return 0, nil, false
}

// Oldest is the oldest batch of a life that can be replayed.
func (d *Desk) Oldest(e kvindex.Epoch) (kvindex.Seq, bool) {
	if s := d.stream(e); s != nil {
		if bs := s.replay(0); len(bs) > 0 {
			return bs[0].Seq, true
		}
	}
	return 0, false
}

var _ kvindex.Source = (*Desk)(nil)
