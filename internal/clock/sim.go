package clock

import (
	"sync/atomic"
	"time"
)

// Sim is a steady clock moved by hand, for tests.
type Sim struct{ at atomic.Int64 }

// Use puts s in place of the steady clock and returns the way back.
func (s *Sim) Use() func() {
	if s.at.Load() == 0 {
		s.at.Store(1)
	}
	return Use(s)
}

// Now reads s.
func (s *Sim) Now() Tick { return Tick(s.at.Load()) }

// Move moves s on by d.
func (s *Sim) Move(d Span) { s.at.Add(int64(d)) }

// Sleep waits for d of real time.
func (s *Sim) Sleep(d Span) { time.Sleep(d) }

// Moment is t as a real connection deadline.
func (s *Sim) Moment(t Tick) Moment { return time.Now().Add(t.Sub(s.Now())) }
