package pool

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

const meterCells = 4

// Meter counts in a sliding window, which a relay reports as a whole: a report
// that is lost or comes twice changes nothing.
type Meter struct {
	mu     sync.Mutex
	window clock.Span
	cells  [meterCells]Counts
	at     [meterCells]int64
}

// NewMeter makes a meter of a window.
func NewMeter(window clock.Span) *Meter { return &Meter{window: max(window, meterCells)} }

// Step is the time between two reports.
func (m *Meter) Step() clock.Span { return m.window / meterCells }

func (m *Meter) cell() *Counts {
	n := int64(clock.Now()) / int64(m.window/meterCells)
	i := n % meterCells
	if m.at[i] != n {
		m.at[i], m.cells[i] = n, Counts{}
	}
	return &m.cells[i]
}

// Read counts a request whose prompt was read: its weight, what of the prompt
// had to be read, and how long that took.
func (m *Meter) Read(s ids.Service, weight, unread int64, took clock.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.cell().work(s)
	b := &w.Buckets[BucketOf(weight)]
	b.N++
	b.Prompt += max(0, unread)
	w.Read.See(float64(max(0, unread)), ms(took), 1)
}

// Written counts output tokens as they were seen, and how long they took.
func (m *Meter) Written(s ids.Service, weight, tokens int64, took clock.Span) {
	if tokens <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.cell().work(s)
	w.Buckets[BucketOf(weight)].Out += tokens
	w.Write.See(float64(tokens), ms(took), 1)
}

func ms(d clock.Span) float64 { return float64(max(0, d)) / float64(clock.Millisecond) }

// Sum is what was seen in the window.
func (m *Meter) Sum() *Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := int64(clock.Now()) / int64(m.window/meterCells)
	out := &Counts{}
	for i := range m.cells {
		if n-m.at[i] < meterCells {
			out.Add(&m.cells[i])
		}
	}
	return out
}
