package relay

import (
	"maps"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/telemetry"
)

const (
	// emptyPoll is the pause between two looks at what a relay that leaves still holds.
	emptyPoll = 20 * clock.Millisecond
	// lastWords is how long requests have to write their last answer when the
	// grace period is over.
	lastWords = 100 * clock.Millisecond
	// firstRequest is how long a connection that has brought no request yet is
	// waited for after the intake.
	firstRequest = 500 * clock.Millisecond
)

// Leaving tells whether the relay is on its way out.
func (r *Relay) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// inIntake tells whether a request whose head was read at a moment is taken. The
// end of the intake is a moment on the steady clock, so that it also holds for
// what a process reads after a pause, before Leave goes on.
func (r *Relay) inIntake(begun clock.Tick) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaving || begun < r.intakeEnd
}

// finishes tells whether a request whose head was read at a moment surely ends
// before the process does: it was there before the leaving, or its deadline lies
// before the end of the grace period.
func (r *Relay) finishes(begun, deadline clock.Tick) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaving || begun < r.leftFrom || deadline <= r.graceEnd
}

// Leave ends the relay in order. It turns unready at once, and for the time
// intake it takes the requests that it can surely finish, as the platform still
// sends them here; all others are refused with the time to come back. Then idle
// connections are closed, and what was taken is finished. What is under way when
// grace has passed since the call is answered, or broken off where its answer
// has begun.
func (r *Relay) Leave(grace, intake clock.Span) {
	intake = min(intake, grace/2)
	graceEnd := r.beginLeaving(grace, intake)
	clock.Sleep(intake)
	r.endIntake()
	r.awaitEmpty(graceEnd)
	for _, n := range r.underWay() {
		n.end(codes.GraceOver)
	}
	r.awaitEmpty(clock.Now().Add(lastWords))
	for _, n := range r.underWay() {
		n.endedEarly(telemetry.BrokenOff, codes.GraceOver)
	}
}

func (r *Relay) beginLeaving(grace, intake clock.Span) (graceEnd clock.Tick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.leftFrom = clock.Now()
	r.intakeEnd = r.leftFrom.Add(intake)
	r.graceEnd = r.leftFrom.Add(grace)
	return r.graceEnd
}

func (r *Relay) endIntake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closing = true
	for k := range r.idles { // under the lock: one that has just got a request sets its own
		_ = k.conn.SetReadDeadline(clock.Past())
	}
}

// awaitEmpty waits until no connection of a client is left, or until a moment.
func (r *Relay) awaitEmpty(until clock.Tick) {
	for clock.Now() < until && r.openConnections() > 0 {
		clock.Sleep(emptyPoll)
	}
}

// underWay lists the requests that have not ended.
func (r *Relay) underWay() []*Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.running))
}
