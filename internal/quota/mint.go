package quota

import (
	"math"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

const (
	// reservePart of the capacity is kept for requests that wait; only what is beyond it is granted in advance.
	// While tokens of the last holder may be left, it is firstReservePart.
	reservePart      = 0.25
	firstReservePart = 0.5
	// advanceMost is the largest part of what may be granted in advance that one request gets.
	advanceMost = 0.5
	// bucketKept is how long an unused bucket is remembered: until all of its tokens are over, and the window.
	bucketKept = clock.Minute
)

// Mint makes the tokens of all tenants, for one holder of the duty. A Mint that follows another grants nothing
// until that one's confirmation is over, and little until its tokens are.
type Mint struct {
	Bounds Bounds
	Limits Limits

	mu sync.Mutex
	// from is when granting begins, alone from when on all tokens are this holder's.
	from, alone clock.Tick
	buckets     map[ids.Tenant]*bucket
}

// bucket is the token bucket of one tenant. Its level and the tokens that are out are never more than the
// capacity together.
type bucket struct {
	limit Limit
	level float64
	// minted is up to when tokens were minted, used when it was asked last.
	minted, used clock.Tick
	out          int64
	granted, dry int64
}

// NewMint makes the mint of a holder that won its duty before now.
func NewMint(b Bounds, limits Limits, now clock.Tick) *Mint {
	from := now.Add(ConfirmedFor)
	return &Mint{Bounds: b, Limits: limits, from: from, alone: from.Add(Lease), buckets: map[ids.Tenant]*bucket{}}
}

// NewFirstMint makes the mint of the first holder that there ever was, which follows nobody.
func NewFirstMint(b Bounds, limits Limits) *Mint {
	return &Mint{Bounds: b, Limits: limits, buckets: map[ids.Tenant]*bucket{}}
}

// LeaseLeft is how long what is granted now may be spent; 0 while nothing is granted.
func (m *Mint) LeaseLeft(now clock.Tick) clock.Span {
	if now < m.from {
		return 0
	}
	return Lease
}

// Life is always the same: a holder that has lost its duty makes another mint.
func (m *Mint) Life() uint64 { return 1 }

// Take grants tokens of a tenant, and tells whether it is at its limit. A tenant without a limit gets what it asks for.
// While tokens of the last holder may be left, having none says nothing of the limit.
func (m *Mint) Take(_ uint64, e Entry, now clock.Tick) (n int64, dry bool) {
	limit, ok := m.Limits(e.Tenant)
	if !ok || limit.RatePerS <= 0 {
		return e.Want, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.from {
		return 0, false
	}
	b := m.bucket(e.Tenant, limit, now)
	n = min(e.Need, int64(b.level))
	if spare := b.level - float64(n) - m.reserve(limit, now); e.Want > n && spare > 0 {
		n += min(e.Want-n, int64(math.Ceil(spare*advanceMost)))
	}
	if now < m.alone {
		return b.grant(n), false
	}
	if n < e.Need {
		b.dry += e.Need - n
	}
	return b.grant(n), n < e.Need
}

// Loosen hands out nothing: a mint has only what it minted.
func (m *Mint) Loosen(Entry, clock.Tick) (Loose, bool) { return Loose{}, false }

// grant hands n tokens out.
func (b *bucket) grant(n int64) int64 {
	b.level -= float64(n)
	b.out += n
	b.granted += n
	return n
}

// Settle takes in what became of tokens that were granted: spent, or given back.
func (m *Mint) Settle(_ uint64, s Settlement, now clock.Tick) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.buckets[s.Tenant]; b != nil {
		// what was minted until now had no more room than there was until now
		b.fill(m.capacity(b.limit, now), now)
		b.out = max(0, b.out-s.Spent-s.Returned)
		b.level += float64(s.Returned)
	}
}

// capacity is how many tokens there may be now.
func (m *Mint) capacity(l Limit, now clock.Tick) float64 {
	if now < m.alone {
		return m.Bounds.firstCapacity(l)
	}
	return m.Bounds.capacity(l)
}

// reserve is how many tokens are kept for requests that wait.
func (m *Mint) reserve(l Limit, now clock.Tick) float64 {
	if now < m.alone {
		return firstReservePart * m.capacity(l, now)
	}
	return reservePart * m.capacity(l, now)
}

// bucket is the bucket of a tenant, filled up to now. It is for those who hold the lock.
func (m *Mint) bucket(tenant ids.Tenant, limit Limit, now clock.Tick) *bucket {
	b := m.buckets[tenant]
	if b == nil {
		b = &bucket{level: m.capacity(limit, now), minted: now}
		if now < m.alone {
			// holders may follow each other: each begins with no more than a first request needs
			b.level = min(b.level, 1)
		}
		m.buckets[tenant] = b
	}
	b.limit = limit
	b.used = max(b.used, now)
	b.fill(m.capacity(limit, now), now)
	return b
}

// fill mints up to now, as far as there is room.
func (b *bucket) fill(capacity float64, now clock.Tick) {
	if now > b.minted {
		b.level += b.limit.RatePerS * now.Sub(b.minted).Seconds()
		b.minted = now
	}
	b.level = max(0, min(b.level, capacity-float64(b.out)))
}

// Forget drops the buckets that have not been used for long.
func (m *Mint) Forget(now clock.Tick) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for tenant, b := range m.buckets {
		if now.Sub(b.used) > bucketKept {
			delete(m.buckets, tenant)
		}
	}
}

// Account is how the tokens of one tenant stand with the holder.
type Account struct {
	Tenant ids.Tenant
	Limit  Limit
	// Level is how many tokens are there to be granted, Out how many are granted and not settled.
	Level float64
	Out   int64
	// Granted and Dry are how many tokens this holder granted, and how many it could not.
	Granted, Dry int64
}

// Accounts tells how all tenants stand that were asked for lately.
func (m *Mint) Accounts() []Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Account, 0, len(m.buckets))
	for tenant, b := range m.buckets {
		out = append(out, Account{Tenant: tenant, Limit: b.limit, Level: b.level, Out: b.out, Granted: b.granted, Dry: b.dry})
	}
	return out
}
