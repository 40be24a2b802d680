// Package consensus is the control plane: registers with one owner per lease, each
// change on a majority of disks before it is answered.
package consensus

import (
	"bytes"
	"encoding/gob"
	"slices"

	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
)

// Roster is the set of keepers whose disks count. While Next is not empty a
// change of the roster is under way and majorities of both are needed.
type Roster struct {
	Num  uint64
	Seat []ids.Node
	Next []ids.Node
}

// All are the keepers of both sets, each once.
func (r Roster) All() []ids.Node {
	out := slices.Clone(r.Seat)
	for _, n := range r.Next {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// Has tells whether n has a seat.
func (r Roster) Has(n ids.Node) bool { return slices.Contains(r.All(), n) }

func majority(seat []ids.Node, in func(ids.Node) bool) bool {
	k := 0
	for _, n := range seat {
		if in(n) {
			k++
		}
	}
	return k > len(seat)/2
}

// Majority tells whether those that in names are a majority of each set.
func (r Roster) Majority(in func(ids.Node) bool) bool {
	if guards.Off(guards.Majority) {
		return slices.ContainsFunc(r.All(), in)
	}
	return len(r.Seat) > 0 && majority(r.Seat, in) && (len(r.Next) == 0 || majority(r.Next, in))
}

// Covers tells whether every majority that self may have been part of holds
// another that in names.
func (r Roster) Covers(self ids.Node, in func(ids.Node) bool) bool {
	ok := func(seat []ids.Node) bool {
		k, n := 0, 0
		for _, s := range seat {
			if s == self {
				continue
			}
			n++
			if in(s) {
				k++
			}
		}
		return n-k < len(seat)/2+1-(len(seat)-n)
	}
	return len(r.Seat) > 0 && ok(r.Seat) && (len(r.Next) == 0 || ok(r.Next))
}

// Encode is the roster as bytes.
func (r Roster) Encode() []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(r) != nil {
		return nil
	}
	return b.Bytes()
}

// DecodeRoster reads a roster.
func DecodeRoster(b []byte) (Roster, bool) {
	var r Roster
	if len(b) == 0 {
		return r, false
	}
	err := gob.NewDecoder(bytes.NewReader(b)).Decode(&r)
	return r, err == nil
}
