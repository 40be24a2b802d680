package feed

import (
	"bytes"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/ids"
)

// version is an earlier value of a key, as followers got it.
type version struct {
	at  ids.Place
	fed []byte
}

type step struct {
	key      ids.Key
	from, to ids.Place
}

// remember keeps a value so that later ones can be told as changes from it.
func (h *Hub) remember(v *kept) {
	if v.it.Brief() || h.Diff == nil {
		return
	}
	p := append(h.past[v.it.Key], version{v.it.At, v.fed})
	h.past[v.it.Key] = p[max(0, len(p)-pastKept):]
}

// change is the way from one value of a key to another; val is nil if there is
// none.
type change struct {
	val    []byte
	packed bool
}

// diff tells a change, worked out once for all followers.
func (h *Hub) diff(old version, v *kept) change {
	k := step{v.it.Key, old.at, v.it.At}
	if d, ok := h.steps[k]; ok {
		return d
	}
	if len(h.steps) >= pastKept || h.steps == nil {
		h.steps = map[step]change{}
	}
	var d change
	if val := h.Diff(v.it.Key, old.fed, v.fed); val != nil {
		d.val, d.packed = deflate.Pack(val)
	}
	h.steps[k] = d
	return d
}

// item is a value as a follower gets it: the change from what it has, where that
// is known, and else the whole.
func (h *Hub) item(f *follower, v *kept) consensus.Item {
	it := v.it
	it.Age = clock.Since(v.since)
	at := f.has[it.Key]
	if !it.Brief() {
		f.has[it.Key] = it.At
	}
	if i := slices.IndexFunc(h.past[it.Key], func(o version) bool { return o.at == at }); i >= 0 {
		old := h.past[it.Key][i]
		if bytes.Equal(old.fed, v.fed) {
			it.Base, it.Val, it.Same = at, nil, true
			return it
		}
		if d := h.diff(old, v); d.val != nil {
			it.Base, it.Val, it.Packed = at, d.val, d.packed
			return it
		}
	}
	it.Val, it.Packed = v.toSend()
	return it
}
