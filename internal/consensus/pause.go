package consensus

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/guards"
)

const (
	// PauseBeat is how often a running process shows that it runs.
	PauseBeat = 200 * clock.Millisecond
	paused    = 500 * clock.Millisecond
	backlog   = 300 * clock.Millisecond
)

// Pauses knows when this process last stood still: what it reads first after
// that may have been sent long before.
type Pauses struct {
	mu    sync.Mutex
	beat  clock.Tick
	ended clock.Tick
}

// Beat shows that the process runs.
func (p *Pauses) Beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if p.beat != 0 && now.Sub(p.beat) > paused {
		p.ended = now
	}
	p.beat = now
}

// Vouched tells whether what came in at t, or on a connection that was accepted
// at t, was sent after the last pause. No Pauses vouch for all.
func (p *Pauses) Vouched(t clock.Tick) bool {
	if p == nil || guards.Off(guards.Late) {
		return true
	}
	p.Beat()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended == 0 || t > p.ended.Add(backlog)
}
