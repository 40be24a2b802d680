package configuration

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

func TestApply(t *testing.T) {
	is := is.New(t)
	s, err := Decode(nil)
	is.NoErr(err)
	first := &Order{Body: []byte(doc(4, r("a", "h", "/a/")))}
	s1, err := s.Apply(first)
	is.NoErr(err)
	is.Equal(s1.Version, ids.Version(4))
	is.Equal(string(s1.JSON), string(first.Body)) // read back as it was sent

	again, err := s1.Apply(first)
	is.NoErr(err)
	is.True(again == nil) // the very order was taken

	_, err = s1.Apply(&Order{Body: []byte(doc(6, r("b", "h", "/a/")))})
	is.Equal(codes.Of(err), codes.OtherVersion) // on an older base

	_, err = s1.Apply(&Order{Base: 4, Body: []byte(doc(4, r("b", "h", "/a/")))})
	is.Equal(codes.Of(err), codes.OldVersion)

	mod := &Order{Modify: true, Base: 4, Body: []byte(`{"version":7,"remove":{"route-table":["a"]}}`)}
	s2, err := s1.Apply(mod)
	is.NoErr(err)
	is.Equal(s2.Version, ids.Version(7))
	for _, o := range []*Order{first, mod} { // also after later ones
		n, err := s2.Apply(o)
		is.NoErr(err)
		is.True(n == nil)
	}
	lost := &Order{Modify: true, Base: 4, Body: []byte(`{"version":8,"remove":{"route-table":["a"]}}`)}
	_, err = s2.Apply(lost)
	is.Equal(codes.Of(err), codes.OtherVersion)

	back, err := Decode(s2.Encode())
	is.NoErr(err)
	is.Equal(back, s2)
}

func TestModifyNothing(t *testing.T) {
	is := is.New(t)
	_, err := (&State{}).Apply(&Order{Modify: true, Body: []byte(`{"version":1}`)})
	is.Equal(codes.Of(err), codes.Nothing)
}

// Disks that earlier releases wrote are read. Their sums could collide: what
// was taken by them is neither acknowledged again nor refused.
func TestEarlierReleases(t *testing.T) {
	type first struct {
		Edition, Base ids.Version
		Sum           uint64
	}
	type second struct {
		Version, Base ids.Version
		Sum           uint64
	}
	body := []byte(doc(7, r("a", "h", "/a/")))
	for _, old := range []any{struct {
		Edition ids.Version
		JSON    []byte
		Taken   []first
	}{7, body, []first{{7, 3, 99}}}, struct {
		Version ids.Version
		JSON    []byte
		Taken   []second
	}{7, body, []second{{7, 3, 99}}}} {
		is := is.New(t)
		var b bytes.Buffer
		is.NoErr(gob.NewEncoder(&b).Encode(old))
		s, err := Decode(b.Bytes())
		is.NoErr(err)
		is.Equal(s, &State{Version: 7, JSON: body, Oldest: 7})
		for _, base := range []ids.Version{0, 3} {
			_, err = s.Apply(&Order{Base: base, Body: body})
			is.Equal(codes.Of(err), codes.TooOld)
		}
		o := &Order{Base: 7, Body: []byte(doc(8, r("a", "h", "/a/")))}
		s, err = s.Apply(o)
		is.NoErr(err)
		again, err := Decode(s.Encode())
		is.NoErr(err)
		is.Equal(again, s)
		s, err = again.Apply(o)
		is.NoErr(err)
		is.True(s == nil)
	}
}

// Every order that was taken is acknowledged when it is sent again, or left
// without a clear answer, never refused, however many came after it; one that
// was not taken is never acknowledged. The memory keeps within its bound.
func TestSentAgain(t *testing.T) {
	is := is.New(t)
	s := &State{}
	var taken []*Order
	for n := range takenKept + 200 {
		v := ids.Version(3*n + 1)
		o := &Order{Base: s.Version, Body: []byte(doc(int(v), r("a", "h", "/a/")))}
		if n%3 == 1 {
			o = &Order{Base: s.Version, Modify: true, Body: fmt.Appendf(nil, `{"version":%d}`, v)}
		}
		next, err := s.Apply(o)
		is.NoErr(err)
		if s, err = Decode(next.Encode()); err != nil {
			t.Fatal(err)
		}
		taken = append(taken, o)
	}
	for n, o := range taken {
		next, err := s.Apply(o)
		is.True(next == nil)
		if n >= 200 {
			is.NoErr(err)
			_, err = s.Apply(&Order{Base: o.Base, Modify: o.Modify, Body: append([]byte(" "), o.Body...)})
			is.Equal(codes.Of(err), codes.OtherVersion)
			continue
		}
		is.Equal(codes.Of(err), codes.TooOld)
	}
	_, err := s.Apply(&Order{Base: 1, Body: []byte(doc(2))[1:]})
	is.Equal(codes.Of(err), codes.Unreadable) // an invalid one stays so
	is.True(len(s.Encode())-len(s.JSON) < 20<<10)
	b := Brief(s.Encode())
	is.True(len(b) < len(s.JSON)+400)
	back, err := Decode(b)
	is.NoErr(err)
	is.Equal(back.JSON, s.JSON)
	is.Equal(back.Version, s.Version)
}

// Bodies that differ are told apart also where the sums of earlier releases
// were one; the kind and the base tell apart as well.
func TestToldApart(t *testing.T) {
	is := is.New(t)
	seen := map[Digest]bool{}
	for _, o := range []*Order{{}, {Modify: true}, {Base: 1}, {Body: []byte{0}}, {Body: []byte{1}}, {Body: []byte("\x01")[:0]},
		{Modify: true, Body: []byte{0}}, {Base: 1 << 56}} {
		seen[o.digest()] = true
	}
	is.Equal(len(seen), 7) // one of them is another's equal
	// FNV-64 gave both the same sum: the mark of a modify was hashed as a first
	// byte of the body.
	a, b := &Order{Body: []byte("\x01x")}, &Order{Modify: true, Body: []byte("x")}
	is.True(a.digest() != b.digest())
}
