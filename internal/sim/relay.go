package sim

import (
	"fmt"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
)

type relay struct {
	n     int
	host  *host
	proc  *concurrency.Process
	tail  *feed.Tail
	conf  ids.Version
	doc   *configuration.Doc
	evac  map[string]string
	place map[ids.Key]ids.Place
	born  clock.Span
	// rolled is the state of the rollout that the relay was fed.
	rolled *rollout.State
}

func (d *day) bootRelay(r *relay) {
	p := d.w.Process(fmt.Sprintf("r%d", r.n))
	p.PPM = concurrency.Int64N(401) - 200
	p.Quota = concurrency.Quota{Share: d.p.Quota, Step: quotaStep}
	r.proc, r.born, r.doc, r.conf, r.evac, r.place = p, d.w.Time(), nil, 0, map[string]string{}, map[ids.Key]ids.Place{}
	r.rolled = nil
	d.net.by[p] = r.host
	seeds := func() []ids.Addr {
		var out []ids.Addr
		for _, i := range d.seeds {
			out = append(out, d.slots[i].inner())
		}
		return out
	}
	r.tail = &feed.Tail{Self: ids.Node(p.Name), Addr: ids.Addr(r.host.ip + ":7801"), IP: r.host.ip, Zone: ids.Zone(zones[r.n%len(zones)]), Seeds: seeds, Apply: apply,
		Heard: func(int, clock.Span) {}, Take: func(it consensus.Item) bool { return d.took(r, p, it) }}
	p.Go(func() { r.tail.Run() })
	if d.p.Point == rolloutPoint {
		p.Go(func() { d.reportRollouts(r, p) })
	}
}

// took takes in what a relay was fed; false if it is a change that does not lead
// on from what the relay has.
func (d *day) took(r *relay, p *concurrency.Process, it consensus.Item) bool {
	if r.proc != p || p.Dead() {
		return true
	}
	if at := r.place[it.Key]; !at.Less(it.At) {
		d.broke("feed", fmt.Sprintf("relay %d went back from %v to %v of %s", r.n, at, it.At, it.Key))
	}
	r.place[it.Key] = it.At
	if it.Key == ids.Configuration {
		doc, ok := configured(r.doc, it)
		if !ok {
			return false
		}
		if doc == nil {
			return true
		}
		if doc.Version < r.conf {
			d.broke("feed", fmt.Sprintf("relay %d went back from version %d to %d", r.n, r.conf, doc.Version))
		}
		r.doc, r.conf = doc, doc.Version
		d.say("in force", "relay", r.n, "version", doc.Version)
	}
	if _, ok := it.Key.RolledOut(); ok {
		d.rollouts.fed(d, r, it.Val)
	}
	if z, ok := it.Key.Evacuated(); ok {
		r.evac[string(z)] = string(it.Val)
		d.say("in force", "relay", r.n, "evacuation", z, "is", string(it.Val))
	}
	return true
}

// configured is the configuration that an item brings to one who has doc.
func configured(doc *configuration.Doc, it consensus.Item) (*configuration.Doc, bool) {
	if it.Base.Zero() && len(it.Val) == 0 { // a lease was won before there was any
		return doc, true
	}
	if it.Base.Zero() {
		doc = configuration.DocOf(it.Val)
		return doc, doc != nil
	}
	if doc == nil {
		return nil, false
	}
	return doc.ApplyDelta(it.Val)
}
