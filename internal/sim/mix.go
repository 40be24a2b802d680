package sim

import (
	"slices"

	"spoolswitch/internal/clock"
)

// Mix is a described set of faults.
type Mix struct {
	Point int
	What  string
	Kinds map[string]int
}

// Mixes are the mixes, by point; 0 is all together.
func Mixes() []Mix {
	ms := []Mix{
		{1, "cuts both ways and one way, freezes, seeds that change, replaced machines, all killed, all without power",
			map[string]int{"cut": 8, "freeze": 4, "seeds": 5, "replace": 2, "kill-all": 2, "blackout": 2, "reset": 1, "relay-cut": 2, "slow-disk": 1, "kill": 1, "cut-freeze": 2}},
		{2, "orders that race, answers lost, orders sent again after owners moved, restarts, a lost disk",
			map[string]int{"answers-lost": 6, "kill": 5, "freeze": 4, "reset": 3, "cut": 3, "wipe": 2, "restart": 3, "slow-node": 2, "kill-all": 1}},
		{3, "seats that change, with a further loss at every step",
			map[string]int{"replace": 6, "wipe": 4, "kill": 3, "blackout": 2, "cut": 3, "restart": 2, "grow": 3, "leave": 2, "freeze": 2, "kill-all": 1}},
		{4, "hundreds of changes with a member away, logs rewritten, disks full, slow, stalled or refusing, all without power",
			map[string]int{"away": 4, "rewrite": 5, "refuse": 5, "full-disk": 3, "slow-disk": 3, "stall-disk": 3, "blackout": 3, "power": 4, "kill-all": 1, "wipe": 1, "slow-link": 1}},
	}
	all := Mix{0, "all together", map[string]int{}}
	for _, m := range ms {
		for k, n := range m.Kinds {
			all.Kinds[k] += n
		}
	}
	return append(append([]Mix{all}, ms...), rolloutMix, successionMix, serialMix)
}

// rolloutMix is the mix of rolloutPoint: orders for rollouts among those for configurations.
var rolloutMix = Mix{rolloutPoint, "rollouts to good and bad versions, their holders and owners cut, frozen and killed, disks lost, all without power",
	map[string]int{"cut": 6, "freeze": 4, "kill": 4, "restart": 2, "wipe": 2, "kill-all": 2, "blackout": 3, "answers-lost": 3, "reset": 2, "relay-cut": 3, "cut-freeze": 1, "slow-node": 1}}

const (
	rolloutPoint = 5
	// Quotas are parts of a processor, and quotaStep is how long a thread is reckoned to run each
	// time: several times what it takes, so that quotas are spent.
	quotaLeast, quotaMost = 0.2, 0.5
	quotaStep             = clock.Millisecond / 2
)

// succession is the replacement of machines of the core in order, one after the other: all
// successors are up first.
const succession = "succession"

// successionMix is the mix of machines that are replaced in order, with losses on the way.
var successionMix = Mix{successionPoint, "machines of the core replaced in order, one right after the other, beside all that may be lost meanwhile",
	map[string]int{succession: 12, "cut": 2, "freeze": 3, "kill": 4, "restart": 2, "wipe": 2, "power": 2, "slow-disk": 1, "reset": 1, "blackout": 1, "kill-all": 1}}

// successionPoint is the mix of successions.
const successionPoint = 6

// serially is the removal without a word of machines of the core, one after the other: each goes as soon
// as the successor of the last one has had its time to catch up.
const serially = "serially"

// serialMix is the mix of machines that are removed one after the other.
var serialMix = Mix{serialPoint, "machines of the core removed without a word, each once the successor of the last has caught up, beside all else that may be lost",
	map[string]int{serially: 8, "cut": 1, "freeze": 1, "kill": 1, "slow-disk": 1, "reset": 1, "kill-all": 1, "blackout": 1}}

// serialPoint is the mix of serial removals.
const serialPoint = 7

// known tells whether there is a fault of a kind.
func known(kind string) bool {
	return slices.ContainsFunc(Mixes(), func(m Mix) bool { return m.Kinds[kind] > 0 })
}

// Points counts the mixes.
const Points = 8
