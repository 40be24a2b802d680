package routing

import (
	"math"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/telemetry"
)

// record is how requests fared, fading.
type record struct {
	n, bad, slow float64
	at           clock.Tick
}

const recordFades = 8 * clock.Second

func (c *record) see(now clock.Tick, bad, slow float64) {
	if c.at != 0 {
		k := math.Exp(-float64(now.Sub(c.at)) / float64(recordFades))
		c.n, c.bad, c.slow = c.n*k, c.bad*k, c.slow*k
	}
	c.at = now
	c.n++
	c.bad += bad
	c.slow += slow
}

// norm is how the requests of a whole service fare.
type norm struct {
	record
	pace pool.Line
}

// The health of a replica is judged by what requests bring, against the others
// of its service; what it says of itself is no verdict. One that stands out is
// ejected for a while that grows, then tried by one request at a time.
const (
	ejectLeast = 3.0
	ejectBad   = 0.3
	ejectSlow  = 0.6
	ejectTimes = 3.0
	ejectShare = 4
	ejectFirst = 2 * clock.Second
	ejectMost  = 16 * clock.Second
	ejectForgo = 30 * clock.Second
	slowTimes  = 3
	slowMore   = 100
	normKeep   = 0.998
	hungLeast  = clock.Second
)

var ejections = telemetry.Counter("replica.ejected")

type outlier struct {
	record
	until clock.Tick
	times int
	probe bool
}

func (f *Fleet) norm(s ids.Service) *norm {
	if f.norms == nil {
		f.norms = map[ids.Service]*norm{}
	}
	n := f.norms[s]
	if n == nil {
		n = &norm{}
		f.norms[s] = n
	}
	return n
}

// in tells whether a replica is not ejected, nor on trial with a request.
func (r *Rep) in(now clock.Tick) bool {
	return now >= r.outlier.until && (!r.outlier.probe || r.running == 0)
}

// expected is how long a prompt takes to be answered by the service as a whole.
func (n *norm) expected(unread int64) (ms float64, ok bool) {
	base, per, _, ok := n.pace.Fit()
	return max(0, base) + per*float64(unread), ok
}

func (f *Fleet) fared(r *Rep, now clock.Tick, bad, slow float64) {
	n := f.norm(r.Service)
	n.see(now, bad, slow)
	o := &r.outlier
	o.see(now, bad, slow)
	if bad == 0 && slow == 0 {
		if o.probe = false; o.times > 0 && now.Sub(o.until) > ejectForgo {
			o.times = 0
		}
		return
	}
	if !o.stands(n) && !o.probe || now < o.until {
		return
	}
	open, out := 0, 0
	for _, p := range f.services[r.Service] {
		if f.open(p, &Ask{}) {
			open++
			if now < p.outlier.until {
				out++
			}
		}
	}
	if (out+1)*ejectShare > open {
		return
	}
	d := min(ejectFirst<<min(o.times, 4), ejectMost)
	o.times++
	o.until, o.probe = now.Add(d), true
	ejections.Add(1)
	telemetry.State("replica ejected", "replica", r.ID, "for", d, "requests", math.Round(o.n), "failed", math.Round(o.bad), "slow", math.Round(o.slow))
	o.record = record{}
}

// stands tells whether a replica stands out from its service.
func (o *outlier) stands(n *norm) bool {
	if o.n < ejectLeast {
		return false
	}
	bad, slow := o.bad/o.n, o.slow/o.n
	// what the others bring, without it
	rest := max(1, n.n-o.n)
	return bad >= ejectBad && bad >= ejectTimes*max(0, n.bad-o.bad)/rest ||
		slow >= ejectSlow && slow >= ejectTimes*max(0, n.slow-o.slow)/rest
}

// Hung takes in that a request brought nothing for so long.
func (f *Fleet) Hung(r *Rep, a *Ask, d clock.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ms := float64(d) / float64(clock.Millisecond)
	want, ok := f.norm(r.Service).expected(a.Promise.Unread)
	if d >= hungLeast && ok && ms > slowTimes*want+slowMore {
		f.fared(r, clock.Now(), 0, 1)
	}
}

// timed takes in how soon an answer began.
func (f *Fleet) timed(r *Rep, p Promise, took clock.Span) {
	n, ms := f.norm(r.Service), float64(took)/float64(clock.Millisecond)
	slow := 0.0
	if want, ok := n.expected(p.Unread); ok && ms > slowTimes*want+slowMore {
		slow = 1
	} else {
		n.pace.See(float64(p.Unread), ms, normKeep)
	}
	f.fared(r, clock.Now(), 0, slow)
}
