package kvindex

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/telemetry"
)

// Miss tells why the first block of a prompt that is not kept is not.
type Miss int

// The outcomes of a lookup. Evicted and NoMatch are told only if every change
// up to the lookup is known; otherwise the answer is that it is unknown.
const (
	Hit Miss = iota
	Evicted
	NoMatch
	LookupLimit
	UnknownHistory
	UnknownEpoch
)

var missNames = [...]string{"hit", "evicted", "no_match", "lookup_limit", "unknown_history", "unknown_epoch"}

// String names the kind of miss.
func (m Miss) String() string { return missNames[m] }

var misses = func() (out [len(missNames)]*telemetry.Count) {
	for i, n := range missNames {
		out[i] = telemetry.Counter("kv.lookup." + n)
	}
	return
}()

// Unlimited is a lookup that may go to the end of the prompt.
const Unlimited int64 = 1 << 62

// Limit is how many tokens of a prompt an engine looks up that has to compute
// the last one again for what it says about the next.
func Limit(prompt int64) int64 { return max(0, prompt-1) }

// Lookup is what became of one.
type Lookup struct {
	// Tokens are known to be kept, and Speculative more are on their way.
	Tokens, Speculative int64
	Miss                Miss
	// Grade is the weakest that the answer rests on.
	Grade Grade
}

// Lookup looks the blocks of a prompt up, as far as its limit in tokens, and
// attributes the first miss.
func (x *Index) Lookup(e Epoch, c Chain, limit int64) Lookup {
	x.mu.Lock()
	v := x.views[e.Publisher]
	x.mu.Unlock()
	l := Lookup{Miss: UnknownEpoch}
	if v != nil && v.epoch == e {
		l = v.lookup(c, limit)
	}
	misses[l.Miss].Add(1)
	return l
}

func (v *View) lookup(c Chain, limit int64) (l Lookup) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.lost || v.gap:
		return Lookup{Miss: UnknownHistory}
	case !v.began || v.closed:
		return Lookup{Miss: UnknownEpoch}
	}
	now := clock.Now()
	pos, known := int64(0), true
	for _, k := range c {
		if pos += k.Tokens; pos > limit {
			l.Miss = LookupLimit
			return l
		}
		if r, ok := v.blocks.Get(k.Hash); ok {
			if known {
				l.Tokens += k.Tokens
				l.Grade = max(l.Grade, r.grade)
			} else {
				l.Speculative += k.Tokens
			}
			continue
		}
		if h, ok := v.spec[k.Hash]; ok && now < h.until {
			known = false
			l.Speculative += k.Tokens
			continue
		}
		l.Miss = NoMatch
		if _, ok := v.gone.Get(k.Hash); ok {
			l.Miss = Evicted
		}
		return l
	}
	return l
}
