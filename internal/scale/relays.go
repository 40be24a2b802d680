package scale

import (
	"fmt"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
)

type hollow struct {
	mu    sync.Mutex
	items map[ids.Key]int
	at    map[ids.Key]ids.Place
	// listed is how many replicas the last whole list had.
	listed int
	// whole is the bytes of the first whole value of each key.
	whole map[ids.Key]int
}

func (h *hollow) take(it consensus.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items[it.Key]++
	h.at[it.Key] = it.At
	if _, ok := h.whole[it.Key]; !ok && it.Base.Zero() {
		h.whole[it.Key] = len(it.Val)
	}
	if it.Key == ids.List && it.Base.Zero() {
		replicas, ok := discovery.Decode(it.Val)
		h.listed = len(replicas)
		return ok
	}
	return true
}

func (r *run) fewestListed() int {
	fewest := r.size.Replicas
	for _, h := range r.relays {
		h.mu.Lock()
		fewest = min(fewest, h.listed)
		h.mu.Unlock()
	}
	return fewest
}

func (r *run) snapshotValues() float64 {
	bytes := 0
	for _, h := range r.relays {
		h.mu.Lock()
		bytes += h.whole[ids.Configuration] + h.whole[ids.List]
		h.mu.Unlock()
	}
	return per(float64(bytes), len(r.relays))
}

func (r *run) follow(i int) {
	h := &hollow{items: map[ids.Key]int{}, at: map[ids.Key]ids.Place{}, whole: map[ids.Key]int{}}
	r.relays = append(r.relays, h)
	t := &feed.Tail{Self: ids.Node(fmt.Sprintf("relay-%d", i)), IP: "127.0.0.1", Zone: ids.Zone(fmt.Sprintf("z%d", i%3)),
		Take: h.take, Heard: func(int, clock.Span) {}, Seeds: func() []ids.Addr {
			var out []ids.Addr
			for k := range min(3, r.size.Keepers) {
				out = append(out, r.keeper(k))
			}
			return out
		}}
	t.Run()
}

func (r *run) all(ok func(h *hollow) bool) bool {
	return until(func() bool {
		for _, h := range r.relays {
			h.mu.Lock()
			fine := ok(h)
			h.mu.Unlock()
			if !fine {
				return false
			}
		}
		return true
	})
}

func (r *run) items(key ids.Key) (n float64) {
	for _, h := range r.relays {
		h.mu.Lock()
		n += float64(h.items[key])
		h.mu.Unlock()
	}
	return n
}
