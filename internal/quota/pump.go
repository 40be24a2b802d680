package quota

import (
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

// Verdict is what became of a request's wish for a token.
type Verdict int

// The verdicts.
const (
	// Granted says that there is one.
	Granted Verdict = iota
	// AtLimit says that the tenant has no more now.
	AtLimit
	// Unknown says that nobody could be asked in time.
	Unknown
)

const (
	// retryFirst is the pause before an issuer that did not answer is asked again; it doubles up to retryMost.
	retryFirst = 20 * clock.Millisecond
	retryMost  = 160 * clock.Millisecond
	// failingFor is for how long the issuer may grant nothing to anybody before requests no longer wait for it.
	failingFor = 500 * clock.Millisecond
)

// Pump keeps a client in touch with its issuer, with one request under way at a time.
type Pump struct {
	Client *Client
	// Ask brings a request to the issuer; nil if that does not answer.
	Ask func(*Request) *Answer
	// Pause is the longest time between two looks at what there is to say.
	Pause clock.Span

	kick *concurrency.Mark
	// retry is the pause after the next failure; only the one who exchanges uses it.
	retry clock.Span
	mu    sync.Mutex
	// failing is since when the issuer has not granted anything, 0 while it does.
	failing clock.Tick
	// waiters are those who wait for the next answer.
	waiters map[*concurrency.Mark]bool
}

// NewPump makes a pump for a client.
func NewPump(c *Client, pause clock.Span, ask func(*Request) *Answer) *Pump {
	return &Pump{Client: c, Ask: ask, Pause: pause, kick: concurrency.NewMark(), waiters: map[*concurrency.Mark]bool{}}
}

// Run keeps the client in touch until over says so.
func (p *Pump) Run(over func() bool) {
	for !over() {
		p.kick.Wait(p.Pause)
		p.Exchange()
	}
}

// Exchange asks the issuer once, if there is anything to say, or it did not answer the last time.
func (p *Pump) Exchange() {
	sent := clock.Now()
	q := p.Client.Prepare(sent, p.Failing() > 0)
	if q == nil {
		return
	}
	a := p.Ask(q)
	p.Client.Take(q, sent, a, clock.Now())
	starved := p.Client.starved(clock.Now())
	switch {
	case a == nil:
		p.retry = min(max(retryFirst, 2*p.retry), retryMost)
		clock.Sleep(p.retry)
	case starved:
		clock.Sleep(retryFirst)
	default:
		p.retry = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a != nil:
		p.failing = 0
	case p.failing == 0:
		p.failing = sent
	}
	for mark := range p.waiters {
		mark.Set()
	}
	if len(p.waiters) > 0 && (a == nil || a.Renew || starved) {
		p.kick.Set()
	}
}

// Failing is for how long the issuer has not granted anything to anybody, 0 while it does.
func (p *Pump) Failing() clock.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failing == 0 {
		return 0
	}
	return clock.Since(p.failing)
}

// Acquire spends a token of a tenant, and waits for one until a time.
func (p *Pump) Acquire(tenant ids.Tenant, until clock.Tick) (t Token, v Verdict) {
	now := clock.Now()
	t, ok := p.Client.Spend(tenant, now)
	switch {
	case ok:
		return t, Granted
	case p.Client.Dry(tenant, now):
		return t, AtLimit
	}
	if p.Failing() > failingFor {
		p.Client.miss(tenant)
		return t, Unknown
	}
	v = Unknown
	p.await([]Entry{{Tenant: tenant, Need: 1}}, until, func(now clock.Tick) bool {
		if t, ok = p.Client.Spend(tenant, now); ok {
			v = Granted
			return true
		}
		if p.Client.Dry(tenant, now) {
			v = AtLimit
			return true
		}
		return false
	})
	return t, v
}

// Await waits until there are tokens for some of the entries, none of them is to be had, or a time is over.
func (p *Pump) Await(entries []Entry, until clock.Tick) {
	p.await(entries, until, func(now clock.Tick) bool {
		for _, e := range entries {
			if !p.Client.has(e.Tenant, now) && !p.Client.Dry(e.Tenant, now) {
				return false
			}
		}
		return true
	})
}

// await has the needs of entries told to the issuer until done, or until a time is over.
func (p *Pump) await(entries []Entry, until clock.Tick, done func(now clock.Tick) bool) {
	mark := concurrency.NewMark()
	p.mu.Lock()
	p.waiters[mark] = true
	p.mu.Unlock()
	for _, e := range entries {
		p.Client.wait(e.Tenant, e.Need)
	}
	for now := clock.Now(); !done(now) && now < until; now = clock.Now() {
		p.kick.Set()
		mark.Wait(clock.Until(until))
	}
	for _, e := range entries {
		p.Client.wait(e.Tenant, -e.Need)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, mark)
}
