package sim

import "spoolswitch/internal/guards"

// Missed is a guard, what it keeps away, and the mix in which it is missed.
type Missed struct {
	Guard guards.Guard
	What  string
	Point int
}

// Guards are the guards that a hunt can switch off.
func Guards() []Missed {
	return []Missed{
		{guards.Majority, "a change waits for a majority of disks", 1},
		{guards.Confirm, "a majority confirms a lease before a reading or a refusal is answered", 1},
		{guards.Fresh, "a majority confirms a keeper before it feeds relays", 1},
		{guards.Epoch, "what is of an earlier epoch is refused", 2},
		{guards.Roster, "what goes by an earlier roster is refused", 3},
		{guards.Floor, "nothing counts below the epoch that a lost disk was read back at", 3},
		{guards.Keys, "a change of seats asks majorities for their keys", 3},
		{guards.Sync, "a record is synced before it is answered", 4},
		{guards.Folder, "the folder is synced after a rewrite", 4},
		{guards.Dedup, "an order that was taken is known when it comes again", 2},
		{guards.Late, "an order that was delivered late is not carried out", 1},
		{guards.Seeds, "seeds are told who has a seat", 1},
		{guards.Copies, "a value that a seat missed comes to its disk", 1},
		{guards.Hops, "an order is forwarded once", 1},
		{guards.Steps + "+" + guards.Late, "both of these", rolloutPoint},
		{guards.Verdict + "+" + guards.Late, "both of these", rolloutPoint},
		{guards.Hops + "+" + guards.Seeds, "both of these", 1},
		{guards.Keys + "+" + guards.Copies, "both of these", 3},
	}
}

// Alone plays the plan of a seed without a guard. It tells what broke only if
// the same day with the guard is whole.
func Alone(seed uint64, m Missed) (*Result, bool) {
	p := Make(seed, m.Point)
	p.Without = m.Guard
	r := Play(p, nil)
	if len(r.Broken) == 0 {
		return r, false
	}
	return r, len(Play(Make(seed, m.Point), nil).Broken) == 0
}
