package discovery

import (
	"bytes"
	"encoding/gob"
	"maps"
	"math"
	"slices"
	"strings"

	"spoolswitch/internal/ids"
)

// Delta is what changed from one list to the next: replicas that are new or
// other than they were, and those that are no longer listed. How cold a replica
// is is told again only if that cannot be worked out from the time between the
// two readings.
type Delta struct {
	Read Reading
	Up   []Replica
	Gone []ids.Replica
}

// coldSlackMs is by how much the time that a replica stays cold may differ from
// what was expected without being told again.
const coldSlackMs = 250

// Diff tells what changed from one encoded list to another; nil if either
// cannot be read, or if the whole is no larger.
func Diff(old, fresh []byte) []byte {
	a, ok := decode(old)
	b, ok2 := decode(fresh)
	if !ok || !ok2 {
		return nil
	}
	passed, known := b.Read.since(a.Read)
	d := Delta{Read: b.Read}
	had := map[ids.Replica]*Replica{}
	for i := range a.Replicas {
		had[a.Replicas[i].ID] = &a.Replicas[i]
	}
	for _, r := range b.Replicas {
		if o := had[r.ID]; o == nil || !alike(o, &r) || !coldAsExpected(o, &r, passed, known) {
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

// coldAsExpected tells whether who knows how cold a replica was also knows how
// cold it is, some milliseconds later if that is known.
func coldAsExpected(old, fresh *Replica, passed float64, known bool) bool {
	if !known {
		return old.ColdMs == 0 && fresh.ColdMs == 0
	}
	return math.Abs(fresh.ColdMs-warmed(old.ColdMs, passed)) <= coldSlackMs
}

// warmed is how much longer a replica stays cold some milliseconds later.
func warmed(coldMs, passed float64) float64 { return max(0, coldMs-passed) }

// Patch makes the encoded list that a change from another leads to; false if
// either cannot be read. How cold replicas are may be off by coldSlackMs.
func Patch(old, change []byte) ([]byte, bool) {
	l, ok := decode(old)
	d, ok2 := DecodeDelta(change)
	if !ok || !ok2 {
		return nil, false
	}
	replaced := map[ids.Replica]bool{}
	for _, id := range d.Gone {
		replaced[id] = true
	}
	for _, r := range d.Up {
		replaced[r.ID] = true
	}
	rs := slices.DeleteFunc(l.Replicas, func(r Replica) bool { return replaced[r.ID] })
	if passed, known := d.Read.since(l.Read); known {
		for i := range rs {
			rs[i].ColdMs = warmed(rs[i].ColdMs, passed)
		}
	}
	rs = append(rs, d.Up...)
	slices.SortFunc(rs, func(a, b Replica) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return EncodeRead(rs, d.Read), true
}

// DecodeDelta reads what changed; false if the bytes are no change.
func DecodeDelta(b []byte) (Delta, bool) {
	var d Delta
	err := gob.NewDecoder(bytes.NewReader(b)).Decode(&d)
	return d, err == nil
}
