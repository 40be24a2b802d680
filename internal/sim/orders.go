package sim

import (
	"slices"

	"spoolswitch/internal/clock"
)

func (m *maker) orders() {
	p, r := m.p, m.r
	pause := 700 * clock.Millisecond
	if p.Point == 4 {
		pause = 120 * clock.Millisecond
		if r.IntN(3) == 0 {
			p.Routes = 120
		}
	}
	num := 1
	var times []clock.Span
	for _, f := range p.Faults {
		times = append(times, f.At-m.span(0, 40*clock.Millisecond), f.At+m.span(0, clock.Second), f.At+f.For+m.span(0, clock.Second/2))
	}
	for at := 4 * clock.Second; at < p.End; at += m.span(pause/4, pause*2) {
		times = append(times, at)
	}
	slices.Sort(times)
	for _, at := range times {
		num++
		o := Order{At: at, Operator: r.IntN(operator), Num: num}
		if p.Point == rolloutPoint && r.IntN(2) == 0 {
			o.Kind = []string{rolloutOrder, rolloutOrder, rolloutRead}[r.IntN(3)]
			p.Orders = append(p.Orders, o)
			continue
		}
		switch n := r.IntN(100); {
		case n < 32:
			o.Kind = "replace"
		case n < 54:
			o.Kind = "modify"
		case n < 58:
			o.Kind = "invalid"
		case n < 66:
			o.Kind = "again"
			o.Num = r.IntN(num) + 1
		case n < 76:
			o.Kind = "read"
		default:
			o.Kind, o.Zone = []string{"on", "off"}[r.IntN(2)], zones[r.IntN(1+int(3*at/(p.End+1)))]
		}
		p.Orders = append(p.Orders, o)
		if (o.Kind == "replace" || o.Kind == "modify") && r.IntN(5) == 0 {
			t := o
			t.At += m.span(0, 2*clock.Millisecond)
			t.Operator = 1 - t.Operator
			if r.IntN(3) > 0 {
				num++
				t.Num = num
			}
			p.Orders = append(p.Orders, t)
		}
	}
}
