package conf

import (
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
	is.Equal(s1.Edition, word.Edition(4))
	is.Equal(string(s1.JSON), string(first.Body)) // read back as it was sent

	again, err := s1.Apply(first)
	is.NoErr(err)
	is.True(again == nil) // the very order was taken

	_, err = s1.Apply(&Order{Body: []byte(doc(6, r("b", "h", "/a/")))})
	is.Equal(code.Of(err), code.OtherEdition) // on an older base

	_, err = s1.Apply(&Order{Base: 4, Body: []byte(doc(4, r("b", "h", "/a/")))})
	is.Equal(code.Of(err), code.OldEdition)

	mod := &Order{Modify: true, Base: 4, Body: []byte(`{"version":7,"remove":{"route-table":["a"]}}`)}
	s2, err := s1.Apply(mod)
	is.NoErr(err)
	is.Equal(s2.Edition, word.Edition(7))
	for _, o := range []*Order{first, mod} { // also after later ones
		n, err := s2.Apply(o)
		is.NoErr(err)
		is.True(n == nil)
	}
	lost := &Order{Modify: true, Base: 4, Body: []byte(`{"version":8,"remove":{"route-table":["a"]}}`)}
	_, err = s2.Apply(lost)
	is.Equal(code.Of(err), code.OtherEdition)

	back, err := Decode(s2.Encode())
	is.NoErr(err)
	is.Equal(back, s2)
}

func TestModifyNothing(t *testing.T) {
	is := is.New(t)
	_, err := (&State{}).Apply(&Order{Modify: true, Body: []byte(`{"version":1}`)})
	is.Equal(code.Of(err), code.Nothing)
}
