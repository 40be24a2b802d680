package conf

import (
	"bytes"
	"encoding/gob"
	"hash/fnv"

	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

// Taken remembers one change that was taken, so that a client who sends it
// again is told so.
type Taken struct {
	Version word.Version
	Base    word.Version
	Sum     uint64
}

// State is the value of the configuration's register.
type State struct {
	Version word.Version
	JSON    []byte
	Taken   []Taken
}

const takenKept = 256

// stored is a state as any release has written it: the first called a version
// an edition.
type stored struct {
	Version, Edition word.Version
	JSON             []byte
	Taken            []struct {
		Version, Edition, Base word.Version
		Sum                    uint64
	}
}

// Decode reads a state; no bytes are the state before the first change.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	var d stored
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&d); err != nil {
		return nil, code.New(code.DiskCorrupt, "%v", err)
	}
	s.Version, s.JSON = max(d.Version, d.Edition), d.JSON
	for _, t := range d.Taken {
		s.Taken = append(s.Taken, Taken{max(t.Version, t.Edition), t.Base, t.Sum})
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
	Base   word.Version
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

// Version reads the version that the order would bring, 0 if it has none.
func (o *Order) Version() word.Version {
	d, _ := Read(o.Body)
	if d == nil {
		return 0
	}
	return d.Version
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
		if o.Base != s.Version {
			return nil, code.New(code.OtherVersion, "%d is current, not %d", s.Version, o.Base)
		}
		if s.Version == 0 {
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
	if o.Base != s.Version {
		return nil, code.New(code.OtherVersion, "%d is current, not %d", s.Version, o.Base)
	}
	if d.Version <= s.Version {
		return nil, code.New(code.OldVersion, "%d is current, %d was sent", s.Version, d.Version)
	}
	b := o.Body
	if o.Modify {
		b = d.JSON()
	}
	n := &State{Version: d.Version, JSON: append([]byte(nil), b...)}
	n.Taken = append(append(n.Taken, s.Taken...), Taken{d.Version, o.Base, sum})
	if len(n.Taken) > takenKept {
		n.Taken = n.Taken[len(n.Taken)-takenKept:]
	}
	return n, nil
}
