package quota

import (
	"slices"
	"strings"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// Source is where an issuer has its tokens from.
type Source interface {
	// Life names the life of the source: tokens that were granted in an earlier one are not accounted for any more.
	Life() uint64
	// LeaseLeft is how long what is granted now may be spent; 0 while nothing is granted.
	LeaseLeft(now clock.Tick) clock.Span
	// Take grants tokens in a life of the source, and tells whether the tenant is at its limit.
	Take(life uint64, e Entry, now clock.Tick) (n int64, dry bool)
	// Loosen hands out tokens that are left of an earlier life of the source, if there are any.
	Loosen(e Entry, now clock.Tick) (l Loose, ok bool)
	// Settle takes in what became of tokens that were granted in a life of the source.
	Settle(life uint64, s Settlement, now clock.Tick)
}

// Settlement is what became of tokens of one tenant: spent, or given back unspent.
type Settlement struct {
	Tenant          ids.Tenant
	Spent, Returned int64
}

// Issuer grants tokens of a source to clients, under leases. What a client has when its lease ends counts as spent.
type Issuer struct {
	source Source

	mu      sync.Mutex
	life    uint64
	ledgers map[clientLife]*ledger
}

// clientLife is one life of a client.
type clientLife struct {
	client ids.Node
	life   uint64
}

// ledger is what one life of a client was granted.
type ledger struct {
	until    clock.Tick
	seq      uint64
	accounts map[ids.Tenant]*granted
}

type granted struct{ granted, spent, returned int64 }

// NewIssuer makes an issuer of a source's tokens.
func NewIssuer(s Source) *Issuer {
	return &Issuer{source: s, life: s.Life(), ledgers: map[clientLife]*ledger{}}
}

// Exchange settles what a client has and grants it more. It answers nil if nothing can be granted now, or the
// request came late; short are the entries whose need was not met though their tenants may not be at their limits.
func (i *Issuer) Exchange(q *Request, now clock.Tick) (a *Answer, short []Entry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire(now)
	left := i.source.LeaseLeft(now)
	if left <= 0 {
		return nil, nil
	}
	who := clientLife{q.Client, q.Life}
	l := i.ledgers[who]
	switch {
	case l == nil && q.Seq != 1:
		return &Answer{Renew: true}, nil
	case l == nil:
		l = &ledger{accounts: map[ids.Tenant]*granted{}}
		i.ledgers[who] = l
	case q.Seq <= l.seq:
		return nil, nil
	}
	l.seq, l.until = q.Seq, now.Add(left)
	a = &Answer{Lease: left}
	for _, e := range q.Entries {
		g, unmet := i.entry(l, e, now)
		if unmet > 0 || g.Dry {
			if loose, ok := i.source.Loosen(e, now); ok {
				a.Loose = append(a.Loose, loose)
				g.Dry, unmet = false, 0
			}
		}
		if unmet > 0 {
			e.Need, e.Want = unmet, unmet
			short = append(short, e)
		}
		a.Grants = append(a.Grants, g)
	}
	return a, short
}

// entry settles and grants what a request says of one tenant.
func (i *Issuer) entry(l *ledger, e Entry, now clock.Tick) (g Grant, unmet int64) {
	acct := l.accounts[e.Tenant]
	if acct == nil {
		acct = &granted{}
		l.accounts[e.Tenant] = acct
	}
	if spent, returned := e.Spent-acct.spent, e.Returned-acct.returned; spent > 0 || returned > 0 {
		spent, returned = max(0, spent), max(0, returned)
		acct.spent, acct.returned = acct.spent+spent, acct.returned+returned
		i.source.Settle(i.life, Settlement{e.Tenant, spent, returned}, now)
	}
	if e.Want <= 0 {
		return Grant{Tenant: e.Tenant, Granted: acct.granted}, 0
	}
	n, dry := i.source.Take(i.life, e, now)
	acct.granted += n
	if !dry {
		unmet = e.Need - n
	}
	return Grant{Tenant: e.Tenant, Granted: acct.granted, Dry: dry}, unmet
}

// Complete grants what was short in an answer, if it has become available. The lease of the
// client stays as the answer told it.
func (i *Issuer) Complete(q *Request, a *Answer, short []Entry, now clock.Tick) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire(now)
	l := i.ledgers[clientLife{q.Client, q.Life}]
	if l == nil || l.seq != q.Seq {
		return
	}
	for _, e := range short {
		acct := l.accounts[e.Tenant]
		n, dry := i.source.Take(i.life, e, now)
		acct.granted += n
		for at := range a.Grants {
			if a.Grants[at].Tenant == e.Tenant {
				a.Grants[at].Granted, a.Grants[at].Dry = acct.granted, dry
			}
		}
	}
}

// expire ends the leases that are over, and all of an earlier life of the source. It is for those who hold the lock.
func (i *Issuer) expire(now clock.Tick) {
	if life := i.source.Life(); life != i.life {
		i.life = life
		clear(i.ledgers)
	}
	for who, l := range i.ledgers {
		if now < l.until {
			continue
		}
		for tenant, acct := range l.accounts {
			if out := acct.granted - acct.spent - acct.returned; out > 0 {
				i.source.Settle(i.life, Settlement{tenant, out, 0}, now)
			}
		}
		delete(i.ledgers, who)
	}
}

// Leased is what one client has of one tenant's tokens.
type Leased struct {
	Client ids.Node
	// Out are the tokens that were granted and are not settled, Spent those that were spent.
	Out, Spent int64
	// Left is how long the lease lasts unless it is renewed.
	Left clock.Span
}

// Leases tells who has tokens of each tenant, by the names of clients.
func (i *Issuer) Leases(now clock.Tick) map[ids.Tenant][]Leased {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire(now)
	out := map[ids.Tenant][]Leased{}
	for who, l := range i.ledgers {
		for tenant, a := range l.accounts {
			out[tenant] = append(out[tenant], Leased{Client: who.client, Out: a.granted - a.spent - a.returned, Spent: a.spent, Left: l.until.Sub(now)})
		}
	}
	for _, leases := range out {
		slices.SortFunc(leases, func(a, b Leased) int { return strings.Compare(string(a.Client), string(b.Client)) })
	}
	return out
}
