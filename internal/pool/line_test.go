package pool

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestLine(t *testing.T) {
	is := is.New(t)
	var p Line
	_, _, _, ok := p.Fit()
	is.True(!ok)
	for i := range 200 {
		x := float64(100 + i%17*300)
		p.See(x, 30+x*0.01+float64(i%2*4-2), 0.98)
	}
	base, per, spread, ok := p.Fit()
	is.True(ok)
	is.True(math.Abs(base-30) < 1)
	is.True(math.Abs(per-0.01) < 0.001)
	is.True(math.Abs(spread-2) < 0.5)
}

// Nothing can be told from sightings that are all alike, or of no slope.
func TestLineOfNothing(t *testing.T) {
	is := is.New(t)
	var p, q Line
	for i := range 100 {
		p.See(500, 30, 0.98)
		q.See(float64(i), 100-float64(i), 0.98)
	}
	_, _, _, ok := p.Fit()
	is.True(!ok)
	_, _, _, ok = q.Fit()
	is.True(!ok)
}
