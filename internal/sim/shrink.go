package sim

import "slices"

// Shrink finds a smaller plan that the same judge finds broken, by leaving out
// faults and orders, playing so many days at most. It tells how many it played.
func Shrink(p *Plan, most int) (*Plan, *Result, int) {
	last := Play(p, nil)
	played := 1
	if len(last.Broken) == 0 {
		return p, last, played
	}
	judge := last.Broken[0].Judge
	try := func(q *Plan) bool {
		if played >= most {
			return false
		}
		played++
		r := Play(q, nil)
		for _, b := range r.Broken {
			if b.Judge == judge {
				p, last = q, r
				return true
			}
		}
		return false
	}
	for again := true; again && played < most; {
		again = false
		for i := len(p.Faults) - 1; i >= 0; i-- {
			q := *p
			q.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
			again = try(&q) || again
		}
		for n := len(p.Orders) / 2; n > 0; n /= 2 {
			for i := 0; i+n <= len(p.Orders); {
				q := *p
				q.Orders = slices.Delete(slices.Clone(p.Orders), i, i+n)
				if try(&q) {
					again = true
				} else {
					i += n
				}
			}
		}
		for i, f := range p.Faults {
			for j := range f.Nodes {
				if len(p.Faults[i].Nodes) < 2 || j >= len(p.Faults[i].Nodes) {
					break
				}
				q := *p
				q.Faults = slices.Clone(p.Faults)
				q.Faults[i].Nodes = slices.Delete(slices.Clone(p.Faults[i].Nodes), j, j+1)
				again = try(&q) || again
			}
		}
		if p.Diskless > 0 && !slices.ContainsFunc(p.Seeds, func(n int) bool { return n >= p.Core }) {
			q := *p
			q.Diskless = 0
			if _, err := fits(&q); err == nil {
				again = try(&q) || again
			}
		}
	}
	return p, last, played
}
