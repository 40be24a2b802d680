// Package ids holds the small types that ids, versions and places are made of.
package ids

import (
	"fmt"
	"strings"
)

// Version is the version of a configuration.
type Version int64

// Node names a daemon.
type Node string

// Addr is the address of a daemon or replica, IP and port.
type Addr string

// Zone names a zone.
type Zone string

// Service names a service.
type Service string

// Replica is the id of one life of a replica.
type Replica string

// Tenant names a tenant.
type Tenant string

// Software is the version of a replica's software.
type Software string

// Key names a register of the control state.
type Key string

const (
	// Configuration is the key of the configuration.
	Configuration Key = "configuration"
	// Roster is the key of the keepers' own roster.
	Roster Key = "roster"
	// ListDuty is the key of the duty of polling the platform's list.
	ListDuty Key = "duty/list"
	// PoolDuty is the key of the duty of planning the pools.
	PoolDuty Key = "duty/pool"
	// RolloutDuty is the key of the duty of taking rollouts through their steps.
	RolloutDuty Key = "duty/rollout"
	// QuotaDuty is the key of the duty of granting tokens of tenants.
	QuotaDuty Key = "duty/quota"
	// Plan is the key under which the plan of the pools travels in the feed.
	Plan Key = "plan"
	// List is the key under which the list travels in the feed.
	List Key = "list"

	evac    = "evacuation/"
	rollout = "rollout/"
	drift   = "drift/"
)

// Evacuation is the key of a zone's evacuation.
func Evacuation(z Zone) Key { return Key(evac + string(z)) }

// Rollout is the key of a service's rollout.
func Rollout(s Service) Key { return Key(rollout + string(s)) }

// Drift is the key under which news of a replica's drifted record travels.
func Drift(r Replica) Key { return Key(drift + string(r)) }

// Drifted tells which replica a drift key is about.
func (k Key) Drifted() (Replica, bool) {
	s, ok := strings.CutPrefix(string(k), drift)
	return Replica(s), ok
}

// Kept tells whether values of the key are kept on disks.
func (k Key) Kept() bool {
	_, d := k.Drifted()
	return !k.Shared() && !d
}

// Shared tells whether the key's value is what one keeper with a duty told, kept
// by all in memory.
func (k Key) Shared() bool { return k == List || k == Plan }

// Duty tells whether the key is that of a duty.
func (k Key) Duty() bool { return k == ListDuty || k == PoolDuty || k == RolloutDuty || k == QuotaDuty }

// Evacuated tells which zone an evacuation key is about.
func (k Key) Evacuated() (Zone, bool) {
	s, ok := strings.CutPrefix(string(k), evac)
	return Zone(s), ok
}

// RolledOut tells which service a rollout key is about.
func (k Key) RolledOut() (Service, bool) {
	s, ok := strings.CutPrefix(string(k), rollout)
	return Service(s), ok
}

// Ordered tells whether the key's value is changed by orders that name no value to build
// on: those that other daemons forward are bound to the place of the value.
func (k Key) Ordered() bool {
	return strings.HasPrefix(string(k), evac) || strings.HasPrefix(string(k), rollout)
}

// Epoch orders the leases of a key. No two leases share one: Life is drawn anew
// at each start of a daemon.
type Epoch struct {
	Round uint64
	Node  Node
	Life  uint64
}

// Less tells whether e comes before f.
func (e Epoch) Less(f Epoch) bool {
	if e.Round != f.Round {
		return e.Round < f.Round
	}
	if e.Node != f.Node {
		return e.Node < f.Node
	}
	return e.Life < f.Life
}

// Zero tells whether e is no epoch at all.
func (e Epoch) Zero() bool { return e.Round == 0 }

// String is the round and the node of the epoch.
func (e Epoch) String() string { return fmt.Sprintf("%d@%s", e.Round, e.Node) }

// Place is the place of a value among all values of its key.
type Place struct {
	Epoch Epoch
	Seq   uint64
}

// Less tells whether p comes before q.
func (p Place) Less(q Place) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch.Less(q.Epoch)
	}
	return p.Seq < q.Seq
}

// Zero tells whether p is no place at all.
func (p Place) Zero() bool { return p.Epoch.Zero() }

// String is the epoch and the sequence number of the place.
func (p Place) String() string { return fmt.Sprintf("%s.%d", p.Epoch, p.Seq) }
