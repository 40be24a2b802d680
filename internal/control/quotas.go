package control

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/telemetry"
)

const (
	// quotaStep is the pause between two looks at the duty of granting tokens.
	quotaStep = 100 * clock.Millisecond
	// quotaConfirm bounds one confirmation of the duty.
	quotaConfirm = 200 * clock.Millisecond
	// quotaHolderLost is how long the holder of the duty may be silent.
	quotaHolderLost = 900 * clock.Millisecond
	// quotaTurn is how long each seat waits for the one before it to win the duty.
	quotaTurn = 250 * clock.Millisecond
	// quotaHolderSilent is how long the holder may leave requests for tokens without an answer.
	quotaHolderSilent = 400 * clock.Millisecond
	// quotaOutvoted is for how long the duty may go unconfirmed before it is won again.
	quotaOutvoted = 250 * clock.Millisecond
	// refillPause is the longest pause between two settlements with the holder.
	refillPause = 250 * clock.Millisecond
	// refillTimeout is how long the holder is waited for.
	refillTimeout = 250 * clock.Millisecond
	// shortTimeout is how long a relay's request waits for tokens that this keeper does not have: for one answer of
	// the holder, since tokens of other tenants are asked for in the same request.
	shortTimeout = 25 * clock.Millisecond
)

// keeperAdvance is what keepers ask for in advance: some for each tenant that is active.
var keeperAdvance = quota.Advance{Cover: 3 * clock.Second, Over: 10 * clock.Second, DemandLeast: 0.02, Least: 2}

// quotas passes tokens of tenants on to the relays of this keeper, and grants them to all keepers while the duty
// of that is this keeper's.
type quotas struct {
	duty   consensus.Duty
	hub    *feed.Hub
	bounds quota.Bounds
	over   func() bool
	once   sync.Once

	pump   *quota.Pump
	issuer *quota.Issuer

	mu     sync.Mutex
	conf   ids.Place
	limits map[ids.Tenant]quota.Limit
	// limited says that some tenant has a limit.
	limited bool
	// first is the ballot with which this keeper won the duty that nobody had before, if it did.
	first  ids.Epoch
	silent unanswered
	// vacantSince is since when nobody alive has the duty, which was won at a place; only the one who steps uses it.
	vacantSince clock.Tick
	vacantAt    ids.Place
	// unconfirmed is since when no majority has confirmed the duty, 0 while one does; as above.
	unconfirmed clock.Tick
	grants      *granting
}

// unanswered is since when a holder has not answered when it was asked for tokens.
type unanswered struct {
	node  ids.Node
	since clock.Tick
}

// granting is the time during which this keeper has the duty, under one ballot.
type granting struct {
	epoch     ids.Epoch
	mint      *quota.Mint
	issuer    *quota.Issuer
	confirmed clock.Tick
}

func newQuotas(k *consensus.Keeper, hub *feed.Hub, bounds quota.Bounds, over func() bool) *quotas {
	q := &quotas{hub: hub, bounds: bounds, over: over}
	q.duty = consensus.Duty{Keeper: k, Key: ids.QuotaDuty, Value: hub.Value}
	client := quota.NewClient(k.Self, keeperAdvance)
	q.pump = quota.NewPump(client, refillPause, q.refill)
	q.issuer = quota.NewIssuer(quota.Stock{Client: client})
	return q
}

// start has the duty done and the tokens of this keeper settled, once there is a limit.
func (q *quotas) start() {
	if !q.anyLimit() {
		return
	}
	q.once.Do(func() {
		concurrency.Go(func() { q.pump.Run(q.over) })
		concurrency.Every(quotaStep, func() bool {
			q.step()
			return !q.over()
		})
	})
}

// anyLimit reads the limits of the newest configuration, and tells whether there are any.
func (q *quotas) anyLimit() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	b, at := q.hub.Value(ids.Configuration)
	if at == q.conf {
		return q.limited
	}
	doc := configuration.DocOf(b)
	if doc == nil {
		return q.limited
	}
	q.conf, q.limited = at, false
	limits := make(map[ids.Tenant]quota.Limit, len(doc.Tenants))
	for _, t := range doc.Tenants {
		limits[t.Name] = quota.Limit{RatePerS: t.RatePerS, Burst: t.BurstSize}
		q.limited = q.limited || t.Limited()
	}
	if !maps.Equal(limits, q.limits) {
		q.limits = limits
	}
	return q.limited
}

// limit is the limit of a tenant in the newest configuration.
func (q *quotas) limit(tenant ids.Tenant) (quota.Limit, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.limits[tenant]
	return l, ok
}

// step confirms the duty if it is this keeper's, and wins it if it is vacant.
func (q *quotas) step() {
	k := q.duty.Keeper
	if !q.anyLimit() || !k.Sure(quotaHolderLost) {
		return
	}
	mine, at := q.duty.Mine()
	if !mine {
		if q.vacant(at) {
			q.win()
		}
		return
	}
	asked := clock.Now()
	switch {
	case q.duty.Confirm(at, quotaConfirm):
		q.unconfirmed = 0
		q.confirmed(at.Epoch, asked)
	case q.unconfirmed == 0:
		q.unconfirmed = asked
	case clock.Since(q.unconfirmed) > quotaOutvoted:
		// another's ballot took the lease and gave it to nobody
		q.unconfirmed = 0
		q.win()
	}
}

// win wins the duty, and notes who had it before: nobody ever, or this keeper, which alone writes its name there, so
// that no other can have granted tokens since.
func (q *quotas) win() {
	before, won := q.duty.WinFrom(q.duty.Holder())
	mine, at := q.duty.Mine()
	q.mu.Lock()
	defer q.mu.Unlock()
	if before.Other {
		q.grants = nil
	}
	switch {
	case !won || !mine:
	case before.Holder == "":
		q.first = at.Epoch
	case q.grants != nil:
		q.grants.epoch = at.Epoch
	}
}

// vacant tells whether nobody has the duty that is alive. Seats take turns to win it, so that they do not take
// it from each other.
func (q *quotas) vacant(at ids.Place) bool {
	if q.alive(q.duty.Holder()) {
		q.vacantSince = 0
		return false
	}
	if q.duty.Holder() == q.duty.Keeper.Self {
		return true // an earlier life of this keeper had it, or another's ballot took the lease and left its name
	}
	if q.vacantSince == 0 || q.vacantAt != at {
		q.vacantSince, q.vacantAt = clock.Now(), at
	}
	turn, ok := q.turn(at)
	return ok && clock.Since(q.vacantSince) >= clock.Span(turn)*quotaTurn
}

// turn is how many seats that are alive come before this one; false if it is no seat.
func (q *quotas) turn(at ids.Place) (before int, ok bool) {
	k := q.duty.Keeper
	_, seats := k.SeatZones()
	rank := func(n ids.Node) uint64 {
		h := fnv.New64a()
		h.Write([]byte(at.String() + "|" + string(n)))
		return h.Sum64()
	}
	own := rank(k.Self)
	for n := range seats {
		switch {
		case n == k.Self:
			ok = true
		case q.alive(n) && rank(n) < own:
			before++
		}
	}
	return before, ok
}

// alive tells whether a keeper is heard and, if it was asked for tokens, answers.
func (q *quotas) alive(n ids.Node) bool {
	if n == "" || n == q.duty.Keeper.Self || !q.duty.Keeper.Heard(n, quotaHolderLost) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.silent.node != n || clock.Since(q.silent.since) < quotaHolderSilent
}

// heard notes whether a holder answered.
func (q *quotas) heard(holder ids.Node, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case answered:
		q.silent = unanswered{}
	case q.silent.node != holder:
		q.silent = unanswered{holder, clock.Now()}
	}
}

// confirmed notes that a majority held the ballot of an epoch when it was asked. With an epoch that does not go on
// from this keeper's last, another holder may have granted before.
func (q *quotas) confirmed(epoch ids.Epoch, asked clock.Tick) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.grants == nil || q.grants.epoch != epoch {
		mint := quota.NewMint(q.bounds, q.limit, clock.Now())
		if epoch == q.first {
			mint = quota.NewFirstMint(q.bounds, q.limit)
		}
		q.grants = &granting{epoch: epoch, mint: mint, issuer: quota.NewIssuer(mint)}
		telemetry.State("granting tokens", "epoch", epoch)
	}
	q.grants.confirmed = asked
	q.grants.mint.Forget(asked)
}

// granted is the granting of this keeper, if it is sure at a time that it has the duty.
func (q *quotas) granted(now clock.Tick) *granting {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.grants == nil || now.Sub(q.grants.confirmed) >= quota.ConfirmedFor {
		return nil
	}
	return q.grants
}

// refilled answers a keeper that settles and asks for tokens, as the holder of the duty.
func (q *quotas) refilled(m consensus.Msg) consensus.Msg {
	if m.Quota == nil {
		return consensus.Msg{Code: codes.NoCall}
	}
	a := q.grant(m.Quota)
	if a == nil {
		return consensus.Msg{Code: codes.NotHolder}
	}
	return consensus.Msg{OK: true, Tokens: a}
}

// grant grants tokens as the holder of the duty; nil if this keeper is not, or not sure of it. The time is read
// before the look at the confirmation, and nothing is minted for later than that.
func (q *quotas) grant(r *quota.Request) *quota.Answer {
	now := clock.Now()
	g := q.granted(now)
	if g == nil {
		return nil
	}
	a, _ := g.issuer.Exchange(r, now)
	return a
}

// refill brings a request of this keeper to the holder of the duty.
func (q *quotas) refill(r *quota.Request) *quota.Answer {
	k := q.duty.Keeper
	switch holder := q.duty.Holder(); holder {
	case "":
		return nil
	case k.Self:
		return q.grant(r)
	default:
		a, ok := k.Net.Ask(holder, consensus.Msg{Kind: consensus.QuotaRefill, From: k.Self, Quota: r}, refillTimeout)
		q.heard(holder, ok)
		if !ok || !a.OK {
			return nil
		}
		return a.Tokens
	}
}

// leased answers a relay that settles and asks for tokens. What this keeper does not have it gets from the holder
// of the duty first, for a short while.
func (q *quotas) leased(m consensus.Msg) consensus.Msg {
	if m.Quota == nil {
		return consensus.Msg{Code: codes.NoCall}
	}
	q.start()
	until := clock.Now().Add(shortTimeout)
	a, short := q.issuer.Exchange(m.Quota, clock.Now())
	if a == nil {
		q.pump.Await(needs(m.Quota.Entries), until)
		a, short = q.issuer.Exchange(m.Quota, clock.Now())
	}
	if a == nil {
		return consensus.Msg{Code: codes.NotHolder}
	}
	if len(short) > 0 {
		q.pump.Await(short, until)
		q.issuer.Complete(m.Quota, a, short, clock.Now())
	}
	return consensus.Msg{OK: true, Tokens: a}
}

// needs are the entries for which requests wait.
func needs(entries []quota.Entry) (out []quota.Entry) {
	for _, e := range entries {
		if e.Need > 0 {
			out = append(out, e)
		}
	}
	return out
}

// report tells how the tenants with limits stand.
func (q *quotas) report(to *consensus.Report) {
	if !q.anyLimit() {
		return
	}
	now := clock.Now()
	accounts, leases := map[ids.Tenant]quota.Account{}, map[ids.Tenant][]quota.Leased{}
	if g := q.granted(now); g != nil {
		for _, a := range g.mint.Accounts() {
			accounts[a.Tenant] = a
		}
		leases = g.issuer.Leases(now)
	}
	q.mu.Lock()
	limits := q.limits
	q.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		if limits[name].RatePerS <= 0 {
			continue
		}
		a := accounts[name]
		a.Tenant, a.Limit = name, limits[name]
		to.Tenants = append(to.Tenants, consensus.Tenant{Account: a, Holder: q.duty.Holder(), Leases: leases[name]})
	}
}
