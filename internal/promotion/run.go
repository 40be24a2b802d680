package promotion

import (
	"fmt"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/telemetry"
)

const (
	// coveredLeast is the least part of the routers whose reports a measurement needs.
	coveredLeast = 0.5
	// routeLeast is how many answers of the stable version make a route one that needs a
	// sample of its own.
	routeLeast = 50
	// sampleMost is how many answers of the candidate are enough for a route, and
	// samplePart the part of what its weight should bring that must have come.
	sampleMost = 15
	samplePart = 0.3
	// listedLeast is the part of a weight that the candidate's listed slots must cover.
	listedLeast = 0.8
	// givenUpMost is the part of the routers that may have given the candidate up by themselves if the
	// order is to be completed.
	givenUpMost = 0.5
)

// run is how the holder of the duty takes one order through its steps. The step itself
// is in the register; what is here begins anew with each holder.
type run struct {
	service ids.Service
	number  uint64
	step    int
	// entered is when this holder first saw the step, measured when it last took a
	// measurement there; taken and failed count those.
	entered, measured clock.Tick
	// began is when the order was taken, as far as this holder knows.
	began         clock.Tick
	taken, failed int
	// unproven says that too few answers were given under load.
	unproven bool
	detector rollout.Detector
	finding  rollout.Finding
	counts   *rollout.Counts
}

// look looks at the order, and moves it on if it is time.
func (r *run) look(d *Duty, at Standing, counts *rollout.Counts, covered float64) {
	state := at.State
	now := clock.Now()
	elapsed := at.elapsed()
	if counts != nil {
		elapsed = max(elapsed, counts.Elapsed)
	}
	if began := now.Add(-elapsed); r.began == 0 || began < r.began {
		r.began = began
	}
	if r.step != state.Step {
		r.step, r.entered, r.measured, r.taken, r.failed = state.Step, now, now, 0, 0
	}
	if counts != nil {
		d.counted(r, counts)
		r.finding = r.detector.Update(counts, now)
	}
	switch {
	case r.finding.Bad:
		r.finish(d, at, rollout.Reverted, r.finding.Why)
	case r.elapsed() >= state.Within:
		r.finish(d, at, rollout.Reverted, fmt.Sprintf("not done within %v", state.Within))
	default:
		r.act(d, at, covered, now)
	}
}

// elapsed is how long ago the order was taken.
func (r *run) elapsed() clock.Span { return clock.Since(r.began) }

// act does what the step says.
func (r *run) act(d *Duty, at Standing, covered float64, now clock.Tick) {
	state := at.State
	step := state.Steps[state.Step]
	inStep := now.Sub(r.entered)
	switch step.Action {
	case rollout.SetWeight:
		r.next(d, at, fmt.Sprintf("weight %d", step.Weight))
	case rollout.Pause:
		if r.elapsed() >= rollout.Part(state.Within, step.Until) && inStep >= rollout.Part(state.Within, step.For) {
			r.next(d, at, fmt.Sprintf("paused for %v", inStep.Round(clock.Millisecond)))
		}
	case rollout.Analyze:
		r.analyze(d, at, step, covered, now)
	}
}

// analyze takes a measurement if one is due. One that cannot be taken is an error and no
// failure, and is tried again.
func (r *run) analyze(d *Duty, at Standing, step rollout.Step, covered float64, now clock.Tick) {
	if r.ends(at.State, step) {
		r.next(d, at, r.counts.Text())
		return
	}
	if now.Sub(r.measured) < rollout.Part(at.State.Within, step.Interval) {
		return
	}
	r.measured = now
	if why := r.unmeasured(at.State, covered); why != "" {
		untaken.Add(1)
		telemetry.State("rollout not measured", "service", r.service, "step", r.step, "why", why)
		return
	}
	r.taken++
	if r.finding.Suspect {
		r.failed++
	}
	switch {
	case r.failed > step.FailureLimit:
		r.finish(d, at, rollout.Reverted, fmt.Sprintf("%d of %d measurements failed: %s", r.failed, r.taken, r.finding.Why))
	case r.taken >= step.Count && !r.room(d, at):
		untaken.Add(1)
	case r.taken >= step.Count:
		r.next(d, at, fmt.Sprintf("%d measurements, %d failed; %s", r.taken, r.failed, r.counts.Text()))
	}
}

// ends tells whether it is time to complete an unproven order: its last measurements were taken
// before.
func (r *run) ends(state *rollout.State, step rollout.Step) bool {
	last := state.Step+1 >= len(state.Steps)
	return state.Unproven && last && r.counts != nil && r.taken >= step.Count && r.elapsed() >= state.CompleteAt()
}

// room tells whether the candidate's replicas can bear the weight that comes next.
func (r *run) room(d *Duty, at Standing) bool {
	weight := rollout.FullWeight
	for _, step := range at.State.Steps[at.State.Step:] {
		if step.Action == rollout.SetWeight {
			weight = step.Weight
			break
		}
	}
	return d.Listed(r.service, at.State.Target) >= listedLeast*float64(weight)/rollout.FullWeight
}

// unmeasured tells why a measurement cannot be taken; nothing if it can. It notes whether the
// candidate was seen under load.
func (r *run) unmeasured(state *rollout.State, covered float64) string {
	if covered < coveredLeast {
		return fmt.Sprintf("reports of %.2f of the routers", covered)
	}
	if r.counts == nil {
		return "no reports"
	}
	seen := int64(0)
	for name, sample := range r.counts.Samples() {
		seen += sample.Candidate
		due := samplePart * float64(state.Weight()) / rollout.FullWeight * float64(sample.Stable)
		if state.Weight() < rollout.FullWeight && sample.Stable >= routeLeast && float64(sample.Candidate) < min(sampleMost, due) {
			return fmt.Sprintf("route %s: %d answers of the candidate", name, sample.Candidate)
		}
	}
	if seen == 0 {
		return "no answers of the candidate"
	}
	r.unproven = r.counts.Loaded < int64(state.Steps[state.Step].Loaded)
	return ""
}

// next moves the order on to its next step, or completes it.
func (r *run) next(d *Duty, at Standing, why string) {
	if at.State.Step+1 >= len(at.State.Steps) {
		if at.State.Unproven && r.elapsed() < at.State.CompleteAt() {
			return
		}
		if against := r.against(d); against != "" {
			r.finish(d, at, rollout.Reverted, against)
			return
		}
		r.finish(d, at, rollout.Completed, why)
		return
	}
	c := &rollout.Command{Advance: &rollout.Advance{Number: r.number, From: at.State.Step, Elapsed: r.elapsed(), Reason: why, Unproven: r.unproven}}
	d.command(r.service, c, stepsTaken, fmt.Sprintf("step %d done", at.State.Step), why)
}

// against tells what speaks against completing the order, though nothing has shown that the candidate is
// bad: a suspicion, or that routers found it bad by themselves. Those send it nothing more, so that
// there may be few answers to judge by.
func (r *run) against(d *Duty) string {
	if r.finding.Suspect {
		return "at the end: " + r.finding.Why
	}
	routers := max(1, d.Keeper.Relays())
	if r.counts != nil && float64(r.counts.Suspended) >= givenUpMost*float64(routers) {
		return fmt.Sprintf("at the end: given up by %d of %d routers", r.counts.Suspended, routers)
	}
	return ""
}

func (r *run) finish(d *Duty, at Standing, status rollout.Status, why string) {
	done := reverted
	if status == rollout.Completed {
		done = completed
	}
	c := &rollout.Command{Finish: &rollout.Finish{Number: r.number, Status: status, Elapsed: r.elapsed(), Reason: why}}
	d.command(r.service, c, done, string(status), why)
}
