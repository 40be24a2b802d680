package kvindex

import (
	"spoolswitch/internal/clock"
)

// Capacity is how many tokens the replica is taken to be able to keep.
func (v *View) Capacity() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.blocks.Most()
}

// Tokens is how many tokens the replica is known to keep.
func (v *View) Tokens() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.blocks.Weight()
}

// Quarantined tells whether the view may not be trusted now.
func (v *View) Quarantined() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lost
}

// Leading is how many of the first blocks of a chain the replica keeps or will
// shortly, none while the view may not be trusted.
func (v *View) Leading(c Chain) (n int, trusted bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lost || v.closed {
		return 0, false
	}
	if v.blocks.Len() == 0 && len(v.spec) == 0 {
		return 0, true
	}
	now := clock.Now()
	for i, k := range c {
		if _, ok := v.blocks.Get(k.Hash); ok {
			continue
		}
		if h, ok := v.spec[k.Hash]; !ok || now >= h.until {
			return i, true
		}
	}
	return len(c), true
}

// Promise is how many leading tokens of a chain are known to be kept, and when
// the one of them unused the longest was used.
func (v *View) Promise(c Chain) (tokens int64, used clock.Tick) {
	v.mu.Lock()
	defer v.mu.Unlock()
	used = clock.Now()
	if v.lost || v.closed {
		return 0, used
	}
	for _, k := range c {
		r, ok := v.blocks.Get(k.Hash)
		if !ok {
			break
		}
		tokens += k.Tokens
		used = min(used, r.used)
	}
	return tokens, used
}

// Unused names the blocks that went unused for d or longer.
func (v *View) Unused(d clock.Span) []Block {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := clock.Now()
	var out []Block
	v.blocks.Each(func(k uint64, r resident) bool {
		if now.Sub(r.used) < d {
			return false
		}
		out = append(out, Block{k, r.tokens})
		return len(out) < blocksMost
	})
	return out
}

func (v *View) count() {
	s := int64(clock.Now()) / int64(clock.Second)
	if s != v.second {
		v.second, v.inSecond = s, 0
	}
	v.inSecond++
	v.peak = max(v.peak, v.inSecond)
}

func (v *View) status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expire(clock.Now())
	s := Status{Epoch: v.epoch, Next: v.next, Gap: v.gap, Quarantined: v.lost,
		Blocks: v.blocks.Len(), Tokens: v.blocks.Weight(), Speculative: len(v.spec), PeakPerS: v.peak}
	if v.lost {
		s.For = clock.Since(v.since)
	}
	return s
}
