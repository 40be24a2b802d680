package list

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"
	"strings"

	"spoolswitch/internal/word"
)

// Delta is what changed from one list to the next.
type Delta struct {
	Up   []Replica
	Gone []word.Replica
}

// Diff tells what changed from one encoded list to another; nil if either
// cannot be read, or if the whole is no larger.
func Diff(old, fresh []byte) []byte {
	a, ok := Decode(old)
	b, ok2 := Decode(fresh)
	if !ok || !ok2 {
		return nil
	}
	var d Delta
	had := map[word.Replica]*Replica{}
	for i := range a {
		had[a[i].ID] = &a[i]
	}
	for _, r := range b {
		// how cold a replica was counts from when that was read, so one that is
		// or was cold is always told of
		if o := had[r.ID]; o == nil || !alike(o, &r) || r.ColdMs > 0 || o.ColdMs > 0 {
			d.Up = append(d.Up, r)
		}
		delete(had, r.ID)
	}
	d.Gone = slices.Sorted(maps.Keys(had))
	var out bytes.Buffer
	if gob.NewEncoder(&out).Encode(d) != nil || out.Len() >= len(fresh) {
		return nil
	}
	return out.Bytes()
}

// Patch makes the encoded list that a change from another leads to.
func Patch(old, change []byte) ([]byte, bool) {
	rs, ok := Decode(old)
	d, ok2 := DecodeDelta(change)
	if !ok || !ok2 {
		return nil, false
	}
	gone := map[word.Replica]bool{}
	for _, id := range d.Gone {
		gone[id] = true
	}
	for _, r := range d.Up {
		gone[r.ID] = true
	}
	rs = slices.DeleteFunc(rs, func(r Replica) bool { return gone[r.ID] })
	rs = append(rs, d.Up...)
	slices.SortFunc(rs, func(a, b Replica) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return Encode(rs), true
}

// DecodeDelta reads what changed.
func DecodeDelta(b []byte) (Delta, bool) {
	var d Delta
	err := gob.NewDecoder(bytes.NewReader(b)).Decode(&d)
	return d, err == nil
}
