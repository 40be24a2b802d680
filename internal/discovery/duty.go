package discovery

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Duty is the duty of reading the list, done by one keeper at a time.
type Duty struct {
	consensus.Duty
	Read func() ([]Replica, error)
	// Drain is the time after which nothing may be sent to a replica that the
	// list shows as draining.
	Drain clock.Span
	mu    concurrency.Mutex
	epoch ids.Epoch
	seq   uint64
	last  []Replica
	at    clock.Tick
	held  ids.Place
	since clock.Tick
	wait  clock.Span
	done  clock.Tick
	fails int
	// clock names the clock that readings are told by.
	clock uint64
}

const (
	// Glance is the time between two steps.
	Glance = 100 * clock.Millisecond

	drainDefault = 3 * clock.Second
	patience     = 3
)

func (d *Duty) drain() clock.Span {
	if d.Drain > 0 {
		return d.Drain
	}
	return drainDefault
}

func (d *Duty) pause() clock.Span { return d.drain() * 3 / 10 }

func (d *Duty) gone() clock.Span { return d.drain() / 2 }

// Step takes one step: reads the list if the duty is this keeper's, and holds
// a ballot if the duty is vacant.
func (d *Duty) Step() {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.Keeper
	if !k.Sure(d.gone()) {
		return
	}
	mine, at := d.Mine()
	if !mine {
		if !d.vacant(at) {
			return
		}
		if d.Win() {
			d.fails = 0
		}
		if mine, at = d.Mine(); !mine {
			return
		}
	}
	if d.epoch != at.Epoch {
		d.epoch, d.seq, d.last = at.Epoch, 0, nil
	}
	if d.done != 0 && clock.Since(d.done) < d.pause()-Glance/2 {
		return
	}
	now := clock.Now()
	d.done = now
	rs, err := d.Read()
	if err != nil {
		telemetry.Counter("list.failed").Add(1)
		if d.fails++; d.fails <= patience {
			k.ListSeen(now)
		}
		return
	}
	d.fails = 0
	// a reading that this process stood still in tells of a list that is gone by
	if !k.Sure(d.gone()) || clock.Since(now) > d.drain() {
		telemetry.Counter("list.overtaken").Add(1)
		return
	}
	if d.seq > 0 && same(d.last, rs, now.Sub(d.at)) {
		k.ListSeen(now)
		return
	}
	d.seq++
	d.last, d.at = rs, now
	k.ListSeen(now)
	if d.clock == 0 {
		d.clock = concurrency.Uint64() | 1
	}
	read := Reading{Clock: d.clock, AtMs: float64(now) / float64(clock.Millisecond)}
	k.Share(ids.List, ids.Place{Epoch: d.epoch, Seq: d.seq}, EncodeRead(rs, read))
}

func (d *Duty) vacant(at ids.Place) bool {
	if at != d.held || d.since == 0 {
		d.held, d.since = at, clock.Now()
		d.wait = clock.Span(concurrency.Int64N(int64(350 * clock.Millisecond)))
	}
	if age := d.Keeper.ListAge(); age < clock.Second*3600 {
		return age >= d.gone()+d.pause() && clock.Since(d.since) >= d.gone()+d.pause()
	}
	return clock.Since(d.since) >= d.wait
}

func same(a, b []Replica, d clock.Span) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := &a[i], &b[i]
		if !alike(x, y) {
			return false
		}
		if y.ColdMs > warmed(x.ColdMs, float64(d/clock.Millisecond))+coldSlackMs {
			return false
		}
	}
	return true
}

// alike tells whether two entries say the same, but for how cold it is.
func alike(x, y *Replica) bool {
	if x.ID != y.ID || x.Addr != y.Addr || x.State != y.State || x.Service != y.Service ||
		x.Zone != y.Zone || x.Slots != y.Slots || x.Version != y.Version || x.Stage != y.Stage || len(x.Models) != len(y.Models) {
		return false
	}
	for j := range x.Models {
		if x.Models[j] != y.Models[j] {
			return false
		}
	}
	return true
}
