// Package clock is the only place that reads a clock. Everything that decides
// anything uses the steady clock; the time of day is offered to calendars only.
package clock

import (
	"sync/atomic"
	"time"
)

// Span is a length of time.
type Span = time.Duration

// Tick is a moment on the steady clock, counted from the start of the process.
type Tick int64

const (
	// Millisecond is one millisecond.
	Millisecond = time.Millisecond
	// Second is one second.
	Second = time.Second
	// Minute is one minute.
	Minute = time.Minute
)

var start = time.Now()

// Clock is a steady clock in place of the machine's.
type Clock interface {
	Now() Tick
	Sleep(d Span)
	// Moment is t as a connection deadline.
	Moment(t Tick) Moment
}

type holder struct{ Clock }

var other atomic.Pointer[holder]

// Use puts c in place of the steady clock and returns the way back.
func Use(c Clock) func() {
	other.Store(&holder{c})
	return func() { other.Store(nil) }
}

// Now reads the steady clock.
func Now() Tick {
	if c := other.Load(); c != nil {
		return c.Now()
	}
	return Tick(time.Since(start)) + 1
}

// Since is the span from t to now.
func Since(t Tick) Span { return Span(Now() - t) }

// Until is the span from now to t.
func Until(t Tick) Span { return Span(t - Now()) }

// Add moves a tick by a span.
func (t Tick) Add(d Span) Tick { return t + Tick(d) }

// Sub is the span from u to t.
func (t Tick) Sub(u Tick) Span { return Span(t - u) }

// Ms turns a count of milliseconds into a span.
func Ms(n float64) Span { return Span(n * float64(time.Millisecond)) }

// Deadline is t as the connection deadline the standard library wants.
func (t Tick) Deadline() time.Time {
	if c := other.Load(); c != nil {
		return c.Moment(t)
	}
	return time.Now().Add(Until(t))
}

// Of is the moment m, which the machine's clock told, on the steady clock; now
// if another clock is in its place.
func Of(m Moment) Tick {
	if other.Load() != nil {
		return Now()
	}
	return Tick(m.Sub(start)) + 1
}

// NoDeadline clears a connection deadline.
func NoDeadline() time.Time { return time.Time{} }

// Past is a connection deadline that has passed already.
func Past() time.Time { return time.Unix(1, 0) }

// Moment is a moment of the time of day.
type Moment = time.Time

// On makes a moment.
func On(year, month, day, hour, minute int) Moment {
	return time.Date(year, time.Month(month), day, hour, minute, 0, 0, time.UTC)
}

// Day is the time of day. It may jump; nothing but calendars may use it.
func Day() Moment { return time.Now() }

// Sleep waits for d.
func Sleep(d Span) {
	if c := other.Load(); c != nil {
		c.Sleep(d)
		return
	}
	time.Sleep(d)
}
