package pick

import "container/list"

type lru[V any] struct {
	most   int64
	weight int64
	order  *list.List
	at     map[uint64]*list.Element
}

type cell[V any] struct {
	key uint64
	val V
	w   int64
}

func newLRU[V any](most int64) *lru[V] {
	return &lru[V]{most: most, order: list.New(), at: map[uint64]*list.Element{}}
}

func (l *lru[V]) put(k uint64, v V, w int64) {
	if e, ok := l.at[k]; ok {
		c := e.Value.(*cell[V])
		l.weight += w - c.w
		c.val, c.w = v, w
		l.order.MoveToFront(e)
	} else {
		l.at[k] = l.order.PushFront(&cell[V]{k, v, w})
		l.weight += w
	}
	for l.weight > l.most && l.order.Len() > 1 {
		l.drop(l.order.Back())
	}
}

func (l *lru[V]) bound(most int64) {
	l.most = most
	for l.weight > l.most && l.order.Len() > 1 {
		l.drop(l.order.Back())
	}
}

func (l *lru[V]) get(k uint64) (V, bool) {
	if e, ok := l.at[k]; ok {
		return e.Value.(*cell[V]).val, true
	}
	var none V
	return none, false
}

func (l *lru[V]) remove(k uint64) {
	if e, ok := l.at[k]; ok {
		l.drop(e)
	}
}

func (l *lru[V]) drop(e *list.Element) {
	c := e.Value.(*cell[V])
	l.order.Remove(e)
	delete(l.at, c.key)
	l.weight -= c.w
}

func (l *lru[V]) oldest() (uint64, V, bool) {
	e := l.order.Back()
	if e == nil {
		var none V
		return 0, none, false
	}
	c := e.Value.(*cell[V])
	return c.key, c.val, true
}

func (l *lru[V]) len() int { return l.order.Len() }
