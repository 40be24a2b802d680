package pick

import (
	"hash/fnv"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/link"
	"spoolswitch/internal/list"
	"spoolswitch/internal/word"
)

// Load is what a replica last told of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Rep is one life of a replica as this relay knows it.
type Rep struct {
	list.Replica
	Pool *link.Pool

	running int
	pend    int64
	load    Load
	loadAt  clk.Tick
	since   int
	cold    clk.Tick
	fails   int
	down    clk.Tick
	downAt  clk.Tick
	gone    bool
	sent    []clk.Tick
	stream  *evidence.Stream
	view    *kvindex.View
	hash    uint64
	prefill bool
	audit   audit
	outlier outlier
}

const (
	loadFresh = 1500 * clk.Millisecond
	// a place is given back within a few requests' time; a word older than that
	// orders replicas, but refuses nobody
	fullFresh = 250 * clk.Millisecond
	downFirst = 400 * clk.Millisecond
	downMost  = 3 * clk.Second
	coldSpan  = clk.Second + 60*clk.Millisecond
)

func (r *Rep) press(now clk.Tick) int {
	if r.loadAt == 0 || now.Sub(r.loadAt) > loadFresh {
		return r.running
	}
	return max(r.running, r.load.Running+r.load.Waiting+r.since)
}

func (r *Rep) full(now clk.Tick) bool {
	slots := r.Slots
	if slots <= 0 {
		slots = 1 << 20
	}
	if r.loadAt != 0 && now.Sub(r.loadAt) > fullFresh {
		return r.running >= slots
	}
	return r.press(now) >= slots
}

func (r *Rep) up(now clk.Tick) bool {
	return r.downAt == 0 || (now >= r.down && r.running == 0)
}

func (r *Rep) isCold(now clk.Tick) bool { return now < r.cold }

func (f *Fleet) spare(r *Rep, now clk.Tick, bound float64) bool {
	i := 0
	for i < len(r.sent) && now.Sub(r.sent[i]) > coldSpan {
		i++
	}
	r.sent = r.sent[i:]
	return !r.isCold(now) || len(r.sent) < f.coldShare(r, bound)
}

// overlap is how many tokens of a chain the index trusts the replica to keep.
func (r *Rep) overlap(c kvindex.Chain, trunk func(uint64) bool) (n int64, trusted bool) {
	k, trusted := r.view.Leading(c)
	for _, b := range c[:k] {
		if !trunk(b.Hash) {
			n += b.Tokens
		}
	}
	return n, trusted
}

func hashed(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return kvindex.Mix(h.Sum64())
}

// rank is the rendezvous rank of a replica for a key.
func (r *Rep) rank(key uint64) uint64 { return kvindex.Mix(key ^ r.hash) }

// Name is the replica's id.
func (r *Rep) Name() word.Replica { return r.ID }
