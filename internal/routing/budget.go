package routing

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// Budget is this relay's share of the bound on repeats. The shares of all
// relays add up to less than the bound, so nobody is asked.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window clock.Span
	Shares func() int

	mu sync.Mutex
	of map[ids.Service]*account
}

const cells = 20

const (
	slackPart = 0.6
	ratioPart = 0.7
)

type account struct {
	n       [cells]int
	at      [cells]int64
	repeats []clock.Tick
}

func (b *Budget) account(s ids.Service) *account {
	if b.of == nil {
		b.of = map[ids.Service]*account{}
	}
	a := b.of[s]
	if a == nil {
		a = &account{}
		b.of[s] = a
	}
	return a
}

// Bounds changes the figures of the bound.
func (b *Budget) Bounds(ratio, slack float64, window clock.Span) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.Window {
		b.of = nil
	}
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// Note counts a client's request for a service.
func (b *Budget) Note(s ids.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s)
	c := int64(clock.Now()) / max(1, int64(b.Window)/cells)
	i := c % cells
	if a.at[i] != c {
		a.at[i], a.n[i] = c, 0
	}
	a.n[i]++
}

// Spend takes one repeat out of the share; false if there is none left.
func (b *Budget) Spend(s ids.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s)
	now := clock.Now()
	i := 0
	for i < len(a.repeats) && now.Sub(a.repeats[i]) > b.Window+clock.Second {
		i++
	}
	a.repeats = a.repeats[i:]
	if float64(len(a.repeats)+1) > b.left(a, now) {
		return false
	}
	a.repeats = append(a.repeats, now)
	return true
}

func (b *Budget) left(a *account, now clock.Tick) float64 {
	c := int64(now) / max(1, int64(b.Window)/cells)
	n := 0
	for i := range a.n {
		if c-a.at[i] < cells {
			n += a.n[i]
		}
	}
	return slackPart*b.Slack/float64(max(1, b.Shares())) + ratioPart*b.Ratio*float64(n)
}

// Left is how many repeats are left of the share.
func (b *Budget) Left(s ids.Service) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s)
	return b.left(a, clock.Now()) - float64(len(a.repeats))
}
