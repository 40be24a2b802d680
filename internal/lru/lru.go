// Package lru keeps values by key, bounded by weight: the ones unused the
// longest give way.
package lru

import "container/list"

// Cache is one such set. It has no lock of its own.
type Cache[V any] struct {
	most   int64
	weight int64
	order  *list.List
	at     map[uint64]*list.Element
	// Dropped is called with what gives way to the bound, if it is set.
	Dropped func(key uint64, v V)
}

type cell[V any] struct {
	key uint64
	val V
	w   int64
}

// New makes a cache that bears so much weight.
func New[V any](most int64) *Cache[V] {
	return &Cache[V]{most: most, order: list.New(), at: map[uint64]*list.Element{}}
}

// Put sets a value and makes it the newest.
func (l *Cache[V]) Put(k uint64, v V, w int64) {
	if e, ok := l.at[k]; ok {
		c := e.Value.(*cell[V])
		l.weight += w - c.w
		c.val, c.w = v, w
		l.order.MoveToFront(e)
	} else {
		l.at[k] = l.order.PushFront(&cell[V]{k, v, w})
		l.weight += w
	}
	l.fit()
}

func (l *Cache[V]) fit() {
	for l.weight > l.most && l.order.Len() > 1 {
		e := l.order.Back()
		c := e.Value.(*cell[V])
		l.drop(e)
		if l.Dropped != nil {
			l.Dropped(c.key, c.val)
		}
	}
}

// Bound changes how much weight is borne.
func (l *Cache[V]) Bound(most int64) {
	l.most = most
	l.fit()
}

// Get reads a value and leaves its age.
func (l *Cache[V]) Get(k uint64) (V, bool) {
	if e, ok := l.at[k]; ok {
		return e.Value.(*cell[V]).val, true
	}
	var none V
	return none, false
}

// Remove drops a value; false if there was none.
func (l *Cache[V]) Remove(k uint64) bool {
	e, ok := l.at[k]
	if ok {
		l.drop(e)
	}
	return ok
}

func (l *Cache[V]) drop(e *list.Element) {
	c := e.Value.(*cell[V])
	l.order.Remove(e)
	delete(l.at, c.key)
	l.weight -= c.w
}

// Oldest reads the value that was unused the longest.
func (l *Cache[V]) Oldest() (uint64, V, bool) {
	e := l.order.Back()
	if e == nil {
		var none V
		return 0, none, false
	}
	c := e.Value.(*cell[V])
	return c.key, c.val, true
}

// Each goes through all values from the oldest on, until fn returns false.
func (l *Cache[V]) Each(fn func(k uint64, v V) bool) {
	for e := l.order.Back(); e != nil; e = e.Prev() {
		c := e.Value.(*cell[V])
		if !fn(c.key, c.val) {
			return
		}
	}
}

// Clear drops all values.
func (l *Cache[V]) Clear() {
	l.weight = 0
	l.order.Init()
	l.at = map[uint64]*list.Element{}
}

// Len is how many values there are.
func (l *Cache[V]) Len() int { return l.order.Len() }

// Weight is what they weigh.
func (l *Cache[V]) Weight() int64 { return l.weight }

// Most is how much weight is borne.
func (l *Cache[V]) Most() int64 { return l.most }
