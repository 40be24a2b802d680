package ctl

import (
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"

	"spoolswitch/internal/boot"
	"spoolswitch/internal/cal"
	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/disk"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/list"
	"spoolswitch/internal/note"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/wire"
	"spoolswitch/internal/word"
)

// Daemon is a running keeper.
type Daemon struct {
	Keeper  *keep.Keeper
	Hub     *feed.Hub
	lc      net.Listener
	srv     *Server
	in      *wire.Server[keep.Msg]
	net     *keep.Wires
	over    atomic.Bool
	founder atomic.Bool
}

// Machine is what a keeper has of the machine that it runs on.
type Machine struct {
	// Disk is where it keeps what it accepts; nil without a disk.
	Disk disk.FS
	// List reads the platform's list.
	List func() ([]list.Replica, error)
	// Serve answers the calls of operators at the listener until that is closed.
	Serve func(s *Server, l net.Listener)
}

// Start starts a keeper from its settings.
func Start(s *boot.Settings) (*Daemon, error) {
	debug.SetMemoryLimit(s.Limits.MemoryMB << 20 * 7 / 10)
	rd := &list.Reader{Addr: word.Addr(s.Platform.Address), Rate: list.Share(s.Platform.PerS, 0.5)}
	m := Machine{List: rd.Read, Serve: (*Server).Serve}
	if s.DataDir != "" {
		m.Disk = disk.Dir(s.DataDir)
	}
	return StartOn(s, m)
}

// StartOn starts a keeper from its settings on a machine.
func StartOn(s *boot.Settings, m Machine) (*Daemon, error) {
	if s.Bindings.Control == "" {
		return nil, code.New(code.BadSettings, "bindings.control-addr is missing")
	}
	acc := keep.NewAcceptor()
	hub := feed.NewHub()
	self := word.Node(s.Inner(s.IP, 0))
	wires := &keep.Wires{}
	k := keep.New(self, acc, wires, hub)
	k.Zone = s.Zone
	wires.Far = k.Far
	k.Decider = Decide
	k.Seats = keep.Seats(s.Tolerance.Machines, len(s.Zones))
	k.Disk = m.Disk != nil
	k.Label = label
	k.Pauses = &keep.Pauses{}
	for _, a := range s.Seeds {
		k.Founders = append(k.Founders, word.Node(s.Keeper(a)))
	}
	hub.Status = k
	hub.Diff, k.Diff, k.Patch = diff, diff, patch
	hub.Trim = func(key word.Key, val []byte) []byte {
		if key != word.Configuration {
			return val
		}
		return conf.Brief(val)
	}
	hub.Apply = clk.Ms(s.Bounds.ConfigApplyMs)
	d := &Daemon{Keeper: k, Hub: hub, net: wires}
	li, err := wire.Listen(word.Addr(self))
	if err != nil {
		return nil, code.New(code.BadSettings, "%v", err)
	}
	lc, err := wire.Listen(word.Addr(s.Bindings.Control))
	if err != nil {
		return nil, code.New(code.BadSettings, "%v", err)
	}
	d.lc = lc
	opened := spawn.NewMark()
	spawn.Go(func() {
		d.open(s, m.Disk, acc)
		opened.Set()
	})
	opened.Wait(2 * clk.Second)
	pools := newPools(s, k, hub)
	far := func(m keep.Msg) bool { return m.Zone != "" && m.Zone != s.Zone || k.Far(m.From) }
	d.in = wire.ServeZoned(li, far, func(m keep.Msg, push func(keep.Msg) error) (keep.Msg, bool) {
		if m.Kind == keep.Trace {
			r := k.Report(m.Key)
			r.Feed, r.Relays, r.Counts = hub.Num(), hub.Relays(), note.Map()
			pools.report(r)
			return keep.Msg{OK: true, Report: r}, true
		}
		if m.Kind == keep.Follow {
			hub.Follow(m, push)
			return keep.Msg{}, false
		}
		if m.Kind == keep.Confirm {
			return hub.Confirm(m), true
		}
		if m.Kind == keep.Counts || m.Kind == keep.Fold {
			return pools.duty.Counted(m), true
		}
		return k.Handle(m), true
	})
	d.srv = &Server{Keeper: k, Zones: s.Zones, room: room{most: s.Limits.MemoryMB << 20 / 8}}
	m.Serve(d.srv, lc)
	spawn.Go(func() {
		for !d.over.Load() {
			if d.founder.Load() && !acc.Voting() {
				if k.Begin() {
					d.founder.Store(false)
				}
			} else if acc.Ready() && (k.Disk || acc.Roster().Has(k.Self)) {
				k.Regain()
			}
			k.Gossip()
			if !k.Rounds() && !d.founder.Load() {
				clk.Sleep(keep.Beat / 4)
				continue
			}
			begun := clk.Now()
			k.Round()
			hub.Check()
			if !k.Sure(3 * keep.Beat) {
				clk.Sleep(keep.Beat / 4)
				continue
			}
			clk.Sleep(max(keep.Beat-clk.Since(begun), keep.Beat/4))
		}
	})
	duty := &list.Duty{Duty: keep.Duty{Keeper: k, Key: word.ListDuty, Value: hub.Value}, Read: m.List, Drain: clk.Ms(s.Bounds.DrainMs)}
	spawn.Every(list.Glance, func() bool {
		duty.Step()
		return !d.over.Load()
	})
	if s.Pool.Enabled {
		spawn.Every(clk.Ms(s.Pool.WindowS*1000)/4, func() bool {
			pools.duty.Step()
			return !d.over.Load()
		})
	}
	spawn.Every(keep.PauseBeat, func() bool {
		k.Pauses.Beat()
		return !d.over.Load()
	})
	d.calendar(s.Calendar.Rewrite, acc)
	note.State("keeper up", "node", self, "voting", acc.Voting())
	return d, nil
}

func (d *Daemon) open(s *boot.Settings, fs disk.FS, acc *keep.Acceptor) {
	for !d.over.Load() {
		st, err := disk.Empty, error(nil)
		if fs == nil {
			note.State("no data-dir, forwards only where others have one")
			acc.Use(keep.Volatile{})
		} else {
			st, err = acc.Open(fs)
		}
		if err != nil {
			note.Trouble("disk refused", "err", err)
			clk.Sleep(200 * clk.Millisecond)
			continue
		}
		seat := false
		for _, n := range d.Keeper.Founders {
			seat = seat || n == d.Keeper.Self
		}
		switch {
		case st == disk.Empty && s.Initial && seat:
			if err := acc.First(); err != nil {
				note.Trouble("first start not noted on disk", "err", err)
			}
			d.founder.Store(true)
		case fs == nil:
		case st != disk.Whole:
			note.Trouble("disk without its records, not voting", "state", int(st))
		}
		return
	}
}

// Take takes changed settings in: the zones and the seeds.
func (d *Daemon) Take(s *boot.Settings) {
	d.srv.SetZones(s.Zones)
	var ns []word.Node
	for _, a := range s.Seeds {
		ns = append(ns, word.Node(s.Keeper(a)))
	}
	d.Keeper.Seeded(ns, keep.Seats(s.Tolerance.Machines, len(s.Zones)))
}

// Stop ends the daemon.
func (d *Daemon) Stop() {
	d.over.Store(true)
	d.srv.Stop()
	_ = d.lc.Close()
	d.in.Close()
	d.net.Close()
	d.Keeper.Acceptor().Close()
}

func (d *Daemon) calendar(when string, acc *keep.Acceptor) {
	if when == "" {
		return
	}
	c, err := cal.Parse(when)
	if err != nil {
		return
	}
	spawn.Every(20*clk.Second, func() bool {
		if c.Due(clk.Day()) {
			if err := acc.Rewrite(); err != nil {
				note.Trouble("log not rewritten", "err", err)
			} else {
				note.State("log rewritten")
			}
		}
		return !d.over.Load()
	})
}

func label(key word.Key, val []byte) string {
	if key == word.Configuration {
		if s, err := conf.Decode(val); err == nil {
			return strconv.FormatInt(int64(s.Version), 10)
		}
		return ""
	}
	if _, ok := key.Evacuated(); ok {
		return string(val)
	}
	return ""
}

// diff tells what changed from one value of a key to the next.
func diff(key word.Key, old, fresh []byte) []byte {
	switch key {
	case word.List:
		return list.Diff(old, fresh)
	case word.Configuration:
		return conf.Delta(old, fresh)
	}
	return nil
}

// patch makes the value of a key that a change from another leads to.
func patch(key word.Key, old, change []byte) ([]byte, bool) {
	if key != word.List {
		return nil, false
	}
	return list.Patch(old, change)
}
