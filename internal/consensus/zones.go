package consensus

import (
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// Relays is how many relays there are, as far as the keepers know; 0 while this
// one has not run long enough to have heard of all.
func (k *Keeper) Relays() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clock.Since(k.local0) < countAfter {
		return 0
	}
	return len(k.relays)
}

// FedElsewhere tells whether a zone is another than this keeper's and has a seat
// that was heard of lately.
func (k *Keeper) FedElsewhere(z ids.Zone) bool {
	if z == k.Zone {
		return false
	}
	seats := k.acc.Roster().All()
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(seats, func(n ids.Node) bool {
		at, ok := k.heard[n]
		return k.others[n] == z && ok && clock.Since(at) < hereFor
	})
}

// Far tells whether a daemon is known to be in another zone.
func (k *Keeper) Far(n ids.Node) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	z := k.others[n]
	return z != "" && z != k.Zone
}

// KeeperZones tells the zones of keepers.
func (k *Keeper) KeeperZones() map[ids.Node]ids.Zone {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[ids.Node]ids.Zone{k.Self: k.Zone}
	for n, z := range k.others {
		if at, ok := k.heard[n]; ok && clock.Since(at) < 10*clock.Second {
			out[n] = z
		}
	}
	return out
}
