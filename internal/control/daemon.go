package control

import (
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/disk"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/schedule"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/telemetry"
)

// Daemon is a running keeper.
type Daemon struct {
	Keeper  *consensus.Keeper
	Hub     *feed.Hub
	lc      net.Listener
	srv     *Server
	in      *rpc.Server[consensus.Msg]
	net     *consensus.Wires
	over    atomic.Bool
	founder atomic.Bool
	quotas  *quotas
	// handOver is how long handing the seat over may take when the daemon ends.
	handOver clock.Span
}

const (
	// openTimeout is how long the start waits for the disk.
	openTimeout = 2 * clock.Second
	// handOverParts of the graceParts of the grace period are how long handing a seat over may take.
	handOverParts, graceParts = 3, 4
)

// Machine is what a keeper has of the machine that it runs on.
type Machine struct {
	// Disk is where it keeps what it accepts; nil without a disk.
	Disk disk.FS
	// List reads the platform's list.
	List func() ([]discovery.Replica, error)
	// Serve answers the calls of operators at the listener until that is closed.
	Serve func(s *Server, l net.Listener)
}

// Start starts a keeper from its settings.
func Start(s *settings.Settings) (*Daemon, error) {
	debug.SetMemoryLimit(s.Limits.MemoryMB << 20 * 7 / 10)
	rd := &discovery.Reader{Addr: ids.Addr(s.Platform.Address), Rate: discovery.Share(s.Platform.PerS, 0.5)}
	m := Machine{List: rd.Read, Serve: (*Server).Serve}
	if s.DataDir != "" {
		m.Disk = disk.Dir(s.DataDir)
	}
	return StartOn(s, m)
}

// StartOn starts a keeper from its settings on a machine.
func StartOn(s *settings.Settings, m Machine) (*Daemon, error) {
	if s.Bindings.Control == "" {
		return nil, codes.New(codes.BadSettings, "bindings.control-addr is missing")
	}
	acc := consensus.NewAcceptor()
	d := newDaemon(s, m, acc)
	internal, err := d.listen(s)
	if err != nil {
		return nil, err
	}
	d.openDisk(s, m.Disk, acc)
	pools := newPools(s, d.Keeper, d.Hub)
	rollouts := newRollouts(d.Keeper, d.Hub, repeatWindow(s))
	d.quotas = newQuotas(d.Keeper, d.Hub, s.Bounds.Quota(), d.over.Load)
	d.serveDaemons(internal, s.Zone, pools, rollouts)
	d.srv = &Server{Keeper: d.Keeper, Zones: s.Zones, steps: s.Rollout.Steps, room: room{most: s.Limits.MemoryMB << 20 / 8}}
	m.Serve(d.srv, d.lc)
	concurrency.Go(func() { d.holdRounds(acc) })
	d.startDuties(s, m, pools)
	rollouts.start(d.over.Load, d.quotas.start)
	d.calendar(s.Calendar.Rewrite, acc)
	telemetry.State("keeper up", "node", d.Keeper.Self, "voting", acc.Voting())
	return d, nil
}

// newDaemon makes a keeper and its hub, without any connection or thread.
func newDaemon(s *settings.Settings, m Machine, acc *consensus.Acceptor) *Daemon {
	hub := feed.NewHub()
	wires := &consensus.Wires{}
	k := consensus.New(ids.Node(s.Inner(s.IP, 0)), acc, wires, hub)
	k.Zone = s.Zone
	wires.Far = k.Far
	k.Decider = deciderWith(k, hub, repeatWindow(s))
	k.Seats = consensus.Seats(s.Tolerance.Machines, len(s.Zones))
	k.Disk = m.Disk != nil
	k.Label = label
	k.Pauses = &consensus.Pauses{}
	for _, a := range s.Seeds {
		k.Founders = append(k.Founders, ids.Node(s.Keeper(a)))
	}
	hub.Status = k
	hub.Diff, k.Diff, k.Patch = diff, diff, patch
	hub.Trim = trim
	hub.Apply = clock.Ms(s.Bounds.ConfigApplyMs)
	return &Daemon{Keeper: k, Hub: hub, net: wires, handOver: s.Grace() * handOverParts / graceParts}
}

// trim leaves out what relays need not know of a value.
func trim(key ids.Key, val []byte) []byte {
	if key != ids.Configuration {
		return val
	}
	return configuration.Brief(val)
}

// listen opens the ports for other daemons, which it returns, and for operators.
func (d *Daemon) listen(s *settings.Settings) (internal net.Listener, err error) {
	internal, err = rpc.Listen(ids.Addr(d.Keeper.Self))
	if err != nil {
		return nil, codes.New(codes.BadSettings, "%v", err)
	}
	d.lc, err = rpc.Listen(ids.Addr(s.Bindings.Control))
	if err != nil {
		return nil, codes.New(codes.BadSettings, "%v", err)
	}
	return internal, nil
}

// openDisk opens the disk in the background, and waits a while for it.
func (d *Daemon) openDisk(s *settings.Settings, fs disk.FS, acc *consensus.Acceptor) {
	opened := concurrency.NewMark()
	concurrency.Go(func() {
		d.open(s, fs, acc)
		opened.Set()
	})
	opened.Wait(openTimeout)
}

// serveDaemons answers the calls of other daemons.
func (d *Daemon) serveDaemons(internal net.Listener, zone ids.Zone, pools *pools, rollouts *rollouts) {
	far := func(m consensus.Msg) bool { return m.Zone != "" && m.Zone != zone || d.Keeper.Far(m.From) }
	d.in = rpc.ServeZoned(internal, far, func(m consensus.Msg, push func(consensus.Msg) error) (consensus.Msg, bool) {
		switch m.Kind {
		case consensus.Trace:
			return consensus.Msg{OK: true, Report: d.report(m.Key, pools, rollouts)}, true
		case consensus.Follow:
			d.Hub.Follow(m, push)
			return consensus.Msg{}, false
		case consensus.Confirm:
			return d.Hub.Confirm(m), true
		case consensus.Counts, consensus.Fold:
			return pools.duty.Counted(m), true
		case consensus.RolloutCounts, consensus.RolloutFold:
			return rollouts.duty.Counted(m), true
		case consensus.QuotaLease:
			return d.quotas.leased(m), true
		case consensus.QuotaRefill:
			return d.quotas.refilled(m), true
		}
		return d.Keeper.Handle(m), true
	})
}

// report tells of this keeper, and what it did about a key.
func (d *Daemon) report(key ids.Key, pools *pools, rollouts *rollouts) *consensus.Report {
	r := d.Keeper.Report(key)
	r.Feed, r.Relays, r.Counts = d.Hub.Num(), d.Hub.Relays(), telemetry.Map()
	pools.report(r)
	rollouts.report(r)
	d.quotas.report(r)
	return r
}

// holdRounds founds the roster or reads a lost disk back where that is due, and
// holds rounds with the other keepers, until the daemon ends.
func (d *Daemon) holdRounds(acc *consensus.Acceptor) {
	for !d.over.Load() {
		d.takePart(acc)
		d.Keeper.Gossip()
		clock.Sleep(d.round())
	}
}

// takePart brings the keeper's disk to where it may vote.
func (d *Daemon) takePart(acc *consensus.Acceptor) {
	if d.founder.Load() && !acc.Voting() {
		if d.Keeper.Begin() {
			d.founder.Store(false)
		}
		return
	}
	if acc.Ready() && (d.Keeper.Disk || acc.Roster().Has(d.Keeper.Self)) {
		d.Keeper.Regain()
	}
}

// round holds one round, if the keeper holds any, and tells the pause after it.
func (d *Daemon) round() clock.Span {
	if !d.Keeper.Rounds() && !d.founder.Load() {
		return consensus.Beat / 4
	}
	begun := clock.Now()
	d.Keeper.Round()
	d.Hub.Check()
	if !d.Keeper.Sure(3 * consensus.Beat) {
		return consensus.Beat / 4
	}
	return max(consensus.Beat-clock.Since(begun), consensus.Beat/4)
}

// startDuties starts what keepers do by lease, and the notice of pauses.
func (d *Daemon) startDuties(s *settings.Settings, m Machine, pools *pools) {
	duty := &discovery.Duty{Duty: consensus.Duty{Keeper: d.Keeper, Key: ids.ListDuty, Value: d.Hub.Value}, Read: m.List, Drain: clock.Ms(s.Bounds.DrainMs)}
	concurrency.Every(discovery.Glance, func() bool {
		duty.Step()
		return !d.over.Load()
	})
	if s.Pool.Enabled {
		concurrency.Every(clock.Ms(s.Pool.WindowS*1000)/4, func() bool {
			pools.duty.Step()
			return !d.over.Load()
		})
	}
	concurrency.Every(consensus.PauseBeat, func() bool {
		d.Keeper.Pauses.Beat()
		return !d.over.Load()
	})
}

func (d *Daemon) open(s *settings.Settings, fs disk.FS, acc *consensus.Acceptor) {
	refused := ""
	for !d.over.Load() {
		st, err := disk.Empty, error(nil)
		if fs == nil {
			telemetry.State("no data-dir, forwards only where others have one")
			acc.Use(consensus.Volatile{})
		} else {
			st, err = acc.Open(fs)
		}
		if err != nil {
			if refused != err.Error() {
				refused = err.Error()
				telemetry.Trouble("disk refused", "code", int(codes.Of(err)), "err", err)
			}
			clock.Sleep(200 * clock.Millisecond)
			continue
		}
		seat := false
		for _, n := range d.Keeper.Founders {
			seat = seat || n == d.Keeper.Self
		}
		switch {
		case st == disk.Empty && s.Initial && seat:
			if err := acc.First(d.Keeper.Founders); err != nil {
				telemetry.Trouble("first start not noted on disk", "err", err)
			}
			d.founder.Store(true)
		case len(acc.Founders()) > 0 && acc.Roster().Num == 0:
			telemetry.State("killed before the roster was founded, goes on founding it")
			d.founder.Store(true)
		case fs == nil:
		case st != disk.Whole:
			telemetry.Trouble("disk without its records, not voting", "state", int(st))
		}
		return
	}
}

// Take takes changed settings in: the zones and the seeds.
func (d *Daemon) Take(s *settings.Settings) {
	d.srv.SetZones(s.Zones)
	d.srv.SetRolloutSteps(s.Rollout.Steps)
	var ns []ids.Node
	for _, a := range s.Seeds {
		ns = append(ns, ids.Node(s.Keeper(a)))
	}
	d.Keeper.Seeded(ns, consensus.Seats(s.Tolerance.Machines, len(s.Zones)))
}

// Stop ends the daemon: no orders are taken any more, and its seat is handed over first.
func (d *Daemon) Stop() {
	d.srv.Stop()
	_ = d.lc.Close()
	d.Keeper.HandOver(d.handOver)
	d.over.Store(true)
	d.in.Close()
	d.net.Close()
	d.Keeper.Acceptor().Close()
}

func (d *Daemon) calendar(when string, acc *consensus.Acceptor) {
	if when == "" {
		return
	}
	c, err := schedule.Parse(when)
	if err != nil {
		return
	}
	concurrency.Every(20*clock.Second, func() bool {
		if c.Due(clock.Day()) {
			if err := acc.Rewrite(); err != nil {
				telemetry.Trouble("log not rewritten", "err", err)
			} else {
				telemetry.State("log rewritten")
			}
		}
		return !d.over.Load()
	})
}

func label(key ids.Key, val []byte) string {
	if key == ids.Configuration {
		if s, err := configuration.Decode(val); err == nil {
			return strconv.FormatInt(int64(s.Version), 10)
		}
		return ""
	}
	if _, ok := key.Evacuated(); ok {
		return string(val)
	}
	if _, ok := key.RolledOut(); ok {
		if s, err := rollout.Decode(val); err == nil && s.Number > 0 {
			return s.Label()
		}
	}
	return ""
}

// diff tells what changed from one value of a key to the next.
func diff(key ids.Key, old, fresh []byte) []byte {
	switch key {
	case ids.List:
		return discovery.Diff(old, fresh)
	case ids.Configuration:
		return configuration.Delta(old, fresh)
	}
	return nil
}

// patch makes the value of a key that a change from another leads to.
func patch(key ids.Key, old, change []byte) ([]byte, bool) {
	if key != ids.List {
		return nil, false
	}
	return discovery.Patch(old, change)
}
