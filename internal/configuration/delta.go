package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"encoding/json"
	"slices"
	"strings"
)

// delta is the change from one configuration to the next, as an order to modify
// the first, with the digest of the second. Who applies it and gets another
// document asks for the whole.
type delta struct {
	Patch []byte
	Sum   Digest
}

// Delta is the change from one encoded state to another; nil if it cannot be
// expressed, or is no smaller than the whole.
func Delta(old, fresh []byte) []byte {
	from, to := DocOf(old), DocOf(fresh)
	if from == nil || to == nil {
		return nil
	}
	patch, ok := from.patch(to)
	if !ok {
		return nil
	}
	got, errs := from.Modify(patch)
	if len(errs) > 0 || got.Sum() != to.Sum() {
		return nil
	}
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(delta{patch, to.Sum()}) != nil || b.Len() >= len(fresh) {
		return nil
	}
	return b.Bytes()
}

// ApplyDelta makes the next document out of d; false if that is not the one
// that the change leads to.
func (d *Doc) ApplyDelta(b []byte) (*Doc, bool) {
	var c delta
	if gob.NewDecoder(bytes.NewReader(b)).Decode(&c) != nil {
		return nil, false
	}
	next, errs := d.Modify(c.Patch)
	if len(errs) > 0 || next.Sum() != c.Sum {
		return nil, false
	}
	return next, true
}

// DocOf reads the document of an encoded state; nil if there is none.
func DocOf(state []byte) *Doc {
	s, err := Decode(state)
	if err != nil || s.Version == 0 {
		return nil
	}
	d, errs := Read(s.JSON)
	if len(errs) > 0 {
		return nil
	}
	return d
}

// patch is the order to modify d that makes e; false if there is none.
func (d *Doc) patch(e *Doc) ([]byte, bool) {
	c := change{Version: &e.Version, Upsert: map[string]json.RawMessage{}, Remove: map[string][]string{}}
	for field, old := range d.raw {
		fresh, ok := e.raw[field]
		if !ok {
			return nil, false
		}
		if field == versionField || bytes.Equal(old, fresh) {
			continue
		}
		have, put := items(old), items(fresh)
		if have == nil || put == nil {
			c.Upsert[field] = fresh
			continue
		}
		up := []json.RawMessage{}
		for _, it := range put {
			if old, ok := find(have, it.name); !ok || !bytes.Equal(old, it.raw) {
				up = append(up, it.raw)
			}
		}
		for _, it := range have {
			if _, ok := find(put, it.name); !ok {
				c.Remove[field] = append(c.Remove[field], it.name)
			}
		}
		if len(up) > 0 {
			b, err := json.Marshal(up)
			if err != nil {
				return nil, false
			}
			c.Upsert[field] = b
		}
	}
	for field, fresh := range e.raw {
		if _, ok := d.raw[field]; !ok {
			c.Upsert[field] = fresh
		}
	}
	b, err := json.Marshal(c)
	return b, err == nil
}

type item struct {
	name string
	raw  json.RawMessage
}

// items are the members of a list of named things, by name; nil if it is none.
func items(b json.RawMessage) []item {
	var raws []json.RawMessage
	if json.Unmarshal(b, &raws) != nil {
		return nil
	}
	out := make([]item, 0, len(raws))
	for _, raw := range raws {
		var n named
		if json.Unmarshal(raw, &n) != nil || n.Name == "" {
			return nil
		}
		out = append(out, item{n.Name, raw})
	}
	slices.SortFunc(out, func(a, b item) int { return strings.Compare(a.name, b.name) })
	return out
}

func find(in []item, name string) (json.RawMessage, bool) {
	i, ok := slices.BinarySearchFunc(in, name, func(it item, n string) int { return strings.Compare(it.name, n) })
	if !ok {
		return nil, false
	}
	return in[i].raw, true
}

// Sum is the digest of the document. The order of routes and services, which
// means nothing, does not count.
func (d *Doc) Sum() Digest {
	raw := map[string]json.RawMessage{}
	for field, b := range d.raw {
		raw[field] = b
		its := items(b)
		if its == nil {
			continue
		}
		sorted := make([]json.RawMessage, len(its))
		for i, it := range its {
			sorted[i] = it.raw
		}
		if s, err := json.Marshal(sorted); err == nil {
			raw[field] = s
		}
	}
	b, _ := json.Marshal(raw)
	return sha256.Sum256(b)
}
