package rollout

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Groups is how many groups the replicas of a candidate are counted in, by a hash of
// their id: what routers report does not grow with replicas.
const Groups = 16

// ReportPause is the time between two reports of a router while an order is under way, and
// IdlePause that between two looks for one.
const (
	ReportPause = 300 * clock.Millisecond
	IdlePause   = clock.Second
)

// routesMost bounds the routes that are counted apart; further ones are counted together.
const routesMost = 64

// otherRoutes is the name under which routes beyond routesMost are counted.
const otherRoutes = ""

const filling = " (filling)"

// Filling is the name under which answers on a route are counted that a replica gave while it
// was being filled.
func Filling(route string) string { return route + filling }

// Outcome is what one answer said of the version that gave it.
type Outcome struct {
	// Failed says that the answer was a failure, was broken off or never came.
	Failed bool
	// Slow says that it came several times later than such answers of the service do.
	Slow bool
	// Refused says that the replica did not run the request.
	Refused bool
	// Begun says that the answer was counted already, when its first event came. Answers that
	// last long would else be counted later than failures, and those look frequent.
	Begun bool
}

// Tally counts answers.
type Tally struct {
	Requests, Failed, Slow, Refused int64
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failed += o.Failed
	t.Slow += o.Slow
	t.Refused += o.Refused
}

func (t Tally) minus(o Tally) Tally {
	return Tally{t.Requests - o.Requests, t.Failed - o.Failed, t.Slow - o.Slow, t.Refused - o.Refused}
}

func (t Tally) negative() bool { return t.Requests < 0 || t.Failed < 0 || t.Slow < 0 || t.Refused < 0 }

func (t *Tally) see(o Outcome) {
	if o.Refused {
		t.Refused++
		return
	}
	if !o.Begun {
		t.Requests++
	}
	if o.Failed {
		t.Failed++
	}
	if o.Slow {
		t.Slow++
	}
}

// RouteTally counts the answers on one route: those of the stable version, and those
// of the candidate by group of replicas.
type RouteTally struct {
	Stable    Tally
	Candidate [Groups]Tally
}

// Total counts the answers of all groups.
func (r *RouteTally) Total() (sum Tally) {
	for _, t := range r.Candidate {
		sum.add(t)
	}
	return sum
}

// Counts are what was seen since an order began.
type Counts struct {
	Number uint64
	Routes map[string]*RouteTally
	// Elapsed is how long ago the order was taken, as far as those who counted know: keepers that
	// were down do not.
	Elapsed clock.Span
	// Loaded counts the answers that replicas of the candidate gave while half of their slots, or
	// more, were taken.
	Loaded int64
	// Suspended counts the routers that sent the candidate nothing more, as of what they sent last most failed.
	Suspended int64
}

func (c *Counts) route(name string) *RouteTally {
	if c.Routes == nil {
		c.Routes = map[string]*RouteTally{}
	}
	r := c.Routes[name]
	if r == nil && len(c.Routes) >= routesMost {
		name = otherRoutes
		r = c.Routes[name]
	}
	if r == nil {
		r = &RouteTally{}
		c.Routes[name] = r
	}
	return r
}

// See counts one answer of a replica.
func (c *Counts) See(route string, candidate bool, replica ids.Replica, o Outcome) {
	r := c.route(route)
	if candidate {
		r.Candidate[group(replica)].see(o)
		return
	}
	r.Stable.see(o)
}

func group(replica ids.Replica) int {
	h := fnv.New32a()
	h.Write([]byte(replica))
	return int(h.Sum32() % Groups)
}

// Add adds the counts of another router to the same order.
func (c *Counts) Add(o *Counts) {
	c.Loaded += o.Loaded
	c.Suspended += o.Suspended
	c.Elapsed = max(c.Elapsed, o.Elapsed)
	for name, from := range o.Routes {
		r := c.route(name)
		r.Stable.add(from.Stable)
		for i, t := range from.Candidate {
			r.Candidate[i].add(t)
		}
	}
}

// Samples tells how many answers of both versions there are on each route.
func (c *Counts) Samples() map[string]Sample {
	routes := map[string]Sample{}
	for name, r := range c.Routes {
		route := strings.TrimSuffix(name, filling)
		s := routes[route]
		s.Stable, s.Candidate = s.Stable+r.Stable.Requests, s.Candidate+r.Total().Requests
		routes[route] = s
	}
	return routes
}

// Sample is how many answers there are of both versions.
type Sample struct{ Stable, Candidate int64 }

// Minus is what was counted since earlier counts of the same order.
func (c *Counts) Minus(earlier *Counts) *Counts {
	out := c.Clone()
	if earlier == nil || earlier.Number != c.Number {
		return out
	}
	out.Loaded -= earlier.Loaded
	out.Suspended -= earlier.Suspended
	for name, from := range earlier.Routes {
		r := out.route(name)
		r.Stable = r.Stable.minus(from.Stable)
		for i, t := range from.Candidate {
			r.Candidate[i] = r.Candidate[i].minus(t)
		}
	}
	return out
}

// Clone is a copy of the counts.
func (c *Counts) Clone() *Counts {
	out := &Counts{Number: c.Number}
	out.Add(c)
	return out
}

// Report is what was counted for each service with an order under way: by a router since its
// last report, or by a keeper since the order, for all routers that reported to it.
type Report struct {
	Services map[ids.Service]*Counts
}

// Minus is what was counted since an earlier report, nil being none.
func (r *Report) Minus(earlier *Report) *Report {
	out := &Report{Services: map[ids.Service]*Counts{}}
	for service, counts := range r.Services {
		var before *Counts
		if earlier != nil {
			before = earlier.Services[service]
		}
		out.Services[service] = counts.Minus(before)
	}
	return out
}

// Encode is the report as bytes.
func (r *Report) Encode() []byte { return encode(r) }

const reportMost = 256 << 10

// DecodeReport reads and checks a report.
func DecodeReport(b []byte) (*Report, error) {
	r := &Report{}
	if len(b) > reportMost {
		return nil, codes.New(codes.BadCounts, "%d bytes", len(b))
	}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(r); err != nil {
		return nil, codes.New(codes.BadCounts, "%v", err)
	}
	for service, c := range r.Services {
		if c == nil || c.Loaded < 0 || c.Suspended < 0 || len(c.Routes) > routesMost+1 {
			return nil, codes.New(codes.BadCounts, "service %q", service)
		}
		for route, tally := range c.Routes {
			if tally == nil || tally.Stable.negative() {
				return nil, codes.New(codes.BadCounts, "service %q, route %q", service, route)
			}
			for _, t := range tally.Candidate {
				if t.negative() {
					return nil, codes.New(codes.BadCounts, "service %q, route %q", service, route)
				}
			}
		}
	}
	return r, nil
}

// Text is the counts in a line.
func (c *Counts) Text() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[name]
		t := r.Total()
		out = append(out, fmt.Sprintf("%s: %d/%d/%d of %d, stable %d/%d of %d", name, t.Failed, t.Slow, t.Refused, t.Requests,
			r.Stable.Failed, r.Stable.Slow, r.Stable.Requests))
	}
	return fmt.Sprintf("%s; %d under load; given up by %d", strings.Join(out, "; "), c.Loaded, c.Suspended)
}
