package relay

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/promotion"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/response"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/telemetry"
)

// Daemon is a running relay.
type Daemon struct {
	Relay *Relay
	Tail  *feed.Tail
	mu    sync.Mutex
	s     *settings.Settings
	ls    []net.Listener
}

const (
	// intake is how long a relay takes requests after SIGTERM: the platform asks
	// for readiness each second and goes by two misses. What is taken later may
	// not be finished before the end of the grace period.
	intake = 2400 * clock.Millisecond
	// exitMargin is the part of the grace period that is kept for the last answers
	// and for the end of the process.
	exitMargin = 250 * clock.Millisecond
	cutAfter   = 3 * clock.Second
	ownPause   = 2 * clock.Second
	glance     = 50 * clock.Millisecond
	firstOwn   = 250 * clock.Millisecond
)

// Start starts a relay from its settings.
func Start(s *settings.Settings) (*Daemon, error) {
	debug.SetMemoryLimit(s.Limits.MemoryMB << 20 * 7 / 10)
	if s.Bindings.Front == "" || s.Bindings.Readiness == "" {
		return nil, codes.New(codes.BadSettings, "bindings lack front-addr or readiness")
	}
	f := routing.NewFleet(s.Zone, clock.Ms(s.Session.IdleS*1000))
	f.Overrun, f.Slack = s.Bounds.ColdOverrun, s.Bounds.ColdSlack
	f.Self = s.Node
	f.ExposureShare, f.ExposureSlack = s.Bounds.ExposureShare, s.Bounds.ExposureSlack
	f.Desk.Index.SpeculativeFirst = clock.Ms(s.Index.SpeculativeMs)
	f.Desk.Bounds(evidence.Sizing{Steps: s.Index.Steps(), Total: s.ReplayMost()}, s.Index.Proofs)
	v := &View{Fleet: f}
	b := &routing.Budget{Ratio: s.Bounds.RetryBudgetRatio, Slack: s.Bounds.RetrySlack,
		Window: clock.Ms(s.Bounds.RetryWindowS * 1000), Shares: f.Share}
	most := max(32, (s.Limits.Descriptors-200)/3)
	d := &Daemon{Relay: NewRelay(v, b, most, most, most), s: s}
	d.Relay.BodiesMost = s.Limits.MemoryMB << 20 / 4
	d.Tail = &feed.Tail{Self: s.Node, Addr: s.Inner(s.IP, 1), IP: s.IP, Zone: s.Zone, Take: v.Take, Apply: clock.Ms(s.Bounds.ConfigApplyMs),
		Heard: func(n int, _ clock.Span) { f.Relays(n) }, Seeds: d.seeds}
	f.Confirmation(d.Tail.ConfirmedAt)
	d.Relay.Tell = func(x routing.Drift) {
		var b bytes.Buffer
		if gob.NewEncoder(&b).Encode(x) == nil {
			d.Tail.Tell(consensus.Msg{Kind: consensus.Drift, Key: ids.Drift(x.Replica), Val: b.Bytes()})
		}
	}
	lf, err := rpc.Listen(ids.Addr(s.Bindings.Front))
	if err != nil {
		return nil, codes.New(codes.BadSettings, "%v", err)
	}
	lr, err := rpc.Listen(ids.Addr(s.Bindings.Readiness))
	if err != nil {
		return nil, codes.New(codes.BadSettings, "%v", err)
	}
	lt, err := rpc.Listen(d.Tail.Addr)
	if err != nil {
		return nil, codes.New(codes.BadSettings, "%v", err)
	}
	d.ls = []net.Listener{lf, lr, lt}
	rpc.Serve(lt, func(m consensus.Msg, _ func(consensus.Msg) error) (consensus.Msg, bool) {
		if m.Kind != consensus.Trace {
			return consensus.Msg{Code: codes.NoCall}, true
		}
		return consensus.Msg{OK: true, Report: d.Report()}, true
	})
	d.Tail.Run()
	d.startTokens()
	if s.Pool.Enabled {
		d.count(s)
	}
	reporter := &promotion.Reporter{Counted: f.RolloutReport, Ask: d.askKeeper, Self: s.Node, Life: rand.Uint64() | 1}
	concurrency.Go(func() {
		for {
			clock.Sleep(reporter.Report())
		}
	})
	concurrency.Go(func() { d.Relay.Serve(lf) })
	concurrency.Go(func() { _ = d.readiness(lr) })
	rd := &discovery.Reader{Addr: ids.Addr(s.Platform.Address), Rate: discovery.Share(s.Platform.PerS, 1.0/32)}
	concurrency.Every(ownPause, func() bool {
		d.readOwn(rd)
		f.Reap()
		return true
	})
	concurrency.Every(glance, func() bool { return !d.readFirst(rd) })
	telemetry.State("relay up", "node", s.Node, "zone", s.Zone)
	return d, nil
}

const (
	// tokensPause is the longest pause between two settlements of tokens with the keeper.
	tokensPause = 250 * clock.Millisecond
	// tokensTimeout is how long the keeper is waited for.
	tokensTimeout = 200 * clock.Millisecond
)

// relayAdvance is what relays ask for in advance.
var relayAdvance = quota.Advance{Cover: 1500 * clock.Millisecond, Over: 2 * clock.Second, DemandLeast: 1}

// startTokens keeps the relay in touch with its keeper about the tokens of tenants.
func (d *Daemon) startTokens() {
	keepers := &feed.Asker{Tail: d.Tail, Timeout: tokensTimeout}
	d.Relay.KeepersSilent = keepers.Silent
	d.Relay.Tokens = quota.NewPump(quota.NewClient(d.Tail.Self, relayAdvance), tokensPause, func(r *quota.Request) *quota.Answer {
		a, answered := keepers.Ask(consensus.Msg{Kind: consensus.QuotaLease, From: d.Tail.Self, Quota: r})
		if !answered || !a.OK {
			return nil
		}
		return a.Tokens
	})
	concurrency.Go(func() { d.Relay.Tokens.Run(func() bool { return false }) })
}

// askKeeper asks the keeper that is followed.
func (d *Daemon) askKeeper(m consensus.Msg) (consensus.Msg, promotion.Delivery) {
	answer, sent, answered := d.Tail.Ask(m)
	return answer, promotion.DeliveryOf(sent, answered)
}

func (d *Daemon) count(s *settings.Settings) {
	m := pool.NewMeter(clock.Ms(s.Pool.WindowS * 1000))
	d.Relay.Meter = m
	life, num := rand.Uint64()|1, uint64(0)
	concurrency.Every(m.Step(), func() bool {
		num++
		d.Tail.Tell(consensus.Msg{Kind: consensus.Counts, From: s.Node, Life: life, Num: num, Count: 1, Val: m.Sum().Encode()})
		return true
	})
}

func (d *Daemon) seeds() []ids.Addr {
	s := d.settings()
	var out []ids.Addr
	for _, a := range s.Seeds {
		out = append(out, s.Keeper(a))
	}
	return out
}

func (d *Daemon) settings() *settings.Settings {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.s
}

// Take takes changed settings in: the seeds and the bounds. Addresses and
// memory need a start.
func (d *Daemon) Take(s *settings.Settings) {
	d.mu.Lock()
	d.s = s
	d.mu.Unlock()
	d.Relay.Fleet.Desk.Bounds(evidence.Sizing{Steps: s.Index.Steps(), Total: s.ReplayMost()}, s.Index.Proofs)
	d.Relay.Fleet.ExposureBounds(s.Bounds.ExposureShare, s.Bounds.ExposureSlack)
	d.Relay.Fleet.Bounds(s.Bounds.ColdOverrun, s.Bounds.ColdSlack, clock.Ms(s.Session.IdleS*1000))
	d.Relay.Budget.Bounds(s.Bounds.RetryBudgetRatio, s.Bounds.RetrySlack, clock.Ms(s.Bounds.RetryWindowS*1000))
}

func (d *Daemon) readOwn(rd *discovery.Reader) {
	if d.Tail.Fresh(cutAfter) || d.Relay.View.Table() == nil {
		return
	}
	clock.Sleep(clock.Span(rand.Int64N(int64(ownPause / 4))))
	// the rate is shared by all that may be cut off as well
	rd.Rate.SetLimit(discovery.Share(d.settings().Platform.PerS, 1/float64(max(32, d.Relay.Fleet.Share()))).Limit())
	rs, err := rd.Read()
	if err != nil {
		telemetry.Counter("list.failed").Add(1)
		return
	}
	d.ownList(rs)
}

// ownList takes in a list that this relay has read itself. A change of the list
// that keepers fed before does not lead on from it.
func (d *Daemon) ownList(rs []discovery.Replica) {
	d.Tail.Forget(ids.List)
	d.Relay.Fleet.Listed(rs, 0)
}

func (d *Daemon) readFirst(rd *discovery.Reader) bool {
	if d.Relay.Fleet.HasList() {
		return true
	}
	if d.Relay.View.Table() == nil {
		return false
	}
	clock.Sleep(firstOwn)
	if !d.Relay.Fleet.HasList() {
		if rs, err := rd.Read(); err == nil && !d.Relay.Fleet.HasList() {
			d.ownList(rs)
		}
	}
	return d.Relay.Fleet.HasList()
}

func (d *Daemon) readiness(l net.Listener) error {
	srv := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, IdleTimeout: 30 * clock.Second, Concurrency: 32,
		Handler: func(x *fasthttp.RequestCtx) {
			switch {
			case string(x.Path()) != "/-/ready":
				response.Of(codes.NoCall, "").Fill(x)
			case d.Relay.Ready():
				response.OK(nil).Fill(x)
			default:
				response.Of(codes.NotReady, "").Fill(x)
			}
		}}
	return srv.Serve(l)
}

// Report tells of this relay: what it has in force, and its gauges.
func (d *Daemon) Report() *consensus.Report {
	at, num, places := d.Tail.Place()
	v := d.Relay.View
	r := &consensus.Report{Node: d.Tail.Self, Role: "relay", Zone: d.Tail.Zone, Sure: d.Tail.Fresh(cutAfter), Keeper: at, Feed: num,
		Owners: places, Applied: v.Applied(), Counts: telemetry.Map(), Gauges: reported(d.Gauges())}
	x := v.Fleet.Desk.Index
	for _, s := range x.Status() {
		old, _ := v.Fleet.Desk.Oldest(s.Epoch)
		r.Streams = append(r.Streams, consensus.Stream{Status: s, Oldest: old})
	}
	if t := v.Table(); t != nil {
		r.Version = t.Version
	}
	return r
}

// Stop ends the relay in order.
func (d *Daemon) Stop() {
	telemetry.State("leaving")
	d.Relay.Leave(d.settings().Grace()-exitMargin, intake)
	d.Close()
}

// Close ends the listening at once.
func (d *Daemon) Close() {
	for _, l := range d.ls {
		_ = l.Close()
	}
}
