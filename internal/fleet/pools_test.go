package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/standin"
	"spoolswitch/internal/trace"
)

// The mix swings while requests flow: replicas change sides unaided, and each
// request is answered once, run once, and in time.
func TestReplicasChangeSides(t *testing.T) {
	is := is.New(t)
	f := newFleetOf(t, 3, 2, "\n[pool]\nenabled = true\nwindow-s = 1\nleast-requests = 10\n")
	var reps []*standin.Replica
	var rs []discovery.Replica
	for i := range 10 {
		id := ids.Replica(fmt.Sprintf("e-%d", i))
		r := standin.NewReplica(id, standin.Stream(3, 0))
		t.Cleanup(r.Close)
		reps = append(reps, r)
		rs = append(rs, discovery.Replica{ID: id, Service: "s", Addr: r.Addr, Zone: "z1", Slots: 64, State: "in_service", Stage: "combined"})
	}
	f.plat.Set(rs...)
	is.Equal(f.insist(1, replace, 0, `{"version":3,"route-table":[{"name":"a","authority":"h","path-prefix":"/a/","route-class":"streaming","timeout-ms":5000,"service":"s","max-attempts":2,"session-affinity":true}],"service-table":[{"name":"s","inference-engine":{"capacity-slots":64,"kv-capacity-tokens":100000,"step-size":1}}],"limits":{}}`), 200)
	for i := range 2 {
		f.until("service", func() bool { return f.ask(i+1, "/a/x") == 200 })
	}
	var over atomic.Bool
	var sent atomic.Int64
	var mu sync.Mutex
	var bad []string
	done := concurrency.NewMark()
	left := 4
	for c := range 4 {
		concurrency.Go(func() {
			for i := 0; !over.Load(); i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				k := standin.Call(ids.Addr(fmt.Sprintf("127.0.0.%d:%d", 11+c%2, f.base+11)))
				prefix := fmt.Sprintf("Prompt-Prefix: a:100,%x:%d,%x:40", i%16+16, 400+i%2*8000, 1000+i)
				r, err := k.Ask("h", "/a/x", id, "body", "Deadline-Ms: 5000", prefix, "Token-Counts: 1000,10")
				k.Close()
				sent.Add(1)
				if err != nil || r.Status != 200 || !r.Whole {
					mu.Lock()
					bad = append(bad, fmt.Sprintf("%s: %d %v", id, r.Status, err))
					mu.Unlock()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if left--; left == 0 {
				done.Set()
			}
		})
	}
	// what engines elsewhere take: 0.01 ms a prompt token, 4 ms an output token
	offer := func(long, short int) {
		for i := range 2 {
			m := f.relays[i+1].Relay.Meter
			for n := range 40 {
				for range long {
					m.Read("s", 8500, 8000+int64(n), clock.Ms(80+float64(n)/100))
				}
				for range short {
					m.Read("s", 500, 400+int64(n), clock.Ms(4+float64(n)/100))
					m.Written("s", 500, 10, 40*clock.Millisecond)
				}
			}
		}
	}
	prefill := func(i int) int {
		if p := f.relays[i].Relay.Fleet.Plan(); p != nil {
			return len(p.Splits["s"].Prefill)
		}
		return 0
	}
	both := func(ok func(n int) bool) bool { return ok(prefill(1)) && ok(prefill(2)) }
	f.until("many long prompts", func() bool { offer(3, 1); return both(func(n int) bool { return n >= 8 }) })
	f.until("few long prompts", func() bool { offer(0, 60); return both(func(n int) bool { return n > 0 && n <= 5 }) })
	f.until("many again", func() bool { offer(3, 1); return both(func(n int) bool { return n >= 8 }) })
	over.Store(true)
	is.True(done.Wait(20 * clock.Second))
	is.Equal(len(bad), 0)
	seen := map[string]int{}
	used := 0
	for _, r := range reps {
		if len(r.Got()) > 0 {
			used++
		}
		for _, g := range r.Got() {
			seen[g.ID]++
		}
	}
	repeats := 0
	for _, n := range seen {
		repeats += n - 1
	}
	is.Equal(repeats, 0)
	is.True(used >= 5)
	is.True(len(seen) >= int(sent.Load()))
	// the operator sees the plan and why
	all, _, err := trace.Fleet(trace.Wire, ids.Addr(f.keepers[1].Keeper.Self), ids.Plan, 2*clock.Second)
	is.NoErr(err)
	var shown *consensus.Report
	for _, r := range all {
		if r.Role == "keeper" && len(r.Moves) > 0 {
			shown = r
		}
	}
	is.True(shown != nil)
	is.Equal(shown.Pools[0].Service, ids.Service("s"))
	is.True(shown.Pools[0].Why != "")
	// a plan that cannot be read leaves the last one in force
	was := f.relays[1].Relay.Fleet.Plan()
	f.relays[1].Relay.View.Take(consensus.Item{Key: ids.Plan, Val: []byte("x")})
	is.Equal(f.relays[1].Relay.Fleet.Plan(), was)
	_, err = pool.DecodePlan([]byte("x"))
	is.True(err != nil)
}
