package consensus

import (
	"bytes"
	"encoding/gob"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Store keeps records; an error means that the record does not count.
type Store interface {
	Append(p []byte) error
	Long(live int64) bool
	Rewrite(ps [][]byte) error
}

type entry struct {
	Key    ids.Key
	Cell   Cell
	Roster *Roster
	Voting bool
	// Unvoted says that this disk was empty at the first start of the system, and
	// Founders are the seeds of that start.
	Unvoted  bool
	Founders []ids.Node
}

func (e *entry) encode() []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(e) != nil {
		return nil
	}
	return b.Bytes()
}

// Volatile is the store of a keeper without a disk: each start is that of a
// lost one.
type Volatile struct{}

// Append keeps nothing.
func (Volatile) Append([]byte) error { return nil }

// Long is never so.
func (Volatile) Long(int64) bool { return false }

// Rewrite has nothing to rewrite.
func (Volatile) Rewrite([][]byte) error { return nil }

type shut struct{}

func (shut) Append([]byte) error { return codes.New(codes.DiskRefused, "closed") }

func (shut) Long(int64) bool { return false }

func (shut) Rewrite([][]byte) error { return codes.New(codes.DiskRefused, "closed") }
