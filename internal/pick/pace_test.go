package pick

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestPace(t *testing.T) {
	is := is.New(t)
	var p pace
	_, _, _, ok := p.line()
	is.True(!ok)
	for i := range 200 {
		x := float64(100 + i%17*300)
		p.see(x, 30+x*0.01+float64(i%2*4-2))
	}
	base, per, spread, ok := p.line()
	is.True(ok)
	is.True(math.Abs(base-30) < 1)
	is.True(math.Abs(per-0.01) < 0.001)
	is.True(math.Abs(spread-2) < 0.5)
}

// Nothing can be told from sightings that are all alike, or of no slope.
func TestPaceOfNothing(t *testing.T) {
	is := is.New(t)
	var p, q pace
	for i := range 100 {
		p.see(500, 30)
		q.see(float64(i), 100-float64(i))
	}
	_, _, _, ok := p.line()
	is.True(!ok)
	_, _, _, ok = q.line()
	is.True(!ok)
}
