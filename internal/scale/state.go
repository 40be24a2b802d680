package scale

import (
	"fmt"
	"runtime"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/routing"
)

// State is what a relay holds, and how long choosing takes it.
type State struct {
	Replicas, Sessions int
	// Base is bytes for the replicas alone, PerSession for each session served.
	Base, PerSession float64
	// Choose is the time of one choice, of a session that is bound and of one
	// that is new.
	Bound, Fresh clock.Span
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Measure fills a relay's state with sessions, each of one turn, over so many
// replicas.
func Measure(replicas, sessions int) State {
	s := State{Replicas: replicas, Sessions: sessions}
	before := heap()
	f := routing.NewFleet("z", 300*clock.Second)
	f.Overrun, f.Slack = 1.5, 5
	f.Relays(1)
	f.Configured(&configuration.Table{Services: map[ids.Service]*configuration.Service{"s": {Name: "s", ColdS: 3, ColdPerS: 20, Engine: &configuration.Engine{KVTokens: 1 << 40}}}})
	var rs []discovery.Replica
	for i := range replicas {
		rs = append(rs, discovery.Replica{ID: ids.Replica(fmt.Sprint("i-", i)), Service: "s", Addr: ids.Addr(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255)), Zone: "z", Slots: 1 << 20, State: "in_service"})
	}
	f.Listed(rs, 0)
	s.Base = heap() - before
	turn := func(i, own int) {
		c, err := kvindex.ReadChain("m", fmt.Sprintf("%x:512,%x:4870,%x:6610", i%64, 1000+i, 1<<30+own))
		if err != nil {
			return
		}
		a := &routing.Ask{Service: "s", Sticky: true, Chain: c, Tokens: 11992}
		r, err := f.Choose(a)
		if err != nil {
			return
		}
		f.Sent(r, a)
		f.Begun(r, a.Tokens)
		f.Read(r, a, -1)
		f.Done(r, routing.Fine)
	}
	at := clock.Now()
	for i := range sessions {
		turn(i, i)
	}
	s.Fresh = clock.Since(at) / clock.Span(max(1, sessions))
	s.PerSession = (heap() - before - s.Base) / float64(max(1, sessions))
	at = clock.Now()
	for i := range sessions {
		turn(i, sessions+i)
	}
	s.Bound = clock.Since(at) / clock.Span(max(1, sessions))
	runtime.KeepAlive(f)
	return s
}
