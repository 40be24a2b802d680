// Package relay is the data plane: it takes inquiries of callers and sends
// them on to replicas.
package relay

import (
	"sync"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/list"
	"spoolswitch/internal/note"
	"spoolswitch/internal/pick"
	"spoolswitch/internal/word"
)

// View is what a relay has taken in of the feed. It never goes back.
type View struct {
	Fleet *pick.Fleet
	mu    sync.Mutex
	table *conf.Table
	when  map[word.Edition]clk.Tick
	lists clk.Tick
}

// Table is the configuration in force here, nil before the first.
func (v *View) Table() *conf.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// Take takes one item of the feed in.
func (v *View) Take(it keep.Item) {
	switch {
	case it.Key == word.Configuration:
		v.configure(it.Val)
	case it.Key == word.List:
		if rs, ok := list.Decode(it.Val); ok {
			v.Fleet.Listed(rs, it.Age)
		}
	default:
		if z, ok := it.Key.Evacuated(); ok {
			v.Fleet.Evacuate(z, string(it.Val) == "on")
			note.State("evacuation", "locality", z, "on", string(it.Val) == "on")
		}
	}
}

func (v *View) configure(b []byte) {
	s, err := conf.Decode(b)
	if err != nil || s.Edition == 0 {
		return
	}
	d, errs := conf.Read(s.JSON)
	if len(errs) > 0 {
		note.Trouble("configuration unreadable", "err", errs[0])
		return
	}
	t := conf.NewTable(d)
	v.mu.Lock()
	if v.table != nil && v.table.Edition >= t.Edition {
		v.mu.Unlock()
		return
	}
	v.table = t
	if v.when == nil {
		v.when = map[word.Edition]clk.Tick{}
	}
	v.when[t.Edition] = clk.Now()
	v.mu.Unlock()
	v.Fleet.Configured(t)
	note.State("configuration in force", "edition", t.Edition, "routes", len(t.Routes))
}

// Applied tells how long ago each edition was put in force here.
func (v *View) Applied() map[word.Edition]clk.Span {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[word.Edition]clk.Span{}
	for e, t := range v.when {
		out[e] = clk.Since(t)
	}
	return out
}
