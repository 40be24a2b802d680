package consensus

import (
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
)

// confirmMost is how many may wait at once for a confirmation.
const confirmMost = 4096

// Confirmed waits until a majority, under the roster in force, has confirmed
// this keeper in a round that began after the call. What is known here then is
// at least as new as all that was acknowledged before the call.
func (k *Keeper) Confirmed(timeout clock.Span) bool {
	at := clock.Now()
	deadline := at.Add(timeout)
	m := concurrency.NewMark()
	k.mu.Lock()
	if len(k.waiters) >= confirmMost {
		k.mu.Unlock()
		return false
	}
	k.waiters = append(k.waiters, m)
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.waiters = slices.DeleteFunc(k.waiters, func(o *concurrency.Mark) bool { return o == m })
	}()
	for {
		woken := m.Wait(clock.Until(deadline))
		k.mu.Lock()
		ok := k.sure >= at
		k.mu.Unlock()
		if ok || !woken {
			return ok
		}
	}
}

func (k *Keeper) confirmed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.waiters {
		m.Set()
	}
}
