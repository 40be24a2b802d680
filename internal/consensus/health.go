package consensus

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// reachFor is how long an answer shows that a daemon can be asked, and
// silentFor how long one that did not answer is asked last.
const (
	reachFor  = 1200 * clock.Millisecond
	silentFor = 3 * clock.Second
)

// health is when a daemon last answered what this one asked it, and when it
// last did not. What it asks of this one tells nothing of either: a link may be
// cut one way.
type health struct{ answered, silent clock.Tick }

func (k *Keeper) answers(n ids.Node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.health[n] = health{answered: clock.Now()}
}

func (k *Keeper) misses(n ids.Node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.health[n]
	h.silent = clock.Now()
	k.health[n] = h
}

// reachable tells whether a daemon answered lately, and nothing that it was
// asked since went without an answer. At the start all are taken to be there.
func (k *Keeper) reachable(n ids.Node) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.health[n]
	return h.silent == 0 && clock.Since(max(h.answered, k.local0)) < reachFor
}

// silentSince tells since when a daemon does not answer, 0 if it does or was not
// asked lately.
func (k *Keeper) silentSince(n ids.Node) clock.Tick {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.health[n]
	if h.silent == 0 || clock.Since(h.silent) >= silentFor {
		return 0
	}
	return h.silent
}

// Cut tells whether this keeper sees no majority: a seat that none confirmed
// lately, or one without a seat that no seat answers.
func (k *Keeper) Cut() bool {
	if k.Rounds() {
		return !k.Sure(3 * Beat)
	}
	for _, n := range k.acc.Roster().All() {
		if k.silentSince(n) == 0 {
			return false
		}
	}
	return true
}
