package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/standin"
)

// rolloutSteps are short enough for a test: a sample, a look, everything, a pause, a look.
const rolloutSteps = `
[rollout]
steps = [
  { action = "set-weight", weight = 50 },
  { action = "pause", for = 0.02 },
  { action = "analysis", count = 2, interval = 0.005, failure-limit = 1 },
  { action = "set-weight", weight = 100 },
  { action = "pause", for = 0.01 },
  { action = "analysis", count = 1, interval = 0.005, failure-limit = 1 },
]
`

const initiate = "/-/rollouts/initiate"

func rolloutTo(target string, within int) string {
	return fmt.Sprintf(`{"service":"s","target-version":%q,"within-s":%d}`, target, within)
}

// rolloutState reads how the rollout of a service stands, once it can be had.
func (f *fleet) rolloutState(keeper int) (state, target string) {
	f.t.Helper()
	var got struct {
		State  string `json:"state"`
		Target string `json:"target-version"`
	}
	f.until("the rollout", func() bool {
		st, body := f.call(keeper, "GET", "/-/rollouts/s/retrieve", -1, "")
		return st == 200 && json.Unmarshal([]byte(body), &got) == nil
	})
	return got.State, got.Target
}

// rolloutFleet is a fleet with three replicas of v1, and more of other versions as they are brought in.
type rolloutFleet struct {
	*fleet
	listed []discovery.Replica
	all    map[string][]*standin.Replica
}

func newRolloutFleet(t *testing.T, keepers, relays int) *rolloutFleet {
	r := &rolloutFleet{fleet: newFleetOf(t, keepers, relays, rolloutSteps), all: map[string][]*standin.Replica{}}
	r.bring("v1", standin.Well)
	return r
}

// bring starts and lists replicas of a version.
func (r *rolloutFleet) bring(version string, play standin.Play) {
	for i := range 3 {
		id := ids.Replica(fmt.Sprintf("i-%s-%d", version, i))
		replica := standin.NewReplica(id, play)
		r.t.Cleanup(replica.Close)
		r.all[version] = append(r.all[version], replica)
		r.listed = append(r.listed, discovery.Replica{ID: id, Service: "s", Addr: replica.Addr, Zone: "z1", Slots: 8, State: "in_service", Version: version})
	}
	r.plat.Set(r.listed...)
}

func (r *rolloutFleet) got(version string) (n int) {
	for _, replica := range r.all[version] {
		n += len(replica.Got())
	}
	return n
}

// serve asks through both relays until the rollout has a verdict.
func (r *rolloutFleet) serve(want string) {
	r.t.Helper()
	n := 0
	r.until(want, func() bool {
		for i := range r.relays {
			r.ask(i, "/a/x")
		}
		n++
		if n%20 != 0 {
			return false
		}
		state, _ := r.rolloutState(1 + n/20%len(r.keepers))
		return state == want
	})
}

func failing(w net.Conn, g standin.Got) bool { return standin.Say(w, g.ID, 500, standin.Seal, "") }

// The whole way: orders at any keeper, a good version comes in and a bad one does not, with what
// is told of both, and none of it is lost when all keepers end at once.
func TestRollout(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(t, 3, 2)
	is.Equal(f.insist(1, replace, 0, doc(1, "/a/")), 200)
	for i := range f.relays {
		f.until("service", func() bool { return f.ask(i, "/a/x") == 200 })
	}
	st, _ := f.call(1, "GET", "/-/rollouts/s/retrieve", -1, "")
	is.Equal(st, 404)
	for body, want := range map[string]int{
		`{"service":"none","target-version":"v2","within-s":9}`: 400, `{"service":"s","target-version":"","within-s":9}`: 400,
		`{"service":"s","target-version":"v2","within-s":0}`: 400, `{"service":"s","target-version":"v2","within-s":-1}`: 400,
		`{"service":"s","target-version":"v2","within-s":1e30}`: 400, `{"service":"s","target-version":"v2"}`: 400,
		`{"target-version":"v2","within-s":9}`: 400, `{"service":"s"`: 400, ``: 400, `{"service":"s","service":"s","target-version":"v2","within-s":9}`: 400,
	} {
		st, reply := f.call(2, "POST", initiate, -1, body)
		is.Equal(st, want)
		is.True(strings.Contains(reply, `"code":3`))
	}
	is.Equal(f.insist(2, initiate, -1, rolloutTo("v2", 100)), 200)
	f.bring("v2", standin.Well)
	is.Equal(f.insist(3, initiate, -1, rolloutTo("v2", 100)), 200) // the same again
	is.Equal(f.insist(1, initiate, -1, rolloutTo("v3", 100)), 409)
	state, target := f.rolloutState(3)
	is.Equal(state, "in_progress")
	is.Equal(target, "v2")
	f.serve("completed")
	is.Equal(f.insist(1, initiate, -1, rolloutTo("v2", 100)), 200)
	before := f.got("v1")
	f.until("the new version alone", func() bool {
		was := f.got("v1")
		for i := range f.relays {
			is.Equal(f.ask(i, "/a/x"), 200)
		}
		return f.got("v1") == was
	})
	is.True(f.got("v2") > 0 && f.got("v1") >= before)

	is.Equal(f.insist(3, initiate, -1, rolloutTo("v3", 100)), 200)
	f.bring("v3", failing)
	f.serve("reverted")
	reached := f.got("v3")
	is.True(reached >= 5)
	f.until("the bad version is left", func() bool {
		was := f.got("v3")
		for i := range f.relays {
			f.ask(i, "/a/x")
		}
		return f.got("v3") == was
	})
	f.stopKeepers(1, 2, 3)
	for i := 1; i <= 3; i++ {
		f.startKeeper(i, false)
	}
	state, target = f.rolloutState(2)
	is.Equal(state, "reverted")
	is.Equal(target, "v3")
}
