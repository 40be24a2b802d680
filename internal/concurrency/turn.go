package concurrency

import (
	"sync"

	"spoolswitch/internal/clock"
)

// Turn lets one client in at a time, in the order of arrival, queue at most
// Max others. A client that waits past its deadline gives its place up.
type Turn struct {
	Max  int
	mu   sync.Mutex
	busy bool
	line []*place
}

type place struct {
	m   *Mark
	got bool
}

// Take waits for the turn; false if the line is full or d has passed.
func (t *Turn) Take(d clock.Span) bool {
	t.mu.Lock()
	if !t.busy {
		t.busy = true
		t.mu.Unlock()
		return true
	}
	if len(t.line) >= t.Max {
		t.mu.Unlock()
		return false
	}
	p := &place{m: NewMark()}
	t.line = append(t.line, p)
	t.mu.Unlock()
	p.m.Wait(d)
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.got {
		return true
	}
	for i, q := range t.line {
		if q == p {
			t.line = append(t.line[:i], t.line[i+1:]...)
			break
		}
	}
	return false
}

// Give hands the turn to the next in line.
func (t *Turn) Give() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.line) == 0 {
		t.busy = false
		return
	}
	p := t.line[0]
	t.line = t.line[1:]
	p.got = true
	p.m.Set()
}
