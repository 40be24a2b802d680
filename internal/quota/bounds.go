// Package quota keeps the requests of each tenant within its limit, summed over all daemons, whether they reach
// each other or not. A request that counts spends a token. One keeper, the holder of the quota duty, mints tokens
// at the tenant's rate; tokens are passed on, to keepers and by them to relays, under leases that end on the steady
// clock of whoever has them. How many tokens there are in all is bounded at each moment, so that no window has
// more requests than the bound and what was minted in it (docs/quota.md).
package quota

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

const (
	// Lease is how long tokens may be spent after they were asked for, or the lease was renewed.
	Lease = 3 * clock.Second
	// ConfirmedFor is how long the holder of the duty grants after it asked for the majority's confirmation that
	// it still has the duty.
	ConfirmedFor = 400 * clock.Millisecond
	// headroomPart is the part of what the bounds add to a limit that tokens of one holder may use: holders that
	// follow each other within a lease have a part each.
	headroomPart = 1.0 / 3
)

// Limit is the limit of one tenant.
type Limit struct {
	// RatePerS is how many requests a second are let through, 0 for no limit.
	RatePerS float64
	// Burst is how many more may come at once.
	Burst float64
}

// Bounds are the figures of the rule on quotas: in a window at most (rate x window + burst) x (1 + overrun) + slack
// requests of a tenant run.
type Bounds struct {
	Window  clock.Span
	Overrun float64
	Slack   float64
}

// headroom is what the bounds add to a limit, in requests a window.
func (b Bounds) headroom(l Limit) float64 {
	return b.Overrun*(l.RatePerS*b.Window.Seconds()+l.Burst) + b.Slack
}

// capacity is how many tokens of a tenant there may be at once. A rate without a burst needs one.
func (b Bounds) capacity(l Limit) float64 { return max(1, l.Burst+headroomPart*b.headroom(l)) }

// firstCapacity is how many tokens a new holder may have out while tokens of the last one may be left.
func (b Bounds) firstCapacity(l Limit) float64 { return headroomPart * b.headroom(l) }

// Limits tells the limit of a tenant in the newest configuration; false if it has no such tenant.
type Limits func(ids.Tenant) (Limit, bool)
