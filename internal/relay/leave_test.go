package relay

import (
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/standin"
)

// leaveRun is one request that is interrupted at a moment, then goes on.
type leaveRun struct {
	g *rig
	k *standin.Client
	// reached and resume are set by the replica's end and by the test, held once the
	// relay has looked for news and had none. Each stays set.
	reached, held, resume *concurrency.Mark
	known                 bool
	// id and fields are the request's, if other than those of leaveRequest.
	id, fields string
}

// newLeaveRun starts a relay before a replica that streams; the relay knows the
// fleet while known is set.
func newLeaveRun(t *testing.T) *leaveRun {
	r := &leaveRun{g: newRig(t, standin.Stream(3, 0)), reached: concurrency.NewMark(), held: concurrency.NewMark(), resume: concurrency.NewMark(), known: true}
	r.g.patient()
	r.g.r.Current = func() bool {
		r.g.r.mu.Lock()
		defer r.g.r.mu.Unlock()
		if !r.known {
			r.held.Set()
		}
		return r.known
	}
	return r
}

// request is the head of the request.
func (r *leaveRun) request() string {
	s := leaveRequest
	if r.id != "" {
		s = strings.Replace(s, "Attempt-Id: a", "Attempt-Id: "+r.id, 1)
	}
	return strings.Replace(s, "Content-Length", r.fields+"Content-Length", 1)
}

const leaveRequest = "POST /resume/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\n"

// moments bring a request to a point and return what lets it go on.
var moments = map[string]func(r *leaveRun) (finish func()){
	"half of the head": func(r *leaveRun) func() {
		until(r.g.t, "the connection", func() bool { return r.g.r.resting() == 1 })
		r.k.Put(r.request()[:30])
		until(r.g.t, "the head's begin", func() bool { return r.g.r.resting() == 0 })
		return func() { r.k.Put(r.request()[30:] + "body") }
	},
	"half of the body": func(r *leaveRun) func() {
		r.k.Put(r.request() + "bo")
		until(r.g.t, "the head", r.g.r.reading)
		return func() { r.k.Put("dy") }
	},
	"held before the first news": func(r *leaveRun) func() {
		r.g.r.mu.Lock()
		r.known = false
		r.g.r.mu.Unlock()
		r.g.holdForNews()
		r.k.Put(r.request() + "body")
		if !r.held.Wait(20 * clock.Second) {
			r.g.t.Fatal("the request was not held")
		}
		return func() {
			r.g.r.mu.Lock()
			r.known = true
			r.g.r.mu.Unlock()
		}
	},
	"sent":        pausedAt(0),
	"first piece": pausedAt(1),
	"last piece":  pausedAt(3),
}

// pausedAt has the replica stop after a number of its three events.
func pausedAt(events int) func(r *leaveRun) func() {
	return func(r *leaveRun) func() {
		r.g.reps[0].Set(func(w net.Conn, g standin.Got) bool {
			write := func(s string) { _, _ = w.Write([]byte(s)) }
			piece := func(s string) { write(strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n") }
			for i := 0; i <= 3; i++ {
				if i == events {
					r.reached.Set()
					r.resume.Wait(10 * clock.Second)
				}
				if i == 0 {
					write("HTTP/1.1 200 OK\r\nAttempt-Id: " + g.ID + "\r\n" + standin.Seal + "Transfer-Encoding: chunked\r\n\r\n")
				}
				if i < 3 {
					piece(standin.Event(i + 1))
				}
			}
			write("0\r\n\r\n")
			return true
		})
		r.k.Put(r.request() + "body")
		if !r.reached.Wait(10 * clock.Second) {
			r.g.t.Fatal("the replica was not reached")
		}
		return r.resume.Set
	}
}

// leavings are the points that a relay's leaving may have reached when the
// request goes on; each tells whether requests are still taken there.
var leavings = map[string]struct {
	take bool
	to   func(r *Relay)
}{
	"unready": {true, func(r *Relay) {
		concurrency.Go(func() { r.Leave(40*clock.Second, 20*clock.Second) })
	}},
	"intake over": {false, func(r *Relay) {
		r.mu.Lock()
		r.leaving, r.leftFrom, r.intakeEnd, r.graceEnd = true, clock.Now(), clock.Now(), clock.Now().Add(20*clock.Second)
		r.mu.Unlock()
	}},
	"closing": {false, func(r *Relay) {
		concurrency.Go(func() { r.Leave(20*clock.Second, 0) })
	}},
}

// resting is how many connections of clients wait for a request.
func (r *Relay) resting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.idles)
}

// LOST: whatever a request has reached when its relay leaves, and whatever the
// leaving has reached: what was taken gets its whole answer, what comes when the
// intake is over is refused with the time to come back, and no replica sees it.
func TestEachMomentOfLeaving(t *testing.T) {
	for moment, bring := range moments {
		for stage, leaving := range leavings {
			t.Run(moment+", "+stage, func(t *testing.T) {
				is := is.New(t)
				r := newLeaveRun(t)
				r.k = standin.Call(r.g.addr)
				defer r.k.Close()
				finish := bring(r)
				leaving.to(r.g.r)
				until(t, stage, func() bool { return r.g.r.Leaving() && (stage != "closing" || r.g.r.closed()) })
				finish()
				a, err := r.k.Get()
				is.NoErr(err)
				is.True(a.Whole)
				if moment == "half of the head" && !leaving.take {
					is.Equal(a.Status, 503)
					is.True(a.Back != "")
					is.True(strings.Contains(a.Body, "212"))
					is.Equal(r.g.arrivals(), 0)
				} else {
					is.Equal(a.Status, 200)
					is.Equal(a.Body, standin.Event(1)+standin.Event(2)+standin.Event(3))
					is.Equal(r.g.arrivals(), 1)
				}
				is.True(a.Close || moment == "first piece" || moment == "last piece") // its head was out
				is.True(!r.k.More())
			})
		}
	}
}

// A request that reaches a process late, after a pause in which the intake
// ended, is refused although Leave has not gone on yet.
func TestIntakeEndsOnTheClock(t *testing.T) {
	is := is.New(t)
	sim := &clock.Sim{}
	t.Cleanup(sim.Use())
	r := NewRelay(&View{}, nil, 1, 1, 1)
	is.True(r.inIntake(clock.Now()))
	r.leaving, r.intakeEnd = true, clock.Now().Add(2*clock.Second)
	is.True(r.inIntake(clock.Now()))
	sim.Move(2 * clock.Second)
	is.True(!r.inIntake(clock.Now()))
}

// A settings change does not touch what runs, nor what rests.
func TestSettingsChangeCutsNothing(t *testing.T) {
	is := is.New(t)
	r := &leaveRun{g: newRig(t, standin.Well), reached: concurrency.NewMark(), resume: concurrency.NewMark()}
	r.k = standin.Call(r.g.addr)
	defer r.k.Close()
	finish := pausedAt(1)(r)
	r.g.configure(2)
	r.g.configure(3)
	finish()
	a, err := r.k.Get()
	is.NoErr(err)
	is.Equal(a.Status, 200)
	is.True(a.Whole)
	is.True(!a.Close)
	a, err = r.k.Ask(host, "/safe/", "b", "")
	is.NoErr(err)
	is.Equal(a.ID, "b")
}

// BUDGET: a replica is always told how much time is left, also where the client
// does not say how long it waits.
func TestDeadlineAlwaysPassedOn(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	for id, fields := range map[string][]string{"none": nil, "own": {"Deadline-Ms: 900"}} {
		_, err := g.ask("/safe/", id, fields...)
		is.NoErr(err)
	}
	most := map[string]int{"none": 3000, "own": 900}
	for _, got := range g.reps[0].Got() {
		ms, err := strconv.Atoi(got.Deadline)
		is.NoErr(err)
		is.True(ms > 0)
		is.True(ms <= most[got.ID])
	}
	is.Equal(g.arrivals(), 2)
}
