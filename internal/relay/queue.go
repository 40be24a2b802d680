package relay

import (
	"sort"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

// rank orders requests that wait: by the tenant's priority, the route's, both 0 first, and the deadline.
type rank struct {
	tenant, route int
	deadline      clock.Tick
}

func (r rank) before(o rank) bool {
	if r.tenant != o.tenant {
		return r.tenant < o.tenant
	}
	if r.route != o.route {
		return r.route < o.route
	}
	return r.deadline < o.deadline
}

// Queue keeps requests that wait for a place at a replica, by service and rank. Only the first of a line asks
// for a place; the others wait until they are first.
type Queue struct {
	Most  int
	mu    sync.Mutex
	lines map[ids.Service][]*held
}

type held struct {
	svc   ids.Service
	rank  rank
	first *concurrency.Mark
}

// Empty tells whether nothing waits for the service.
func (h *Queue) Empty(s ids.Service) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.lines[s]) == 0
}

// Enter takes a place in the line; nil if queue is full.
func (h *Queue) Enter(s ids.Service, r rank) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lines == nil {
		h.lines = map[ids.Service][]*held{}
	}
	l := h.lines[s]
	if len(l) >= h.Most {
		return nil
	}
	w := &held{svc: s, rank: r, first: concurrency.NewMark()}
	i := sort.Search(len(l), func(i int) bool { return w.rank.before(l[i].rank) })
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = w
	h.lines[s] = l
	if i == 0 {
		w.first.Set()
	}
	return w
}

// First tells whether w is first now; if not it waits for at most d to be.
func (h *Queue) First(w *held, d clock.Span) bool {
	h.mu.Lock()
	first := h.lines[w.svc][0] == w
	h.mu.Unlock()
	if first {
		return true
	}
	w.first.Wait(d)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lines[w.svc][0] == w
}

// Leave gives the place in the line up and lets the next be first.
func (h *Queue) Leave(w *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.lines[w.svc]
	for i, o := range l {
		if o == w {
			l = append(l[:i], l[i+1:]...)
			break
		}
	}
	h.lines[w.svc] = l
	if len(l) > 0 {
		l[0].first.Set()
	}
}
