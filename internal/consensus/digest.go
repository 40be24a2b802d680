package consensus

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"io"
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

// digestSum stands for the marks, the roster and the relays of a digest. It is
// never 0, does not hang on the order of maps, and is the same in each process,
// so that simulated days repeat.
func digestSum(m *Msg) uint64 {
	sum := uint64(0)
	for key, mark := range m.Marks {
		h := newSummer()
		h.text(string(key))
		h.epoch(mark.Promised)
		h.place(mark.At)
		h.place(mark.Known)
		sum += h.Sum64()
	}
	h := newSummer()
	h.number(m.Roster.Num)
	for _, nodes := range [][]ids.Node{m.Roster.Seat, m.Roster.Next, m.Relays} {
		h.number(uint64(len(nodes)))
		for _, n := range nodes {
			h.text(string(n))
		}
	}
	return max(sum+h.Sum64(), 1)
}

// summer hashes fields, each with its length or of a fixed size.
type summer struct{ hash.Hash64 }

func newSummer() summer { return summer{fnv.New64a()} }

func (h summer) number(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:])
}

func (h summer) text(s string) {
	h.number(uint64(len(s)))
	_, _ = io.WriteString(h, s)
}

func (h summer) epoch(e ids.Epoch) {
	h.number(e.Round)
	h.text(string(e.Node))
	h.number(e.Life)
}

func (h summer) place(p ids.Place) {
	h.epoch(p.Epoch)
	h.number(p.Seq)
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
