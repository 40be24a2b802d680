package quota

import (
	"spoolswitch/internal/clock"
)

// Stock is what a client has as a source for an issuer: a keeper passes tokens on that it has itself under a lease.
type Stock struct{ Client *Client }

// Life is the life of the client.
func (s Stock) Life() uint64 {
	s.Client.mu.Lock()
	defer s.Client.mu.Unlock()
	return s.Client.life
}

// LeaseLeft is how long the client's own lease lasts.
func (s Stock) LeaseLeft(now clock.Tick) clock.Span {
	s.Client.mu.Lock()
	defer s.Client.mu.Unlock()
	return max(0, s.Client.until.Sub(now))
}

// Take passes tokens on: what requests wait for, and half of the rest at most in advance.
func (s Stock) Take(life uint64, e Entry, now clock.Tick) (n int64, dry bool) {
	c := s.Client
	c.mu.Lock()
	defer c.mu.Unlock()
	if life != c.life || now >= c.until {
		return 0, false
	}
	a := c.account(e.Tenant)
	have := max(0, a.balance())
	n = min(e.Need, have)
	n += min(max(0, e.Want-e.Need), (have-n+1)/2)
	a.lent += n
	c.demanded(a, n, now)
	return n, n < e.Need && now < a.dryUntil
}

// Settle takes in what became of tokens that were passed on.
func (s Stock) Settle(life uint64, done Settlement, _ clock.Tick) {
	c := s.Client
	c.mu.Lock()
	defer c.mu.Unlock()
	if life != c.life {
		return
	}
	a := c.account(done.Tenant)
	a.lent -= done.Spent + done.Returned
	a.spent += done.Spent
}

// Loosen hands out tokens that are left of an earlier life of the client.
func (s Stock) Loosen(e Entry, now clock.Tick) (l Loose, ok bool) {
	c := s.Client
	c.mu.Lock()
	defer c.mu.Unlock()
	n, until := c.takeEarlier(e.Tenant, e.Need, now)
	return Loose{Tenant: e.Tenant, Tokens: n, Lease: until.Sub(now)}, n > 0
}
