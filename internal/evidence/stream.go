package evidence

import (
	"slices"
	"sync"

	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/telemetry"
)

// Outcome is what became of an attempt, as far as it says what is kept.
type Outcome int

// The outcomes: an answer has shown that the prompt was read; the replica said
// that it did not run; nobody will know.
const (
	open Outcome = iota
	Read
	NotRun
	Unseen
)

var (
	attempts = telemetry.Counter("evidence.attempts")
	unseen   = telemetry.Counter("evidence.unseen")
	late     = telemetry.Counter("evidence.late")
)

// Stream is the publisher of one life of a replica.
type Stream struct {
	Epoch kvindex.Epoch
	View  *kvindex.View

	d    *Desk
	pub  sync.Mutex
	mu   sync.Mutex
	line []*Attempt
	seq  kvindex.Seq
	ring []kvindex.Batch
	shut bool

	holed  bool
	proofs int
	proven []kvindex.Block
}

// Attempt is one request sent to the replica.
type Attempt struct {
	s       *Stream
	outcome Outcome
	events  []kvindex.Event
	seq     kvindex.Seq
	out     bool
}

const provenMost = 4096

// Sent numbers an attempt.
func (s *Stream) Sent() *Attempt {
	attempts.Add(1)
	a := &Attempt{s: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line = append(s.line, a)
	return a
}

// Add adds an event to what the attempt's outcome will bring.
func (a *Attempt) Add(e kvindex.Event) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	if a.outcome == open {
		a.events = append(a.events, e)
	}
}

// Settle says what became of the attempt. The first word counts, but for one
// that was Unseen and is Read after all.
func (a *Attempt) Settle(o Outcome, es ...kvindex.Event) {
	s := a.s
	s.mu.Lock()
	switch {
	case a.outcome == open:
		a.outcome, a.events = o, append(a.events, es...)
		if o == Unseen {
			unseen.Add(1)
		}
	case a.outcome == Unseen && o == Read && len(es) > 0:
		a.outcome, a.events = o, append(a.events, es...)
		late.Add(1)
		if a.out {
			s.insert(kvindex.Batch{Epoch: s.Epoch, Seq: a.seq, Events: a.events})
		}
	default:
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.release()
}

// Tell publishes events that belong to no attempt, behind those sent before.
func (s *Stream) Tell(es ...kvindex.Event) {
	if len(es) > 0 {
		s.Sent().Settle(Read, es...)
	}
}

// release publishes what is settled, in the order of sending.
func (s *Stream) release() {
	s.pub.Lock()
	defer s.pub.Unlock()
	steps, _ := s.d.bounds()
	s.mu.Lock()
	var out []kvindex.Batch
	for len(s.line) > 0 && s.line[0].outcome != open {
		a := s.line[0]
		s.line = s.line[1:]
		if s.shut || a.outcome != Unseen && len(a.events) == 0 {
			continue
		}
		a.seq, a.out = s.seq, true
		s.seq++
		if a.outcome == Unseen {
			s.holed, s.proofs, s.proven = true, 0, nil
			continue
		}
		b := kvindex.Batch{Epoch: s.Epoch, Seq: a.seq, Events: a.events}
		out = append(out, b)
		s.insert(b)
		s.prove(a.events)
	}
	if n := len(s.ring) - steps; n > 0 {
		s.ring = append([]kvindex.Batch(nil), s.ring[n:]...)
		s.d.keeps(-n)
	}
	newest, any, shut := s.seq, s.seq > 0, s.shut
	s.mu.Unlock()
	if shut {
		return
	}
	for _, b := range out {
		_ = s.d.Index.Apply(b)
	}
	if any {
		s.d.Index.Heard(s.Epoch, newest-1)
	}
}

func (s *Stream) insert(b kvindex.Batch) {
	i, _ := slices.BinarySearchFunc(s.ring, b.Seq, func(o kvindex.Batch, n kvindex.Seq) int { return int(o.Seq) - int(n) })
	s.ring = slices.Insert(s.ring, i, b)
	s.d.keeps(1)
}

func (s *Stream) prove(es []kvindex.Event) {
	if !s.holed {
		return
	}
	for _, e := range es {
		switch e.Kind {
		case kvindex.BlockStored:
			s.proofs++
			s.drop(e.Blocks)
			s.proven = append(s.proven, e.Blocks...)
			if n := len(s.proven) - provenMost; n > 0 {
				s.proven = s.proven[n:]
			}
		case kvindex.BlockRemoved:
			s.drop(e.Blocks)
		case kvindex.AllBlocksCleared:
			s.proven = nil
		}
	}
}

func (s *Stream) drop(bs []kvindex.Block) {
	s.proven = slices.DeleteFunc(s.proven, func(p kvindex.Block) bool {
		return slices.ContainsFunc(bs, func(b kvindex.Block) bool { return b.Hash == p.Hash })
	})
}

func (s *Stream) replay(from kvindex.Seq) []kvindex.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearchFunc(s.ring, from, func(o kvindex.Batch, n kvindex.Seq) int { return int(o.Seq) - int(n) })
	return slices.Clone(s.ring[i:])
}

func (s *Stream) snapshot() (kvindex.Seq, []kvindex.Block, bool) {
	_, most := s.d.bounds()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holed || s.proofs < most || s.seq == 0 {
		return 0, nil, false
	}
	bs := s.proven
	s.holed, s.proofs, s.proven = false, 0, nil
	return s.seq - 1, bs, true
}

func (s *Stream) close() {
	s.mu.Lock()
	n := len(s.ring)
	s.shut, s.ring, s.line, s.proven = true, nil, nil, nil
	s.mu.Unlock()
	s.d.keeps(-n)
}
