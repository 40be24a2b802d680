package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/ids"
)

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// perSession is how many bytes a router holds for each of so many sessions of one turn.
func perSession(t *testing.T, sessions int) float64 {
	f := NewFleet("z", 300*clock.Second)
	f.Overrun, f.Slack = 1.5, 5
	f.Relays(1)
	f.Configured(&configuration.Table{Services: map[ids.Service]*configuration.Service{"s": {Name: "s", ColdS: 3, ColdPerS: 20, Engine: &configuration.Engine{KVTokens: 1 << 40}}}})
	listed := replicas(50, "z")
	for i := range listed {
		listed[i].Slots = 1 << 20
	}
	f.Listed(listed, 0)
	before := heap()
	for i := range sessions {
		a := &Ask{Service: "s", Sticky: true, Tokens: 11992, Chain: chain(t, fmt.Sprintf("%x:512,%x:4870,%x:6610", i%64, 1000+i, 1<<30+i))}
		r, err := f.Choose(a)
		if err != nil {
			t.Fatal(err)
		}
		f.Sent(r, a)
		f.Begun(r, a.Tokens)
		f.Read(r, a, -1)
		f.Done(r, Fine)
	}
	held := heap() - before
	runtime.KeepAlive(f)
	return held / float64(sessions)
}

// What a router holds follows the sessions that it serves.
func TestStateFollowsSessions(t *testing.T) {
	is := is.New(t)
	few, many := perSession(t, 500), perSession(t, 4000)
	is.True(many < 2*few)
	is.True(many > 0)
}
