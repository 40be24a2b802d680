package lru

import (
	"testing"

	"github.com/matryer/is"
)

func TestCache(t *testing.T) {
	is := is.New(t)
	l := New[string](10)
	var gone []uint64
	l.Dropped = func(k uint64, _ string) { gone = append(gone, k) }
	l.Put(1, "a", 4)
	l.Put(2, "b", 4)
	l.Put(1, "a", 4) // the newest again
	l.Put(3, "c", 4)
	is.Equal(gone, []uint64{2})
	k, _, _ := l.Oldest()
	is.Equal(k, uint64(1))
	var all []uint64
	l.Each(func(k uint64, _ string) bool { all = append(all, k); return true })
	is.Equal(all, []uint64{1, 3})
	is.True(l.Remove(3))
	is.True(!l.Remove(3))
	is.Equal(l.Weight(), int64(4))
	l.Put(4, "large", 50) // one is always kept
	is.Equal(l.Len(), 1)
	l.Bound(1)
	is.Equal(l.Len(), 1)
	l.Clear()
	is.Equal(l.Len(), 0)
	is.Equal(l.Weight(), int64(0))
	_, _, ok := l.Oldest()
	is.True(!ok)
}
