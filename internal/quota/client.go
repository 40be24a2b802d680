package quota

import (
	"math"
	"slices"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

const (
	// idleAfter is after how long without demand unspent tokens are given back.
	idleAfter = 2 * clock.Second
	// dryPause is how long a tenant that is at its limit is not asked for again.
	dryPause = 100 * clock.Millisecond
	// advancePause is the least time between two requests for tokens in advance.
	advancePause = 250 * clock.Millisecond
	// renewAt is how much of a lease is left when it is renewed without another reason.
	renewAt = Lease * 3 / 4
)

// Advance is what a client asks for in advance.
type Advance struct {
	// Cover is for how long tokens are asked for, going by the demand over a time.
	Cover, Over clock.Span
	// DemandLeast is the least demand, in tokens a second, for which any are.
	DemandLeast float64
	// Least is how many tokens are asked for at least, if any.
	Least int64
}

// Token is what a request spends. It can't be used after its lease.
type Token struct {
	tenant ids.Tenant
	life   uint64
	until  clock.Tick
}

// Valid tells whether the lease of the token still holds.
func (t *Token) Valid(now clock.Tick) bool { return now < t.until }

// Client has tokens of an issuer: a relay those of its keeper, a keeper those of the holder of the duty.
type Client struct {
	self    ids.Node
	advance Advance

	mu    sync.Mutex
	life  uint64
	seq   uint64
	until clock.Tick
	// accounts are those of this life, earlier what was left of the lives before.
	accounts map[ids.Tenant]*account
	earlier  []earlierLife
}

// account is what a client has of one tenant's tokens.
type account struct {
	granted, spent, returned int64
	// lent are those that were passed on, and not settled.
	lent int64
	// toldSpent and toldReturned are the counts that the issuer was told last.
	toldSpent, toldReturned int64
	// waiting is how many requests wait for a token; missed says that one did not get any and could not wait.
	waiting  int64
	missed   bool
	demand   float64
	demandAt clock.Tick
	// grantedAt is when tokens came last, advancedAt when some were asked for in advance.
	grantedAt, advancedAt clock.Tick
	dryUntil              clock.Tick
}

// earlierLife is what was left of a life that ended before its lease.
type earlierLife struct {
	until clock.Tick
	left  map[ids.Tenant]int64
}

func (a *account) balance() int64 { return a.granted - a.spent - a.returned - a.lent }

// NewClient makes a client that has nothing yet.
func NewClient(self ids.Node, advance Advance) *Client {
	return &Client{self: self, advance: advance, life: concurrency.Uint64() | 1, accounts: map[ids.Tenant]*account{}}
}

// Spend spends a token of a tenant, if there is one.
func (c *Client) Spend(tenant ids.Tenant, now clock.Tick) (Token, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(tenant)
	if now < c.until && a.balance() > 0 {
		a.spent++
		c.demanded(a, 1, now)
		return Token{tenant, c.life, c.until}, true
	}
	if n, until := c.takeEarlier(tenant, 1, now); n > 0 {
		c.demanded(a, 1, now)
		return Token{tenant, 0, until}, true
	}
	return Token{}, false
}

// Unspend takes a token back whose request did not run. One whose spending was told stays spent.
func (c *Client) Unspend(t Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.accounts[t.tenant]; a != nil && t.life == c.life && a.spent > a.toldSpent {
		a.spent--
	}
}

// Dry tells whether a tenant was at its limit a moment ago.
func (c *Client) Dry(tenant ids.Tenant, now clock.Tick) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[tenant]
	return a != nil && now < a.dryUntil
}

// wait notes that more or fewer requests wait for tokens of a tenant.
func (c *Client) wait(tenant ids.Tenant, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(tenant).waiting += n
}

// miss notes that a request did not get a token and does not wait for one.
func (c *Client) miss(tenant ids.Tenant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(tenant).missed = true
}

// has tells whether there are tokens of a tenant.
func (c *Client) has(tenant ids.Tenant, now clock.Tick) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[tenant]
	return a != nil && now < c.until && a.balance() > 0
}

// starved tells whether requests wait for tokens of a tenant that has none and is not known to be at its limit.
func (c *Client) starved(now clock.Tick) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.accounts {
		if a.waiting > 0 && a.balance() <= 0 && now >= a.dryUntil {
			return true
		}
	}
	return false
}

// account is for those who hold the lock.
func (c *Client) account(tenant ids.Tenant) *account {
	a := c.accounts[tenant]
	if a == nil {
		a = &account{}
		c.accounts[tenant] = a
	}
	return a
}

// demanded counts n tokens that were taken.
func (c *Client) demanded(a *account, n int64, now clock.Tick) {
	a.demand = c.demandNow(a, now) + float64(n)/c.advance.Over.Seconds()
	a.demandAt = now
}

// demandNow is the demand in tokens a second.
func (c *Client) demandNow(a *account, now clock.Tick) float64 {
	if a.demandAt == 0 {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/c.advance.Over.Seconds())
}

// Prepare makes the next request to the issuer; nil if there is nothing to say, unless it is to be probed.
func (c *Client) Prepare(now clock.Tick, probe bool) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until != 0 && now >= c.until {
		c.begin(now)
	}
	q := &Request{Client: c.self, Life: c.life, Seq: c.seq + 1}
	due := c.seq > 0 && c.until.Sub(now) < renewAt
	renew := false
	for tenant, a := range c.accounts {
		need := a.waiting
		if a.missed {
			need = max(1, need)
		}
		a.missed = false
		want := need + c.inAdvance(a, now)
		c.giveBack(a, now)
		if want > 0 || a.spent != a.toldSpent || a.returned != a.toldReturned {
			q.Entries = append(q.Entries, Entry{Tenant: tenant, Spent: a.spent, Returned: a.returned, Need: need, Want: want})
		}
		renew = renew || due && a.granted > a.spent+a.returned
	}
	if len(q.Entries) == 0 && !renew && !probe {
		return nil
	}
	c.seq = q.Seq
	return q
}

// inAdvance is how many tokens are asked for beyond those that requests wait for.
func (c *Client) inAdvance(a *account, now clock.Tick) int64 {
	demand := c.demandNow(a, now)
	if demand < c.advance.DemandLeast || now < a.dryUntil || now.Sub(a.advancedAt) < advancePause {
		return 0
	}
	target := max(c.advance.Least, int64(math.Ceil(demand*c.advance.Cover.Seconds())))
	have := max(0, a.balance())
	if have > target/2 {
		return 0
	}
	a.advancedAt = now
	return target - have
}

// giveBack gives tokens back that nobody asked for of late.
func (c *Client) giveBack(a *account, now clock.Tick) {
	if n := a.balance(); n > 0 && a.waiting == 0 && c.demandNow(a, now) < c.advance.DemandLeast && now.Sub(max(a.demandAt, a.grantedAt)) > idleAfter {
		a.returned += n
	}
}

// Take takes the answer to a request in, which was sent at a time; nil if there was none.
func (c *Client) Take(q *Request, sent clock.Tick, answer *Answer, now clock.Tick) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer == nil || q.Life != c.life {
		return
	}
	if answer.Renew {
		c.begin(now)
		return
	}
	c.until = max(c.until, sent.Add(answer.Lease))
	for _, e := range q.Entries {
		a := c.account(e.Tenant)
		a.toldSpent, a.toldReturned = max(a.toldSpent, e.Spent), max(a.toldReturned, e.Returned)
	}
	for _, l := range answer.Loose {
		c.earlier = append(c.earlier, earlierLife{sent.Add(l.Lease), map[ids.Tenant]int64{l.Tenant: l.Tokens}})
	}
	for _, g := range answer.Grants {
		a := c.account(g.Tenant)
		if g.Granted > a.granted {
			a.granted, a.grantedAt = g.Granted, now
		}
		if g.Dry {
			a.dryUntil = now.Add(dryPause)
		}
	}
}

// takeEarlier takes up to n tokens that are left of one earlier life, and tells how long they may be spent. It is for
// those who hold the lock.
func (c *Client) takeEarlier(tenant ids.Tenant, n int64, now clock.Tick) (int64, clock.Tick) {
	c.earlier = slices.DeleteFunc(c.earlier, func(e earlierLife) bool { return now >= e.until })
	for _, e := range c.earlier {
		if left := min(n, e.left[tenant]); left > 0 {
			e.left[tenant] -= left
			return left, e.until
		}
	}
	return 0, 0
}

// begin begins another life. What is left may be spent until the lease ends. It is for those who hold the lock.
func (c *Client) begin(now clock.Tick) {
	e := earlierLife{until: c.until, left: map[ids.Tenant]int64{}}
	fresh := map[ids.Tenant]*account{}
	for tenant, a := range c.accounts {
		if n := a.balance(); n > 0 && now < c.until {
			e.left[tenant] = n
		}
		if a.waiting > 0 || c.demandNow(a, now) > 0.01 {
			fresh[tenant] = &account{waiting: a.waiting, demand: a.demand, demandAt: a.demandAt, dryUntil: a.dryUntil}
		}
	}
	if len(e.left) > 0 {
		c.earlier = append(c.earlier, e)
	}
	c.accounts = fresh
	c.life, c.seq, c.until = concurrency.Uint64()|1, 0, 0
}
