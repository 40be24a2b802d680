package routing

import (
	"strconv"
	"strings"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/telemetry"
)

// Outcome is what came of sending to a replica.
type Outcome int

// The outcomes.
const (
	Fine Outcome = iota
	Refused
	Unreached
	Broke
	Silent
	Stranger
	CutByClient
	Failed
)

var outcomes = [...]*telemetry.Count{telemetry.Counter("send.fine"), telemetry.Counter("send.turned"), telemetry.Counter("send.unreached"),
	telemetry.Counter("send.broke"), telemetry.Counter("send.silent"), telemetry.Counter("send.stranger"), telemetry.Counter("send.cut"), telemetry.Counter("send.failed")}

// Begun says that the first of an answer has come.
func (f *Fleet) Begun(r *Rep, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.pend -= tokens
}

// Told takes in the load that an answer told.
func (f *Fleet) Told(r *Rep, s string) {
	p := strings.Split(s, ",")
	if len(p) != 3 {
		return
	}
	var n [3]int
	for i := range p {
		v, err := strconv.Atoi(strings.TrimSpace(p[i]))
		if err != nil || v < 0 {
			return
		}
		n[i] = v
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.load, r.loadAt, r.since = Load{n[0], n[1], n[2]}, clock.Now(), 0
}

// Done gives the place at a replica back and takes note of its health.
func (f *Fleet) Done(r *Rep, o Outcome) {
	outcomes[o].Add(1)
	if o == Unreached || o == Silent {
		defer r.Pool.Flush()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	r.running--
	if o == Unreached || o == Silent || o == Broke || o == Failed {
		f.fared(r, now, 1, 0)
	}
	switch o {
	case Fine:
		if r.fails > 0 && r.downAt != 0 && now.Sub(r.downAt) > clock.Second {
			f.chill(r, now)
		}
		r.fails, r.downAt = 0, 0
	case Unreached, Silent:
		f.hurt(r, now)
	case Broke:
		if r.fails++; r.fails >= 2 {
			r.fails--
			f.hurt(r, now)
		}
	case Stranger:
		r.gone = true
	}
}

func (f *Fleet) hurt(r *Rep, now clock.Tick) {
	if r.downAt == 0 {
		r.downAt = now
		telemetry.State("replica down", "replica", r.ID, "addr", r.Addr)
	}
	d := min(downFirst<<min(r.fails, 4), downMost)
	r.fails++
	r.down = now.Add(d)
}
