// Package kvindex is what a relay knows of the blocks that replicas keep: the
// index that numbered batches of events build, and how far it may be trusted.
// It does not know where the batches come from.
package kvindex

import (
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Publisher is the stable identity of a replica, or of one data-parallel rank
// of it.
type Publisher struct {
	Service ids.Service
	Addr    ids.Addr
	Rank    int
}

// Epoch is one lifetime of a publisher's process. Numbers of batches mean
// nothing beyond it. A rank, or a counter that starts again, is no lifetime.
type Epoch struct {
	Publisher
	Life ids.Replica
}

// Seq is the number of a batch within its epoch. The first is 0.
type Seq uint64

// Kind tells what happened to blocks.
type Kind int

// The kinds of events.
const (
	BlockStored Kind = iota + 1
	BlockRemoved
	AllBlocksCleared
)

// Grade tells how an event is known.
type Grade int

// The grades: told by the publisher itself, or concluded from its answers.
const (
	Observed Grade = iota
	Inferred
)

// String names the grade.
func (g Grade) String() string { return [...]string{"observed", "inferred"}[g] }

// Event is one change of what a replica keeps.
type Event struct {
	Kind   Kind
	Grade  Grade
	Blocks []Block
}

// Batch is what a publisher tells at once.
type Batch struct {
	Epoch  Epoch
	Seq    Seq
	Events []Event
}

const (
	eventsMost = 256
	blocksMost = 4096
)

func (b *Batch) check() error {
	if b.Epoch.Life == "" || b.Epoch.Addr == "" {
		return codes.New(codes.BadBatch, "no epoch")
	}
	if len(b.Events) == 0 || len(b.Events) > eventsMost {
		return codes.New(codes.BadBatch, "%d events", len(b.Events))
	}
	n := 0
	for _, e := range b.Events {
		switch {
		case e.Kind < BlockStored || e.Kind > AllBlocksCleared, e.Grade < Observed || e.Grade > Inferred:
			return codes.New(codes.BadBatch, "event of kind %d, grade %d", e.Kind, e.Grade)
		case e.Kind == AllBlocksCleared && len(e.Blocks) > 0, e.Kind != AllBlocksCleared && len(e.Blocks) == 0:
			return codes.New(codes.BadBatch, "event of kind %d with %d blocks", e.Kind, len(e.Blocks))
		}
		for _, k := range e.Blocks {
			if k.Tokens < 0 {
				return codes.New(codes.BadBatch, "block of %d tokens", k.Tokens)
			}
		}
		n += len(e.Blocks)
	}
	if n > blocksMost {
		return codes.New(codes.BadBatch, "%d blocks", n)
	}
	return nil
}
