package rpc

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
)

// call is one call that waits for its answer. The first word of the wire
// counts, an answer or the end of the wire; what comes later, or after the
// caller gave up, changes nothing.
type call[M any] struct {
	mu   sync.Mutex
	a    M
	got  bool
	over bool
	m    *concurrency.Mark
}

func newCall[M any]() *call[M] { return &call[M]{m: concurrency.NewMark()} }

func (c *call[M]) hear(a M, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	c.over = true
	if ok {
		c.a, c.got = a, true
	}
	c.m.Set()
}

// wait waits for at most d and ends the call.
func (c *call[M]) wait(d clock.Span) (M, bool) {
	c.m.Wait(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	return c.a, c.got
}
