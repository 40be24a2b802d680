package consensus

import (
	"hash/maphash"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// Most rounds find nothing new. A digest's marks, roster and relays are
// therefore told once, and from then on by a sum: who asks names the sum of what
// it has, and the answer leaves them out if they have not changed.

// digests are the last whole digests of other daemons, by daemon.
type digests struct {
	mu   sync.Mutex
	last map[ids.Node]Msg
}

// sumSeed is this process's own: sums are only ever compared by their maker.
var sumSeed = maphash.MakeSeed()

type keyMark struct {
	key  ids.Key
	mark Mark
}

// digestSum is never 0. It does not hang on the order of maps.
func digestSum(m *Msg) uint64 {
	sum := uint64(1)
	for key, mark := range m.Marks {
		sum += maphash.Comparable(sumSeed, keyMark{key, mark})
	}
	for i, n := range m.Relays {
		sum += maphash.Comparable(sumSeed, keyMark{ids.Key(n), Mark{At: ids.Place{Seq: uint64(i)}}})
	}
	for _, seats := range [][]ids.Node{m.Roster.Seat, m.Roster.Next} {
		sum = sum*31 + m.Roster.Num
		for _, n := range seats {
			sum = sum*31 + maphash.String(sumSeed, string(n))
		}
	}
	return max(sum, 1)
}

// summed is a digest as its asker gets it, who has what the sum had stands for.
func (k *Keeper) summed(m Msg, had uint64) Msg {
	m.Sum = digestSum(&m)
	if had == m.Sum {
		m.Same = true
		m.Marks, m.Relays, m.Roster = nil, nil, Roster{}
		m.From, m.Zone = "", "" // told with the whole
	}
	return m
}

// ask is Net.Ask, with digests made whole.
func (k *Keeper) ask(n ids.Node, m Msg, timeout clock.Span) (Msg, bool) {
	if m.Kind != Digest {
		return k.Net.Ask(n, m, timeout)
	}
	k.digests.mu.Lock()
	have := k.digests.last[n]
	k.digests.mu.Unlock()
	m.Sum = have.Sum
	a, ok := k.Net.Ask(n, m, timeout)
	if !ok {
		return a, false
	}
	if a.Same {
		if a.Sum != have.Sum {
			return Msg{}, false
		}
		a.Marks, a.Relays, a.Roster = have.Marks, have.Relays, have.Roster
		return a, true
	}
	k.digests.put(n, a)
	return a, true
}

// digestsKept bounds the digests that are remembered.
const digestsKept = 64

func (d *digests) put(n ids.Node, m Msg) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || len(d.last) >= digestsKept && d.last[n].Sum == 0 {
		d.last = map[ids.Node]Msg{}
	}
	d.last[n] = Msg{Sum: m.Sum, Marks: m.Marks, Relays: m.Relays, Roster: m.Roster}
}
