package keep

import (
	"spoolswitch/internal/clk"
	"spoolswitch/internal/word"
)

const trailKept = 512

func (k *Keeper) step(key word.Key, at word.Place, what string) { k.stepOf(k.Self, key, at, what) }

func (k *Keeper) stepOf(n word.Node, key word.Key, at word.Place, what string) {
	if key == word.List {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.trail = append(k.trail, Step{Key: key, At: at, What: what, Node: n})
	k.trailAt = append(k.trailAt, clk.Now())
	if len(k.trail) > 2*trailKept {
		k.trail = append([]Step(nil), k.trail[trailKept:]...)
		k.trailAt = append([]clk.Tick(nil), k.trailAt[trailKept:]...)
	}
}

// Trail reads the steps kept of a key, oldest first.
func (k *Keeper) Trail(key word.Key) []Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []Step
	for i, s := range k.trail {
		if s.Key == key {
			s.Ago = clk.Since(k.trailAt[i])
			out = append(out, s)
		}
	}
	return out
}
