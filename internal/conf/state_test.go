package conf

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

func TestApply(t *testing.T) {
	is := is.New(t)
	s, err := Decode(nil)
	is.NoErr(err)
	first := &Order{Body: []byte(doc(4, r("a", "h", "/a/")))}
	s1, err := s.Apply(first)
	is.NoErr(err)
	is.Equal(s1.Version, word.Version(4))
	is.Equal(string(s1.JSON), string(first.Body)) // read back as it was sent

	again, err := s1.Apply(first)
	is.NoErr(err)
	is.True(again == nil) // the very order was taken

	_, err = s1.Apply(&Order{Body: []byte(doc(6, r("b", "h", "/a/")))})
	is.Equal(code.Of(err), code.OtherVersion) // on an older base

	_, err = s1.Apply(&Order{Base: 4, Body: []byte(doc(4, r("b", "h", "/a/")))})
	is.Equal(code.Of(err), code.OldVersion)

	mod := &Order{Modify: true, Base: 4, Body: []byte(`{"version":7,"remove":{"route-table":["a"]}}`)}
	s2, err := s1.Apply(mod)
	is.NoErr(err)
	is.Equal(s2.Version, word.Version(7))
	for _, o := range []*Order{first, mod} { // also after later ones
		n, err := s2.Apply(o)
		is.NoErr(err)
		is.True(n == nil)
	}
	lost := &Order{Modify: true, Base: 4, Body: []byte(`{"version":8,"remove":{"route-table":["a"]}}`)}
	_, err = s2.Apply(lost)
	is.Equal(code.Of(err), code.OtherVersion)

	back, err := Decode(s2.Encode())
	is.NoErr(err)
	is.Equal(back, s2)
}

func TestModifyNothing(t *testing.T) {
	is := is.New(t)
	_, err := (&State{}).Apply(&Order{Modify: true, Body: []byte(`{"version":1}`)})
	is.Equal(code.Of(err), code.Nothing)
}

// A disk that the first release wrote is read.
func TestFirstRelease(t *testing.T) {
	is := is.New(t)
	type taken struct {
		Edition, Base word.Version
		Sum           uint64
	}
	var b bytes.Buffer
	is.NoErr(gob.NewEncoder(&b).Encode(struct {
		Edition word.Version
		JSON    []byte
		Taken   []taken
	}{7, []byte("{}"), []taken{{7, 3, 99}}}))
	s, err := Decode(b.Bytes())
	is.NoErr(err)
	is.Equal(s, &State{Version: 7, JSON: []byte("{}"), Taken: []Taken{{7, 3, 99}}})
	again, err := Decode(s.Encode())
	is.NoErr(err)
	is.Equal(again, s)
}
