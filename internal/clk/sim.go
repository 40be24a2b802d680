package clk

import "sync/atomic"

// Sim is a steady clock moved by hand, for tests.
type Sim struct{ at atomic.Int64 }

// Use puts s in place of the steady clock and returns the way back.
func (s *Sim) Use() func() {
	if s.at.Load() == 0 {
		s.at.Store(1)
	}
	fake.Store(s)
	return func() { fake.Store(nil) }
}

// Now reads s.
func (s *Sim) Now() Tick { return Tick(s.at.Load()) }

// Move moves s on by d.
func (s *Sim) Move(d Span) { s.at.Add(int64(d)) }
