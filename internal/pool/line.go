package pool

import "math"

// Line draws a line through what was seen of sizes and times. The sums of two
// lines add up.
type Line struct {
	N, X, Y, XX, XY, YY float64
}

const lineFirst = 12

// See takes one sighting in; what was seen before keeps part of its weight.
func (p *Line) See(size, ms, keep float64) {
	p.N = p.N*keep + 1
	p.X = p.X*keep + size
	p.Y = p.Y*keep + ms
	p.XX = p.XX*keep + size*size
	p.XY = p.XY*keep + size*ms
	p.YY = p.YY*keep + ms*ms
}

// Add adds what another line has seen.
func (p *Line) Add(o Line) {
	p.N += o.N
	p.X += o.X
	p.Y += o.Y
	p.XX += o.XX
	p.XY += o.XY
	p.YY += o.YY
}

func (p *Line) good() bool {
	for _, v := range []float64{p.N, p.X, p.Y, p.XX, p.XY, p.YY} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}

// Fit is the line's base, slope and spread; false if too little was seen.
func (p *Line) Fit() (base, per, spread float64, ok bool) {
	if p.N < lineFirst {
		return 0, 0, 0, false
	}
	vx := p.XX/p.N - p.X/p.N*p.X/p.N
	vy := p.YY/p.N - p.Y/p.N*p.Y/p.N
	c := p.XY/p.N - p.X/p.N*p.Y/p.N
	if vx <= 1 || c <= 0 {
		return 0, 0, 0, false
	}
	per = c / vx
	base = p.Y/p.N - per*p.X/p.N
	return base, per, math.Sqrt(max(0, vy-per*c)), true
}
