package relay

import (
	"math"
	"sync"

	"spoolswitch/internal/concurrency"
)

const (
	// goldenStep is the fractional part of the golden ratio: multiples of it fill
	// [0, 1) more evenly than random numbers do, however few they are.
	goldenStep = 0.6180339887498949
	// routesMost bounds the routes that are remembered.
	routesMost = 8192
	drawScale  = 1 << 30
)

// draws yields the numbers by which requests on a route are shared out among the
// parts of its distribution. The numbers of each route begin at random, so that
// relays do not favour the same part, and are evenly spread from then on.
type draws struct {
	mu   sync.Mutex
	last map[string]float64
}

// next is the next number of a route, in [0, 1).
func (d *draws) next(route string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.last[route]
	if !known {
		if len(d.last) >= routesMost || d.last == nil {
			d.last = map[string]float64{}
		}
		at = float64(concurrency.IntN(drawScale)) / drawScale
	}
	_, at = math.Modf(at + goldenStep)
	d.last[route] = at
	return at
}
