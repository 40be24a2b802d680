package kvindex

import (
	"spoolswitch/internal/clock"
)

type hope struct {
	routed, until clock.Tick
	tokens        int64
}

type hopeful struct {
	hash  uint64
	until clock.Tick
}

// Speculate enters blocks that a request just routed will bring, apart from
// those that are known. Each expires unless an event confirms it.
func (v *View) Speculate(c Chain) {
	d := v.x.lifetime()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	now := clock.Now()
	v.expire(now)
	for _, k := range c {
		if _, ok := v.blocks.Get(k.Hash); ok || len(v.spec) >= specsMost {
			continue
		}
		h, ok := v.spec[k.Hash]
		if !ok {
			h.routed = now
		}
		h.until, h.tokens = now.Add(d), k.Tokens
		v.spec[k.Hash] = h
		v.line = append(v.line, hopeful{k.Hash, h.until})
	}
}

func (v *View) expire(now clock.Tick) {
	i := 0
	for i < len(v.line) && now >= v.line[i].until {
		if h, ok := v.spec[v.line[i].hash]; ok && now >= h.until {
			delete(v.spec, v.line[i].hash)
			expired.Add(1)
		}
		i++
	}
	if i > 0 {
		v.line = append([]hopeful(nil), v.line[i:]...)
	}
}
