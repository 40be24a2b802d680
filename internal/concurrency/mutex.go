package concurrency

import "sync"

// Mutex is a lock that may be held across a wait.
type Mutex struct {
	mu   sync.Mutex
	held bool
	free *Mark
}

// Lock takes the lock.
func (m *Mutex) Lock() {
	w := world.Load()
	if w == nil {
		m.mu.Lock()
		return
	}
	for m.held {
		if m.free == nil {
			m.free = NewMark()
		}
		w.wait(m.free, forever)
	}
	m.held = true
}

// Unlock gives the lock back.
func (m *Mutex) Unlock() {
	w := world.Load()
	if w == nil {
		m.mu.Unlock()
		return
	}
	m.held = false
	if m.free != nil {
		w.set(m.free)
	}
}
