package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/standin"
	"spoolswitch/internal/telemetry"
)

const causeDeadline = 120 * clock.Millisecond

// earlyCauses are all reasons for which a relay may end a request or a connection
// early; each is brought about while a request is interrupted.
var earlyCauses = map[string]func(r *leaveRun){
	"leaving": func(r *leaveRun) {
		leaveNow(r.g.r, 20*clock.Second, 0)
		until(r.g.t, "the closing", r.g.r.closed)
	},
	"grace over": func(r *leaveRun) {
		is.New(r.g.t).True(leaveNow(r.g.r, 0, 0).Wait(10 * clock.Second))
		until(r.g.t, "the end of what the end of the process would break off", func() bool { return r.g.r.Active() == 0 })
	},
	"settings": func(r *leaveRun) {
		d := &Daemon{Relay: r.g.r, Tail: &feed.Tail{}}
		d.Take(&settings.Settings{Limits: settings.Limits{MemoryMB: 64}, Index: settings.Index{PerS: 1, Safety: 1, Proofs: 1},
			Bounds: settings.Bounds{GraceS: 1, RetryBudgetRatio: 0.1, RetryWindowS: 1, RetrySlack: 1}})
	},
	"configuration": func(r *leaveRun) { // without the request's route, with less of everything
		doc := `{"version":9,"route-table":[],"service-table":[{"name":"s"}],"limits":{"max-header-bytes":1024,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}}`
		st := &configuration.State{Version: 9, JSON: []byte(doc)}
		r.g.r.View.Take(consensus.Item{Key: ids.Configuration, At: r.g.at(), Val: st.Encode()})
	},
	"idle end": func(r *leaveRun) {
		r.g.r.View.mu.Lock()
		defer r.g.r.View.mu.Unlock()
		r.g.r.View.rests = []rest{{clock.Now(), 0}}
	},
	"no replica": func(r *leaveRun) { r.g.list("draining") },
	"deadline": func(r *leaveRun) {
		past := clock.Now().Add(causeDeadline)
		until(r.g.t, "the deadline", func() bool { return clock.Now() > past })
	},
	"contact": func(r *leaveRun) {
		r.g.r.mu.Lock()
		defer r.g.r.mu.Unlock()
		r.known = false
	},
}

// LOST: whatever a request has reached, and whichever two reasons to end it come
// beside each other, in either order: its client gets a whole answer, or a refusal
// that is true. An answer is broken off only after its deadline, once it has
// begun, or at the end of the grace period, and that is logged with its cause.
func TestEachCauseBesideEachOther(t *testing.T) {
	lines := collectEarlyLines(t)
	for first := range earlyCauses {
		for second := range earlyCauses {
			for moment := range moments {
				if first != second {
					t.Run(first+", "+second+", "+moment, func(t *testing.T) {
						t.Parallel()
						causesBeside(t, lines, first, second, moment)
					})
				}
			}
		}
	}
}

func causesBeside(t *testing.T, lines *earlyLines, first, second, moment string) {
	is := is.New(t)
	r := newLeaveRun(t)
	defer r.resume.Set()
	r.id = strings.ReplaceAll(fmt.Sprintf("%s-%s-%s", first, second, moment), " ", "-")
	among := func(cause string) bool { return first == cause || second == cause }
	timed, left := among("deadline"), among("grace over")
	if timed {
		r.fields = fmt.Sprintf("Deadline-Ms: %d\r\n", causeDeadline/clock.Millisecond)
	}
	r.k = standin.Call(r.g.addr)
	defer r.k.Close()
	finish := moments[moment](r)
	earlyCauses[first](r)
	earlyCauses[second](r)
	finish()
	a, err := r.k.Get()
	is.NoErr(err) // never a connection without an answer
	switch {
	case a.Status == 200 && a.Whole:
		is.Equal(a.Body, standin.Event(1)+standin.Event(2)+standin.Event(3))
		is.Equal(r.g.arrivals(), 1)
	case a.Status == 200:
		is.True(timed && lines.has(r.id, telemetry.BrokenOff, codes.PastDeadline) ||
			left && lines.has(r.id, telemetry.BrokenOff, codes.GraceOver))
	case a.Status == 503:
		is.True(a.Back != "")
		is.Equal(r.g.arrivals(), 0)
		is.True(strings.Contains(a.Body, `"code":`))
	case a.Status == 504:
		is.True(timed)
		is.True(lines.has(r.id, telemetry.Refused, codes.PastDeadline))
	case a.Status == 502:
		is.True(left)
		is.True(lines.has(r.id, telemetry.Refused, codes.GraceOver))
	default:
		is.Equal(a.Status, 404) // the route was gone before the request came
		is.True(among("configuration"))
		is.Equal(r.g.arrivals(), 0)
	}
}
