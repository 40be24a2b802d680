package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"encoding/json"
	"slices"
	"strings"

	"spoolswitch/internal/ids"
)

// delta is the change from one configuration to the next, as an order to modify
// the first, with the digest of the second. Who applies it and gets another
// document asks for the whole.
type delta struct {
	Patch []byte
	Sum   Digest
}

// Delta is the change from one encoded state to another; nil if it cannot be
// expressed, or is no smaller than the whole. The states were checked when they
// were taken, and are not checked again.
func Delta(old, fresh []byte) []byte {
	from, to := fieldsOf(old), fieldsOf(fresh)
	if from == nil || to == nil {
		return nil
	}
	c, ok := from.changeTo(to)
	if !ok {
		return nil
	}
	sum := to.sum()
	got, err := c.apply(from)
	if err != nil || got.sum() != sum {
		return nil
	}
	patch, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(delta{patch, sum}) != nil || b.Len() >= len(fresh) {
		return nil
	}
	return b.Bytes()
}

// fieldsOf reads the fields of an encoded state; nil if there are none.
func fieldsOf(state []byte) fields {
	s, err := Decode(state)
	if err != nil || s.Version == 0 {
		return nil
	}
	var f fields
	if json.Unmarshal(s.JSON, &f) != nil {
		return nil
	}
	return f
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

// changeTo is the order to modify f that makes g; false if there is none.
func (f fields) changeTo(g fields) (*change, bool) {
	c := &change{Version: new(ids.Version), Upsert: fields{}, Remove: map[string][]string{}}
	if json.Unmarshal(g[versionField], c.Version) != nil {
		return nil, false
	}
	for field, old := range f {
		fresh, ok := g[field]
		if !ok {
			return nil, false
		}
		if field == versionField || bytes.Equal(old, fresh) {
			continue
		}
		if !c.list(field, items(old), items(fresh)) {
			c.Upsert[field] = fresh
		}
	}
	for field, fresh := range g {
		if _, ok := f[field]; !ok {
			c.Upsert[field] = fresh
		}
	}
	return c, true
}

// list adds what turns one list of named things into another; false if either is
// none.
func (c *change) list(field string, old, fresh []item) bool {
	if old == nil || fresh == nil {
		return false
	}
	up := []json.RawMessage{}
	for _, it := range fresh {
		if raw, ok := find(old, it.name); !ok || !bytes.Equal(raw, it.raw) {
			up = append(up, it.raw)
		}
	}
	for _, it := range old {
		if _, ok := find(fresh, it.name); !ok {
			c.Remove[field] = append(c.Remove[field], it.name)
		}
	}
	if len(up) == 0 {
		return true
	}
	b, err := json.Marshal(up)
	c.Upsert[field] = b
	return err == nil
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
func (d *Doc) Sum() Digest { return d.raw.sum() }

func (f fields) sum() Digest {
	raw := fields{}
	for field, b := range f {
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
