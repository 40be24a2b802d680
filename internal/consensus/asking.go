package consensus

import (
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

func (k *Keeper) wantSeat(r Roster) {
	if k.ending.Load() {
		return
	}
	k.mu.Lock()
	soon := k.wanted != 0 && clock.Since(k.wanted) < askPause
	if !soon {
		k.wanted = clock.Now()
	}
	k.mu.Unlock()
	if soon {
		return
	}
	to := r.All()
	slices.SortStableFunc(to, func(a, b ids.Node) int {
		switch x, y := k.recent(a, hereFor), k.recent(b, hereFor); {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
	for _, n := range to {
		if a, ok := k.Net.Ask(n, Msg{Kind: Join, From: k.Self, Zone: k.Zone}, askTimeout); ok && a.OK {
			return
		}
	}
}

// asked is when a keeper asked for a seat last, and since when it has.
type asked struct {
	at   clock.Tick
	from clock.Tick
	zone ids.Zone
	// told says that it asked another seat, which told of it.
	told bool
}

func (k *Keeper) zoneOf(n ids.Node) ids.Zone {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n == k.Self {
		return k.Zone
	}
	if z, ok := k.others[n]; ok && z != "" {
		return z
	}
	return ids.Zone("of " + n)
}

func (k *Keeper) askers(j ids.Node, z ids.Zone) []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	from := now
	if a, ok := k.asked[j]; ok && now.Sub(a.at) <= askedFor {
		from = a.from
	}
	k.asked[j] = asked{at: now, from: from, zone: z}
	return k.fresh()
}

// Asking are the keepers that asked for a seat of late.
func (k *Keeper) Asking() []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fresh()
}

// fresh is Asking, for those who hold the lock.
func (k *Keeper) fresh() []ids.Node {
	var out []ids.Node
	for n, a := range sorted(k.asked) {
		if clock.Since(a.at) > askedFor {
			delete(k.asked, n)
			continue
		}
		if _, leaves := k.leaving[n]; !leaves {
			out = append(out, n)
		}
	}
	return out
}

// beside names those of the askers who may get a seat beside all others: each
// seat was heard of since they first asked. One that comes in place of a machine
// that went just before would else leave a seat that nobody ever asks for.
func (k *Keeper) beside(r Roster, in []ids.Node) []ids.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(in), func(j ids.Node) bool {
		return slices.ContainsFunc(r.Seat, func(n ids.Node) bool { return n != k.Self && k.heard[n] < k.asked[j].from })
	})
}

// soon tells whether one of the askers began to ask just now, so that others who
// were started with it may be about to.
func (k *Keeper) soon(in []ids.Node) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(in, func(j ids.Node) bool { return clock.Since(k.asked[j].from) < hereFor })
}
