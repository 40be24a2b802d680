// Package relay is the data plane: it takes requests of clients and sends
// them on to replicas.
package relay

import (
	"bytes"
	"encoding/gob"
	"strconv"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/telemetry"
)

// View is what a relay has taken in of the feed. It never goes back.
type View struct {
	Fleet *routing.Fleet
	mu    sync.Mutex
	table *configuration.Table
	doc   *configuration.Doc
	when  map[string]clock.Tick
	rests []rest
}

// rest is how long clients' connections may rest, from a moment on.
type rest struct {
	from clock.Tick
	most clock.Span
}

const (
	restsKept = 64
	// clients hear of a change sooner or later than the relay does
	restNews = 10 * clock.Second
)

// Rest is how long a client's connection may rest that was used last at a
// moment: the longest that a configuration allowed since, or shortly before.
func (v *View) Rest(used clock.Tick) clock.Span {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.rests) == 0 {
		return clock.Ms(configuration.Limits{}.Whole().IdleMs)
	}
	d := clock.Span(0)
	for i, r := range v.rests {
		if i+1 == len(v.rests) || v.rests[i+1].from >= used.Add(-restNews) {
			d = max(d, r.most)
		}
	}
	return d
}

// Table is the configuration in force here, nil before the first.
func (v *View) Table() *configuration.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// Take takes one item of the feed in; false if it is a change that cannot be
// taken, so that the whole is wanted.
func (v *View) Take(it consensus.Item) bool {
	if it.Base.Zero() {
		v.takeWhole(it)
		return true
	}
	switch it.Key {
	case ids.Configuration:
		return v.reconfigure(it.Val)
	case ids.List:
		d, ok := discovery.DecodeDelta(it.Val)
		if ok {
			v.Fleet.Relisted(d, it.Age)
		}
		return ok
	}
	return false
}

func (v *View) takeWhole(it consensus.Item) {
	switch {
	case it.Key == ids.Configuration:
		v.configure(it.Val)
	case it.Key == ids.List:
		if rs, ok := discovery.Decode(it.Val); ok {
			v.Fleet.Listed(rs, it.Age)
		}
	case it.Key == ids.Plan:
		p, err := pool.DecodePlan(it.Val)
		if err != nil {
			telemetry.Counter("pool.plans-unreadable").Add(1)
			telemetry.Trouble("plan unreadable, kept the last", "err", err)
			return
		}
		v.Fleet.Planned(p)
		telemetry.State("pools planned", "plan", p.Num, "services", len(p.Splits))
	default:
		if _, ok := it.Key.Drifted(); ok {
			var d routing.Drift
			if gob.NewDecoder(bytes.NewReader(it.Val)).Decode(&d) == nil {
				v.Fleet.Mend(d, it.Age)
			}
			return
		}
		if service, ok := it.Key.RolledOut(); ok {
			v.rolledOut(service, it)
			return
		}
		if z, ok := it.Key.Evacuated(); ok {
			v.Fleet.Evacuate(z, string(it.Val) == "on")
			v.mu.Lock()
			v.stamp(it.Key, string(it.Val))
			v.mu.Unlock()
			telemetry.State("evacuation", "zone", z, "on", string(it.Val) == "on")
		}
	}
}

// rolledOut takes the state of a service's rollout in.
func (v *View) rolledOut(service ids.Service, it consensus.Item) {
	state, err := rollout.Decode(it.Val)
	if err != nil || state.Number == 0 {
		return
	}
	v.Fleet.RolledOut(service, state, it.Age)
	v.mu.Lock()
	v.stamp(it.Key, state.Label())
	v.mu.Unlock()
	telemetry.State("rollout", "service", service, "target", state.Target, "status", state.Status, "step", state.Step, "weight", state.Weight(), "why", state.Reason)
}

func (v *View) configure(b []byte) {
	s, err := configuration.Decode(b)
	if err != nil || s.Version == 0 {
		return
	}
	d, errs := configuration.ReadBrief(s.JSON)
	if len(errs) > 0 {
		telemetry.Trouble("configuration unreadable", "err", errs[0])
		return
	}
	v.enforce(d)
}

// reconfigure takes a change of the configuration in; false if it does not lead
// from the document here to the one that its maker has.
func (v *View) reconfigure(change []byte) bool {
	v.mu.Lock()
	doc := v.doc
	v.mu.Unlock()
	if doc == nil {
		return false
	}
	d, ok := doc.ApplyDelta(change)
	if !ok {
		telemetry.Counter("feed.changes-unfit").Add(1)
		return false
	}
	v.enforce(d)
	return true
}

// enforce puts a configuration in force, unless a later one is.
func (v *View) enforce(d *configuration.Doc) {
	t := configuration.NewTable(d)
	v.mu.Lock()
	if v.table != nil && v.table.Version >= t.Version {
		v.mu.Unlock()
		return
	}
	v.table, v.doc = t, d
	if n := len(v.rests) - restsKept + 1; n > 0 {
		v.rests = v.rests[n:]
	}
	v.rests = append(v.rests, rest{clock.Now(), clock.Ms(t.Limits.IdleMs)})
	v.stamp(ids.Configuration, strconv.FormatInt(int64(t.Version), 10))
	v.mu.Unlock()
	v.Fleet.Configured(t)
	telemetry.State("configuration in force", "version", t.Version, "routes", len(t.Routes))
}

// Applied tells how long ago each change was put in force here, by its key
// and label.
func (v *View) Applied() map[string]clock.Span {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]clock.Span{}
	for e, t := range v.when {
		out[e] = clock.Since(t)
	}
	return out
}

const whenKept = 256

func (v *View) stamp(key ids.Key, label string) {
	if v.when == nil || len(v.when) >= whenKept {
		v.when = map[string]clock.Tick{}
	}
	v.when[string(key)+" "+label] = clock.Now()
}
