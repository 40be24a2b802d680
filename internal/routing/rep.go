package routing

import (
	"hash/fnv"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/upstream"
)

// Load is what a replica last told of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Rep is one life of a replica as this relay knows it.
type Rep struct {
	discovery.Replica
	Pool *upstream.Pool

	running int
	pend    int64
	load    Load
	loadAt  clock.Tick
	since   int
	cold    clock.Tick
	fails   int
	down    clock.Tick
	downAt  clock.Tick
	gone    bool
	sent    []clock.Tick
	stream  *evidence.Stream
	view    *kvindex.View
	hash    uint64
	prefill bool
	audit   audit
	outlier outlier
	// track goes by the version, sampled says that the replica serves the part of the
	// requests that the candidate of a rollout gets, and filling that it may be filled.
	track            track
	sampled, filling bool
}

const (
	loadFresh = 1500 * clock.Millisecond
	// a place is given back within a few requests' time; a word older than that
	// orders replicas, but refuses nobody
	fullFresh = 250 * clock.Millisecond
	downFirst = 400 * clock.Millisecond
	downMost  = 3 * clock.Second
	coldSpan  = clock.Second + 60*clock.Millisecond
)

func (r *Rep) press(now clock.Tick) int {
	if r.loadAt == 0 || now.Sub(r.loadAt) > loadFresh {
		return r.running
	}
	return max(r.running, r.load.Running+r.load.Waiting+r.since)
}

func (r *Rep) full(now clock.Tick) bool {
	slots := r.Slots
	if slots <= 0 {
		slots = 1 << 20
	}
	if r.loadAt != 0 && now.Sub(r.loadAt) > fullFresh {
		return r.running >= slots
	}
	return r.press(now) >= slots
}

func (r *Rep) up(now clock.Tick) bool {
	return r.downAt == 0 || (now >= r.down && r.running == 0)
}

func (r *Rep) isCold(now clock.Tick) bool { return now < r.cold }

func (f *Fleet) spare(r *Rep, now clock.Tick, bound float64) bool {
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
func (r *Rep) Name() ids.Replica { return r.ID }
