package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"slices"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
)

// Digest tells orders apart: SHA-256 over their kind, base and body.
type Digest [sha256.Size]byte

// Taken remembers one change that was taken, so that a client who sends it
// again is told so.
type Taken struct {
	Base   ids.Version
	Digest Digest
}

// State is the value of the configuration's register.
type State struct {
	Version ids.Version
	JSON    []byte
	// Taken are the newest changes, oldest first: at most 512, 20 KiB in all.
	Taken []Taken
	// Oldest is the base from which on every change is in Taken.
	Oldest ids.Version
}

const takenKept = 512

// stored is a state as any release has written it: the first called a version
// an edition, and those before Digests kept sums that could collide.
type stored struct {
	Version, Edition, Oldest ids.Version
	JSON                     []byte
	Bases                    []ids.Version
	Digests                  []byte
	Taken                    []struct{ Base ids.Version }
}

// Decode reads a state; no bytes are the state before the first change.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	var d stored
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&d); err != nil {
		return nil, codes.New(codes.DiskCorrupt, "%v", err)
	}
	if len(d.Digests) != len(d.Bases)*sha256.Size {
		return nil, codes.New(codes.DiskCorrupt, "%d bases, %d bytes of digests", len(d.Bases), len(d.Digests))
	}
	s.Version, s.JSON, s.Oldest = max(d.Version, d.Edition), d.JSON, d.Oldest
	for i, base := range d.Bases {
		s.Taken = append(s.Taken, Taken{base, Digest(d.Digests[i*sha256.Size:])})
	}
	if len(d.Taken) > 0 {
		s.Oldest = s.Version
	}
	return s, nil
}

// Encode is the state as bytes.
func (s *State) Encode() []byte {
	d := stored{Version: s.Version, JSON: s.JSON, Oldest: s.Oldest}
	for _, t := range s.Taken {
		d.Bases = append(d.Bases, t.Base)
		d.Digests = append(d.Digests, t.Digest[:]...)
	}
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(d) != nil {
		return nil
	}
	return b.Bytes()
}

// Brief is an encoded state as relays need it: without its memory of changes, and with digests in
// the place of keys. What cannot be read stays as it is.
func Brief(b []byte) []byte {
	s, err := Decode(b)
	if err != nil || s.Version == 0 {
		return b
	}
	return (&State{Version: s.Version, JSON: briefJSON(s.JSON), Oldest: s.Version}).Encode()
}

// briefJSON is a document with digests in the place of keys.
func briefJSON(b []byte) []byte {
	raw := fields{}
	if json.Unmarshal(b, &raw) != nil || raw[tenantsField] == nil {
		return b
	}
	brief, ok := raw.withoutKeys()
	if !ok {
		return b
	}
	out, err := json.Marshal(brief)
	if err != nil {
		return b
	}
	return out
}

// Order is a change of the configuration that an operator asks for.
type Order struct {
	Modify bool
	Base   ids.Version
	Body   []byte
}

func (o *Order) digest() Digest {
	h := sha256.New()
	kind := byte(0)
	if o.Modify {
		kind = 1
	}
	h.Write(binary.BigEndian.AppendUint64([]byte{kind}, uint64(o.Base)))
	h.Write(o.Body)
	return Digest(h.Sum(nil))
}

// Version reads the version that the order would bring, 0 if it has none.
func (o *Order) Version() ids.Version {
	d, _ := Read(o.Body)
	if d == nil {
		return 0
	}
	return d.Version
}

// Apply makes the next state out of s, or tells why there is none. A nil state
// without an error says that the very order was taken before. Of one on a base
// older than all that is remembered nobody can tell.
func (s *State) Apply(o *Order) (*State, error) {
	sum := o.digest()
	if !guards.Off(guards.Dedup) && slices.ContainsFunc(s.Taken, func(t Taken) bool { return t.Digest == sum }) {
		return nil, nil
	}
	var d *Doc
	var errs []error
	if o.Modify {
		if err := Whole(o.Body); err != nil {
			return nil, codes.New(codes.Unreadable, "%v", err)
		}
	} else if d, errs = Read(o.Body); len(errs) > 0 {
		return nil, errs[0]
	}
	switch {
	case o.Base < s.Oldest:
		return nil, codes.New(codes.TooOld, "%d is current, changes are remembered from %d on, not %d", s.Version, s.Oldest, o.Base)
	case o.Base != s.Version:
		return nil, codes.New(codes.OtherVersion, "%d is current, not %d", s.Version, o.Base)
	case o.Modify && s.Version == 0:
		return nil, codes.New(codes.Nothing, "no configuration to modify")
	case o.Modify:
		cur, errs := Read(s.JSON)
		if cur == nil {
			return nil, errs[0]
		}
		if d, errs = cur.Modify(o.Body); len(errs) > 0 {
			return nil, errs[0]
		}
	}
	if d.Version <= s.Version {
		return nil, codes.New(codes.OldVersion, "%d is current, %d was sent", s.Version, d.Version)
	}
	b := o.Body
	if o.Modify {
		b = d.JSON()
	}
	n := &State{Version: d.Version, JSON: append([]byte(nil), b...), Oldest: s.Oldest}
	n.Taken = append(append(n.Taken, s.Taken...), Taken{o.Base, sum})
	if over := len(n.Taken) - takenKept; over > 0 {
		n.Taken = n.Taken[over:]
		n.Oldest = n.Taken[0].Base
	}
	return n, nil
}
