package pick

import "math"

type pace struct {
	n, x, y, xx, xy, yy float64
}

const (
	paceKeep  = 0.98
	paceFirst = 12
)

func (p *pace) see(tokens, ms float64) {
	p.n = p.n*paceKeep + 1
	p.x = p.x*paceKeep + tokens
	p.y = p.y*paceKeep + ms
	p.xx = p.xx*paceKeep + tokens*tokens
	p.xy = p.xy*paceKeep + tokens*ms
	p.yy = p.yy*paceKeep + ms*ms
}

func (p *pace) line() (base, per, spread float64, ok bool) {
	if p.n < paceFirst {
		return 0, 0, 0, false
	}
	vx := p.xx/p.n - p.x/p.n*p.x/p.n
	vy := p.yy/p.n - p.y/p.n*p.y/p.n
	c := p.xy/p.n - p.x/p.n*p.y/p.n
	if vx <= 1 || c <= 0 {
		return 0, 0, 0, false
	}
	per = c / vx
	base = p.y/p.n - per*p.x/p.n
	return base, per, math.Sqrt(max(0, vy-per*c)), true
}
