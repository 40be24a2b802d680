package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"spoolswitch/internal/clock"
)

// The test of a candidate is a cumulative sum test (CUSUM, Page 1954) of each route and
// kind of fault. Under the hypothesis that the candidate is as good as the stable
// version its rate of faults lies at most one margin over the stable rate of the same seconds;
// under the alternative it lies another, greater one over it. The sum of log likelihood ratios starts
// anew at 0 whenever it falls below, so that good answers before a late turn do not hide
// it. With the threshold h the mean number of answers between two false alarms is at least
// e^h, even at the edge of what counts as good.
const (
	// threshold is ln of the least mean number of answers between false alarms: 22,000.
	threshold = 10.0
	// suspicion is the sum from which on a measurement fails.
	suspicion = 7.0
	// poolCaution is by how much more the sum over all routes must speak: ln 4, for a quarter of a
	// route's false alarms.
	poolCaution = 1.4
	// rateMost bounds the stable rate that is gone by: beyond it the fleet is in such trouble
	// that nothing can be told of the candidate by this kind of fault.
	rateMost = 0.6
	// rateTop bounds the rate of the alternative.
	rateTop = 0.95
	// rateFades is how soon rates forget, and quickFades how soon those do that follow a
	// sudden trouble of the whole fleet: the stable rate is the greater of both.
	rateFades  = 2 * clock.Second
	quickFades = 400 * clock.Millisecond
	// spread is the least part of the groups of replicas, of those with groupLeast answers of
	// late, that must show the fault: a few sick replicas are no bad version.
	spread     = 0.6
	groupLeast = 3.0
)

// margins are by how much the rate of a kind of fault may lie over the stable rate, and by how
// much it does where the candidate is bad. A new version is slower for a while since its
// replicas keep no prompts yet.
var margins = [faults]margin{failing: {0.05, 0.22}, slowing: {0.10, 0.30}}

// aloneMargins hold while the stable version gets next to nothing, so that there is nothing to
// compare with in the same seconds: a trouble of the whole fleet must not look like one of the
// candidate.
var aloneMargins = [faults]margin{failing: {0.06, 0.24}, slowing: {0.30, 0.60}}

// comparedLeast is how many answers of the stable version of late are enough to compare with.
const comparedLeast = 20

type margin struct{ good, bad float64 }

// fault names a kind of fault that is tested for.
type fault int

const (
	failing fault = iota
	slowing
	faults
)

var faultNames = [faults]string{failing: "failed", slowing: "slow"}

func (f fault) of(t Tally) int64 {
	if f == slowing {
		return t.Slow
	}
	return t.Failed
}

// rate is a share of faults that fades.
type rate struct{ n, bad float64 }

func (r *rate) see(n, bad int64, fade float64) {
	r.n, r.bad = r.n*fade+float64(n), r.bad*fade+float64(bad)
}

func (r *rate) value() float64 { return (r.bad + 0.5) / (r.n + 25) }

// fading is the part of a rate that is left when some time has passed.
func fading(passed, fades clock.Span) float64 {
	return math.Exp(-float64(passed) / float64(fades))
}

// routeTest is the state of the test of one route.
type routeTest struct {
	last   RouteTally
	stable [faults]rate
	// quick is the stable rate that forgets soon.
	quick [faults]rate
	// compared are the answers of the stable version of late.
	compared rate
	sum      [faults]float64
	// groups are the rates of the groups of replicas.
	groups [faults][Groups]rate
}

// pool tests all routes together: it adds up what each speaks by itself, so that evidence that is spread
// over many routes counts as well. Each answer is weighed against the stable rate of its own route.
type pool struct {
	sum [faults]float64
	// groups are the answers of the groups of replicas, and allowed the faults that a good
	// candidate may have among them.
	groups  [faults][Groups]rate
	allowed [faults][Groups]float64
}

// fade lets what was seen fade.
func (p *pool) fade(fade float64) {
	for f := range faults {
		for i := range Groups {
			p.groups[f][i].see(0, 0, fade)
			p.allowed[f][i] *= fade
		}
	}
}

// finding tells what the test of all routes says of a kind of fault.
func (p *pool) finding(f fault) Finding {
	p.sum[f] = max(0, p.sum[f])
	if p.sum[f] < suspicion+poolCaution {
		return Finding{}
	}
	var all rate
	with, of := 0, 0
	for i, g := range p.groups[f] {
		all.n, all.bad = all.n+g.n, all.bad+g.bad
		if g.n < groupLeast {
			continue
		}
		of++
		if g.bad > p.allowed[f][i] {
			with++
		}
	}
	if of == 0 || float64(with) < spread*float64(of) {
		return Finding{}
	}
	why := fmt.Sprintf("all routes: of late %.1f of %.1f answers of the candidate %s, in %d of %d groups", all.bad, all.n, faultNames[f], with, of)
	return Finding{Bad: p.sum[f] >= threshold+poolCaution, Suspect: true, Why: why}
}

// Detector tests the counts of one order, as they grow.
type Detector struct {
	routes map[string]*routeTest
	all    pool
	at     clock.Tick
}

// Finding is what the test says.
type Finding struct {
	// Bad says that the candidate is worse than the stable version, and Suspect that it
	// may be.
	Bad, Suspect bool
	// Why names route, kind of fault and figures.
	Why string
}

// Update takes counts in and tells what the test says now. Counts that are lower than
// before, as when the reports of a keeper are missing, count nothing.
func (d *Detector) Update(c *Counts, now clock.Tick) Finding {
	if d.routes == nil {
		d.routes = map[string]*routeTest{}
	}
	var passed clock.Span
	if d.at != 0 {
		passed = now.Sub(d.at)
	}
	d.at = now
	var worst Finding
	d.all.fade(fading(passed, rateFades))
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		test := d.routes[name]
		if test == nil {
			test = &routeTest{}
			d.routes[name] = test
		}
		if found := test.update(c.Routes[name], passed, &d.all); found.Suspect && !worst.Bad {
			found.Why = fmt.Sprintf("route %s: %s", name, found.Why)
			worst = found
		}
	}
	for f := range faults {
		if found := d.all.finding(f); found.Bad && !worst.Bad || found.Suspect && !worst.Suspect {
			worst = found
		}
	}
	return worst
}

// update adds what came since the last time, and tells what the test says of the route.
func (t *routeTest) update(c *RouteTally, passed clock.Span, all *pool) (worst Finding) {
	fade, quickFade := fading(passed, rateFades), fading(passed, quickFades)
	stable := c.Stable.minus(t.last.Stable)
	if !stable.negative() {
		t.last.Stable = c.Stable
	} else {
		stable = Tally{}
	}
	var fresh [Groups]Tally
	for i, now := range c.Candidate {
		if diff := now.minus(t.last.Candidate[i]); !diff.negative() {
			fresh[i], t.last.Candidate[i] = diff, now
		}
	}
	stableFade := fade
	if stable.Requests == 0 {
		stableFade, quickFade = 1, 1 // what was seen last stands until there is news
	}
	t.compared.see(stable.Requests, 0, fade)
	for f := range faults {
		t.stable[f].see(stable.Requests, f.of(stable), stableFade)
		t.quick[f].see(stable.Requests, f.of(stable), quickFade)
		if found := t.sumUp(f, &fresh, fade, all); found.Suspect && !worst.Bad {
			worst = found
		}
	}
	return worst
}

// sumUp adds fresh answers to the sum of a kind of fault, and tells what it says.
func (t *routeTest) sumUp(f fault, fresh *[Groups]Tally, fade float64, pooled *pool) Finding {
	base := max(t.stable[f].value(), t.quick[f].value())
	if base > rateMost {
		return Finding{}
	}
	over := margins[f]
	if t.compared.n < comparedLeast {
		over = aloneMargins[f]
	}
	good, bad := base+over.good, min(base+over.bad, rateTop)
	onBad, onGood := math.Log(bad/good), math.Log((1-bad)/(1-good))
	var all Tally
	for i := range fresh {
		all.add(fresh[i])
		t.groups[f][i].see(fresh[i].Requests, f.of(fresh[i]), fade)
		pooled.groups[f][i].see(fresh[i].Requests, f.of(fresh[i]), 1)
		pooled.allowed[f][i] += good * float64(fresh[i].Requests)
	}
	k := float64(f.of(all))
	spoken := k*onBad + (float64(all.Requests)-k)*onGood
	pooled.sum[f] += spoken
	t.sum[f] = max(0, t.sum[f]+spoken)
	if t.sum[f] < suspicion {
		return Finding{}
	}
	why := t.spreadOut(f, base, good)
	return Finding{Bad: why != "" && t.sum[f] >= threshold, Suspect: why != "", Why: why}
}

// spreadOut tells whether enough groups of replicas show the fault of late, and says so in
// words.
func (t *routeTest) spreadOut(f fault, base, good float64) string {
	var all rate
	with, of := 0, 0
	for _, g := range t.groups[f] {
		all.n, all.bad = all.n+g.n, all.bad+g.bad
		if g.n < groupLeast {
			continue
		}
		of++
		if g.bad > good*g.n {
			with++
		}
	}
	if of == 0 || float64(with) < spread*float64(of) {
		return ""
	}
	return fmt.Sprintf("of late %.1f of %.1f answers of the candidate %s, in %d of %d groups; %.3f of the stable ones", all.bad, all.n, faultNames[f], with, of, base)
}
