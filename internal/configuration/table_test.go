package configuration

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/ids"
)

func TestLongestPrefix(t *testing.T) {
	is := is.New(t)
	d, errs := Read([]byte(doc(1, r("root", "h", "/"), r("a", "h", "/a/"), r("ab", "h", "/a/b/"), r("o", "o", "/x/"))))
	is.Equal(len(errs), 0)
	tb := NewTable(d)
	for _, c := range []struct{ host, path, want string }{
		{"h", "/", "root"}, {"h", "/a", "root"}, {"h", "/a/", "a"}, {"h", "/a/b", "a"}, {"h", "/a/b/", "ab"},
		{"H", "/a/b/c/d?x=/q/", "ab"}, {"h:80", "/a/x", "a"}, {"o", "/x/1", "o"}, {"o", "/y/", ""}, {"p", "/", ""}, {"h", "/z?/a/b/", "root"},
	} {
		got := tb.Match(c.host, c.path)
		name := ""
		if got != nil {
			name = got.Name
		}
		is.Equal(name, c.want)
	}
}

func TestWeights(t *testing.T) {
	is := is.New(t)
	rt := &Route{Shares: []Share{{"a", 90}, {"z", 0}, {"b", 10}}}
	n := map[ids.Service]int{}
	for i := range 1000 {
		n[rt.Choose(float64(i)/1000)]++
	}
	is.Equal(n["a"], 900)
	is.Equal(n["b"], 100)
}
