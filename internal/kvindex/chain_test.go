package kvindex

import (
	"testing"

	"github.com/matryer/is"
)

func TestReadChain(t *testing.T) {
	is := is.New(t)
	c, err := ReadChain("m", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	is.NoErr(err)
	is.Equal(len(c), 3)
	is.Equal(c.Tokens(), int64(1460))
	d, _ := ReadChain("m", "5c1e07a2:800,91bd3f06:410")
	is.Equal(c[1].Hash, d[1].Hash) // parts are named by all before them
	e, _ := ReadChain("m", "91bd3f06:410")
	is.True(e[0].Hash != c[1].Hash)
	o, _ := ReadChain("other", "5c1e07a2:800")
	is.True(o[0].Hash != c[0].Hash) // models never meet
	a := Hashed([]Extra{{"model", "m"}, {"adapter", "x"}}, []string{"5c1e07a2"}, []int64{800})
	b := Hashed([]Extra{{"model", "m"}, {"salt", "x"}}, []string{"5c1e07a2"}, []int64{800})
	is.True(a[0].Hash != b[0].Hash && a[0].Hash != c[0].Hash) // nor do adapters and salts
	for _, s := range []string{"x:1", "a", "a:", ":1", "a:-1", "a:1,", "a:1,,b:2", "a:1:2"} {
		_, err := ReadChain("m", s)
		is.True(err != nil)
	}
}

func FuzzReadChain(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410")
	f.Add("a:1,")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := ReadChain("m", s)
		if err == nil && (len(c) > partsMost || c.Tokens() < 0 && len(c) < 2) {
			t.Fatal(s)
		}
	})
}
