package relay

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/boot"
	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/list"
	"spoolswitch/internal/note"
	"spoolswitch/internal/pick"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/response"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/wire"
	"spoolswitch/internal/word"
)

// Daemon is a running relay.
type Daemon struct {
	Relay *Relay
	Tail  *feed.Tail
	mu    sync.Mutex
	s     *boot.Settings
	ls    []net.Listener
}

const (
	// intake is how long a relay takes requests after SIGTERM: the platform asks
	// for readiness each second and goes by two misses. What is taken later may
	// not be finished before the end of the grace period.
	intake   = 2400 * clk.Millisecond
	cutAfter = 3 * clk.Second
	ownPause = 2 * clk.Second
	glance   = 50 * clk.Millisecond
	firstOwn = 250 * clk.Millisecond
)

// Start starts a relay from its settings.
func Start(s *boot.Settings) (*Daemon, error) {
	debug.SetMemoryLimit(s.Limits.MemoryMB << 20 * 7 / 10)
	if s.Bindings.Front == "" || s.Bindings.Readiness == "" {
		return nil, code.New(code.BadSettings, "bindings lack front-addr or readiness")
	}
	f := pick.NewFleet(s.Zone, clk.Ms(s.Session.IdleS*1000))
	f.Overrun, f.Slack = s.Bounds.ColdOverrun, s.Bounds.ColdSlack
	f.Self = s.Node
	f.Desk.Index.SpeculativeFirst = clk.Ms(s.Index.SpeculativeMs)
	f.Desk.Bounds(evidence.Sizing{Steps: s.Index.Steps(), Total: s.ReplayMost()}, s.Index.Proofs)
	v := &View{Fleet: f}
	b := &pick.Budget{Ratio: s.Bounds.RetryBudgetRatio, Slack: s.Bounds.RetrySlack,
		Window: clk.Ms(s.Bounds.RetryWindowS * 1000), Shares: f.Share}
	most := max(32, (s.Limits.Descriptors-200)/3)
	d := &Daemon{Relay: NewRelay(v, b, most, most, most), s: s}
	d.Relay.BodiesMost = s.Limits.MemoryMB << 20 / 4
	d.Tail = &feed.Tail{Self: s.Node, Addr: s.Inner(s.IP, 1), IP: s.IP, Zone: s.Zone, Take: v.Take, Apply: clk.Ms(s.Bounds.ConfigApplyMs),
		Heard: func(n int, _ clk.Span) { f.Relays(n) }, Seeds: d.seeds}
	d.Relay.Tell = func(x pick.Drift) {
		var b bytes.Buffer
		if gob.NewEncoder(&b).Encode(x) == nil {
			d.Tail.Tell(keep.Msg{Kind: keep.Drift, Key: word.Drift(x.Replica), Val: b.Bytes()})
		}
	}
	lf, err := wire.Listen(word.Addr(s.Bindings.Front))
	if err != nil {
		return nil, code.New(code.BadSettings, "%v", err)
	}
	lr, err := wire.Listen(word.Addr(s.Bindings.Readiness))
	if err != nil {
		return nil, code.New(code.BadSettings, "%v", err)
	}
	lt, err := wire.Listen(d.Tail.Addr)
	if err != nil {
		return nil, code.New(code.BadSettings, "%v", err)
	}
	d.ls = []net.Listener{lf, lr, lt}
	wire.Serve(lt, func(m keep.Msg, _ func(keep.Msg) error) (keep.Msg, bool) {
		if m.Kind != keep.Trace {
			return keep.Msg{Code: code.NoCall}, true
		}
		return keep.Msg{OK: true, Report: d.Report()}, true
	})
	d.Tail.Run()
	if s.Pool.Enabled {
		d.count(s)
	}
	spawn.Go(func() { d.Relay.Serve(lf) })
	spawn.Go(func() { _ = d.readiness(lr) })
	rd := &list.Reader{Addr: word.Addr(s.Platform.Address), Rate: list.Share(s.Platform.PerS, 1.0/32)}
	spawn.Every(ownPause, func() bool {
		d.readOwn(rd)
		f.Reap()
		return true
	})
	spawn.Every(glance, func() bool { return !d.readFirst(rd) })
	note.State("relay up", "node", s.Node, "zone", s.Zone)
	return d, nil
}

func (d *Daemon) count(s *boot.Settings) {
	m := pool.NewMeter(clk.Ms(s.Pool.WindowS * 1000))
	d.Relay.Meter = m
	life, num := rand.Uint64()|1, uint64(0)
	spawn.Every(m.Step(), func() bool {
		num++
		d.Tail.Tell(keep.Msg{Kind: keep.Counts, From: s.Node, Life: life, Num: num, Count: 1, Val: m.Sum().Encode()})
		return true
	})
}

func (d *Daemon) seeds() []word.Addr {
	s := d.settings()
	var out []word.Addr
	for _, a := range s.Seeds {
		out = append(out, s.Keeper(a))
	}
	return out
}

func (d *Daemon) settings() *boot.Settings {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.s
}

// Take takes changed settings in: the seeds and the bounds. Addresses and
// memory need a start.
func (d *Daemon) Take(s *boot.Settings) {
	d.mu.Lock()
	d.s = s
	d.mu.Unlock()
	d.Relay.Fleet.Desk.Bounds(evidence.Sizing{Steps: s.Index.Steps(), Total: s.ReplayMost()}, s.Index.Proofs)
	d.Relay.Fleet.Bounds(s.Bounds.ColdOverrun, s.Bounds.ColdSlack, clk.Ms(s.Session.IdleS*1000))
	d.Relay.Budget.Bounds(s.Bounds.RetryBudgetRatio, s.Bounds.RetrySlack, clk.Ms(s.Bounds.RetryWindowS*1000))
}

func (d *Daemon) readOwn(rd *list.Reader) {
	if d.Tail.Fresh(cutAfter) || d.Relay.View.Table() == nil {
		return
	}
	clk.Sleep(clk.Span(rand.Int64N(int64(ownPause / 4))))
	// the rate is shared by all that may be cut off as well
	rd.Rate.SetLimit(list.Share(d.settings().Platform.PerS, 1/float64(max(32, d.Relay.Fleet.Share()))).Limit())
	rs, err := rd.Read()
	if err != nil {
		note.Counter("list.failed").Add(1)
		return
	}
	d.ownList(rs)
}

// ownList takes in a list that this relay has read itself. A change of the list
// that keepers fed before does not lead on from it.
func (d *Daemon) ownList(rs []list.Replica) {
	d.Tail.Forget(word.List)
	d.Relay.Fleet.Listed(rs, 0)
}

func (d *Daemon) readFirst(rd *list.Reader) bool {
	if d.Relay.Fleet.HasList() {
		return true
	}
	if d.Relay.View.Table() == nil {
		return false
	}
	clk.Sleep(firstOwn)
	if !d.Relay.Fleet.HasList() {
		if rs, err := rd.Read(); err == nil && !d.Relay.Fleet.HasList() {
			d.ownList(rs)
		}
	}
	return d.Relay.Fleet.HasList()
}

func (d *Daemon) readiness(l net.Listener) error {
	srv := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, IdleTimeout: 30 * clk.Second, Concurrency: 32,
		Handler: func(x *fasthttp.RequestCtx) {
			switch {
			case string(x.Path()) != "/-/ready":
				response.Of(code.NoCall, "").Fill(x)
			case d.Relay.Ready():
				response.OK(nil).Fill(x)
			default:
				response.Of(code.NotReady, "").Fill(x)
			}
		}}
	return srv.Serve(l)
}

// Report tells of this relay: what it has in force, and its gauges.
func (d *Daemon) Report() *keep.Report {
	at, num, places := d.Tail.Place()
	v := d.Relay.View
	sessions, tokens := v.Fleet.Gauges()
	r := &keep.Report{Node: d.Tail.Self, Role: "relay", Zone: d.Tail.Zone, Sure: d.Tail.Fresh(cutAfter), Keeper: at, Feed: num,
		Owners: places, Applied: v.Applied(), Counts: note.Map(), Gauges: map[string]float64{
			"sessions": float64(sessions), "held_tokens": float64(tokens), "active": float64(d.Relay.Active()), "relays": float64(v.Fleet.Share())}}
	x := v.Fleet.Desk.Index
	r.Gauges["kv.quarantined"] = float64(x.Quarantined())
	for q, name := range map[float64]string{0.5: "p50", 0.95: "p95", 0.99: "p99"} {
		if d, ok := x.Latency.At(q); ok {
			r.Gauges["kv.route-to-store-ms."+name] = float64(d / clk.Millisecond)
		}
	}
	for _, s := range x.Status() {
		old, _ := v.Fleet.Desk.Oldest(s.Epoch)
		r.Streams = append(r.Streams, keep.Stream{Status: s, Oldest: old})
	}
	if p := v.Fleet.Plan(); p != nil {
		r.Gauges["pool.plan"] = float64(p.Num)
	}
	if t := v.Table(); t != nil {
		r.Version = t.Version
		for s := range t.Services {
			r.Gauges["budget_left."+string(s)] = d.Relay.Budget.Left(s)
		}
	}
	return r
}

// Stop ends the relay in order.
func (d *Daemon) Stop() {
	note.State("leaving")
	d.Relay.Leave(d.settings().Grace()-500*clk.Millisecond, intake)
	d.Close()
}

// Close ends the listening at once.
func (d *Daemon) Close() {
	for _, l := range d.ls {
		_ = l.Close()
	}
}
