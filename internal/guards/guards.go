// Package guards names the guards of the control side, so that a hunt can switch
// one off and tell who misses it. In a daemon all are on: only the simulator
// switches.
package guards

import (
	"slices"
	"strings"
	"sync/atomic"
)

// Guard is something that keeps one kind of fault away.
type Guard string

// The guards.
const (
	// Confirm is the majority that confirms a lease before it is gone by.
	Confirm Guard = "confirm"
	// Fresh is the majority that confirms a keeper before it feeds relays.
	Fresh Guard = "fresh"
	// Majority is the majority of disks that a change waits for.
	Majority Guard = "majority"
	// Epoch is the refusal of what is of an earlier epoch.
	Epoch Guard = "epoch"
	// Roster is the refusal of what goes by an earlier roster.
	Roster Guard = "roster"
	// Floor is the epoch below which nothing counts once a lost disk was read
	// back.
	Floor Guard = "floor"
	// Keys is the asking of majorities for their keys when seats change.
	Keys Guard = "keys"
	// Sync is the sync of a record before it is answered.
	Sync Guard = "sync"
	// Folder is the sync of the folder after files were made or renamed.
	Folder Guard = "folder"
	// Dedup is the memory of the orders that were taken.
	Dedup Guard = "dedup"
	// Late is the fence of orders that were delivered late.
	Late Guard = "late"
	// Seeds is the telling of rosters to seeds.
	Seeds Guard = "seeds"
	// Copies is the repair of values that a seat has missed.
	Copies Guard = "copies"
	// Hops is the end of forwarding.
	Hops Guard = "hops"
	// Steps is the refusal of steps of a rollout that are out of their order.
	Steps Guard = "steps"
	// Verdict is the refusal of a second verdict on one order of a rollout.
	Verdict Guard = "verdict"
)

var off atomic.Pointer[[]string]

// Off tells whether a guard is switched off.
func Off(g Guard) bool {
	p := off.Load()
	return p != nil && slices.Contains(*p, string(g))
}

// Without switches a guard off, or several joined by +, and returns the way back.
func Without(g Guard) func() {
	gs := strings.Split(string(g), "+")
	off.Store(&gs)
	return func() { off.Store(nil) }
}
