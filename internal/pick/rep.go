package pick

import (
	"spoolswitch/internal/clk"
	"spoolswitch/internal/link"
	"spoolswitch/internal/list"
	"spoolswitch/internal/word"
)

// Load is what a replica last told of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Rep is one life of a replica as this relay knows it.
type Rep struct {
	list.Replica
	Pool *link.Pool

	running int
	pend    int64
	load    Load
	loadAt  clk.Tick
	since   int
	cold    clk.Tick
	fails   int
	down    clk.Tick
	downAt  clk.Tick
	gone    bool
	sent    []clk.Tick
	kept    *lru[part]
	audit   audit
}

type part struct {
	tokens int64
	used   clk.Tick
}

const (
	loadFresh = 1500 * clk.Millisecond
	downFirst = 400 * clk.Millisecond
	downMost  = 3 * clk.Second
	coldSpan  = clk.Second + 60*clk.Millisecond
)

func (r *Rep) press(now clk.Tick) int {
	if r.loadAt == 0 || now.Sub(r.loadAt) > loadFresh {
		return r.running
	}
	return max(r.running, r.load.Running+r.load.Waiting+r.since)
}

func (r *Rep) full(now clk.Tick) bool {
	slots := r.Slots
	if slots <= 0 {
		slots = 1 << 20
	}
	return r.press(now) >= slots
}

func (r *Rep) up(now clk.Tick) bool {
	return r.downAt == 0 || (now >= r.down && r.running == 0)
}

func (r *Rep) isCold(now clk.Tick) bool { return now < r.cold }

func (r *Rep) spare(now clk.Tick, share int) bool {
	i := 0
	for i < len(r.sent) && now.Sub(r.sent[i]) > coldSpan {
		i++
	}
	r.sent = r.sent[i:]
	return !r.isCold(now) || len(r.sent) < share
}

func (r *Rep) overlap(c Chain, trunk func(uint64) bool) int64 {
	var n int64
	for _, l := range c {
		if _, ok := r.kept.get(l.Hash); !ok {
			break
		}
		if !trunk(l.Hash) {
			n += l.Tokens
		}
	}
	return n
}

func (r *Rep) took(c Chain, now clk.Tick) {
	for i := len(c) - 1; i >= 0; i-- {
		l := c[i]
		r.kept.put(l.Hash, part{l.Tokens, now}, max(1, l.Tokens))
	}
}

// Name is the replica's id.
func (r *Rep) Name() word.Replica { return r.ID }
