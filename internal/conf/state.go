package conf

import (
	"bytes"
	"encoding/gob"
	"hash/fnv"

	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

// Taken remembers one change that was taken, so that a caller who sends it
// again is told so.
type Taken struct {
	Edition word.Edition
	Base    word.Edition
	Sum     uint64
}

// State is the value of the configuration's register.
type State struct {
	Edition word.Edition
	JSON    []byte
	Taken   []Taken
}

const takenKept = 256

// Decode reads a state; no bytes are the state before the first change.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(s); err != nil {
		return nil, code.New(code.DiskCorrupt, "%v", err)
	}
	return s, nil
}

// Encode is the state as bytes.
func (s *State) Encode() []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(s) != nil {
		return nil
	}
	return b.Bytes()
}

// Order is a change of the configuration that an operator asks for.
type Order struct {
	Modify bool
	Base   word.Edition
	Body   []byte
}

func (o *Order) sum() uint64 {
	h := fnv.New64a()
	if o.Modify {
		h.Write([]byte{1})
	}
	h.Write(o.Body)
	return h.Sum64()
}

// Edition reads the edition that the order would bring, 0 if it has none.
func (o *Order) Edition() word.Edition {
	d, _ := Read(o.Body)
	if d == nil {
		return 0
	}
	return d.Edition
}

// Apply makes the next state out of s, or tells why there is none. A nil state
// without an error says that the very order was taken before.
func (s *State) Apply(o *Order) (*State, error) {
	sum := o.sum()
	for _, t := range s.Taken {
		if t.Sum == sum && t.Base == o.Base {
			return nil, nil
		}
	}
	var d *Doc
	var errs []error
	if o.Modify {
		if o.Base != s.Edition {
			return nil, code.New(code.OtherEdition, "%d is current, not %d", s.Edition, o.Base)
		}
		if s.Edition == 0 {
			return nil, code.New(code.Nothing, "no configuration to modify")
		}
		var cur *Doc
		if cur, errs = Read(s.JSON); cur == nil {
			return nil, errs[0]
		}
		d, errs = cur.Modify(o.Body)
	} else {
		d, errs = Read(o.Body)
	}
	if len(errs) > 0 {
		return nil, errs[0]
	}
	if o.Base != s.Edition {
		return nil, code.New(code.OtherEdition, "%d is current, not %d", s.Edition, o.Base)
	}
	if d.Edition <= s.Edition {
		return nil, code.New(code.OldEdition, "%d is current, %d was sent", s.Edition, d.Edition)
	}
	b := o.Body
	if o.Modify {
		b = d.JSON()
	}
	n := &State{Edition: d.Edition, JSON: append([]byte(nil), b...)}
	n.Taken = append(append(n.Taken, s.Taken...), Taken{d.Edition, o.Base, sum})
	if len(n.Taken) > takenKept {
		n.Taken = n.Taken[len(n.Taken)-takenKept:]
	}
	return n, nil
}
