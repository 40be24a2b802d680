package list

import (
	"spoolswitch/internal/clk"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/note"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

// Duty is the duty of reading the list, done by one keeper at a time.
type Duty struct {
	keep.Duty
	Read func() ([]Replica, error)
	// Drain is the time after which nothing may be sent to a replica that the
	// list shows as draining.
	Drain clk.Span
	mu    spawn.Mutex
	epoch word.Epoch
	seq   uint64
	last  []Replica
	at    clk.Tick
	held  word.Place
	since clk.Tick
	wait  clk.Span
	done  clk.Tick
	fails int
	// clock names the clock that readings are told by.
	clock uint64
}

const (
	// Glance is the time between two steps.
	Glance = 100 * clk.Millisecond

	drainDefault = 3 * clk.Second
	patience     = 3
)

func (d *Duty) drain() clk.Span {
	if d.Drain > 0 {
		return d.Drain
	}
	return drainDefault
}

func (d *Duty) pause() clk.Span { return d.drain() * 3 / 10 }

func (d *Duty) gone() clk.Span { return d.drain() / 2 }

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
	if d.done != 0 && clk.Since(d.done) < d.pause()-Glance/2 {
		return
	}
	now := clk.Now()
	d.done = now
	rs, err := d.Read()
	if err != nil {
		note.Counter("list.failed").Add(1)
		if d.fails++; d.fails <= patience {
			k.ListSeen(now)
		}
		return
	}
	d.fails = 0
	// a reading that this process stood still in tells of a list that is gone by
	if !k.Sure(d.gone()) || clk.Since(now) > d.drain() {
		note.Counter("list.overtaken").Add(1)
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
		d.clock = spawn.Uint64() | 1
	}
	read := Reading{Clock: d.clock, AtMs: float64(now) / float64(clk.Millisecond)}
	k.Share(word.List, word.Place{Epoch: d.epoch, Seq: d.seq}, EncodeRead(rs, read))
}

func (d *Duty) vacant(at word.Place) bool {
	if at != d.held || d.since == 0 {
		d.held, d.since = at, clk.Now()
		d.wait = clk.Span(spawn.Int64N(int64(350 * clk.Millisecond)))
	}
	if age := d.Keeper.ListAge(); age < clk.Second*3600 {
		return age >= d.gone()+d.pause() && clk.Since(d.since) >= d.gone()+d.pause()
	}
	return clk.Since(d.since) >= d.wait
}

func same(a, b []Replica, d clk.Span) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := &a[i], &b[i]
		if !alike(x, y) {
			return false
		}
		if y.ColdMs > warmed(x.ColdMs, float64(d/clk.Millisecond))+coldSlackMs {
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
