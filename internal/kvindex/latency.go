package kvindex

import (
	"math"
	"sync"

	"spoolswitch/internal/clock"
)

// Latency follows how long it takes from routing a request to the news that
// its blocks are stored. Old sightings fade.
type Latency struct {
	mu  sync.Mutex
	n   float64
	bin [latencyBins]float64
}

const (
	latencyBins  = 64
	latencyBase  = float64(clock.Millisecond)
	latencyStep  = 1.25
	latencyFirst = 30
	latencyKeep  = 4096
)

// See takes one sighting in.
func (l *Latency) See(d clock.Span) {
	i := 0
	if x := float64(d) / latencyBase; x > 1 {
		i = min(latencyBins-1, int(math.Log(x)/math.Log(latencyStep))+1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bin[i]++
	if l.n++; l.n > latencyKeep {
		l.n = 0
		for i := range l.bin {
			l.bin[i] /= 2
			l.n += l.bin[i]
		}
	}
}

// At reads a quantile from above; false while too few were seen.
func (l *Latency) At(q float64) (clock.Span, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n < latencyFirst {
		return 0, false
	}
	sum := 0.0
	for i, c := range l.bin {
		if sum += c; sum >= q*l.n {
			return clock.Span(latencyBase * math.Pow(latencyStep, float64(i))), true
		}
	}
	return clock.Span(latencyBase * math.Pow(latencyStep, latencyBins)), true
}
