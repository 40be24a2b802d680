package rollout

import (
	"fmt"
	"math"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Action is what a step does.
type Action string

// The actions of steps.
const (
	// SetWeight sets the candidate's part of the requests.
	SetWeight Action = "set-weight"
	// Pause waits.
	Pause Action = "pause"
	// Analyze takes measurements, and passes once all of them were taken and no more of them
	// failed than may.
	Analyze Action = "analysis"
)

// FullWeight is the weight of a candidate that gets all requests.
const FullWeight = 100

const (
	stepsMost    = 64
	targetMost   = 128
	countMost    = 1000
	withinMost   = 30 * 24 * 3600 * clock.Second
	failuresMost = 1000
	loadedMost   = 1000000
)

// Step is one step of a rollout.
type Step struct {
	Action Action `toml:"action"`
	// Weight is the candidate's part of the requests, in percent.
	Weight int `toml:"weight"`
	// Fill says that what the bound of the exposure leaves over goes to one replica of the
	// candidate until that is full: some versions are bad only under load.
	Fill bool `toml:"fill"`
	// Until ends a pause at a part of the order's time, counted from the order on.
	Until float64 `toml:"until"`
	// For is how long a pause lasts at least, as a part of the order's time.
	For float64 `toml:"for"`
	// Loaded is how many answers that replicas of the candidate gave under load an analysis
	// needs before it takes a measurement.
	Loaded int `toml:"loaded"`
	// Count is how many measurements an analysis takes, Interval the part of the order's
	// time between two, and FailureLimit how many of them may fail.
	Count        int     `toml:"count"`
	Interval     float64 `toml:"interval"`
	FailureLimit int     `toml:"failure-limit"`
}

// String is the step in a few words.
func (s Step) String() string {
	switch s.Action {
	case SetWeight:
		if s.Fill {
			return fmt.Sprintf("setWeight %d, filling replicas", s.Weight)
		}
		return fmt.Sprintf("setWeight %d", s.Weight)
	case Pause:
		return fmt.Sprintf("pause until %g, for %g", s.Until, s.For)
	}
	return fmt.Sprintf("analysis of %d, %g apart, %d may fail", s.Count, s.Interval, s.FailureLimit)
}

// DefaultSteps are the steps of an order where the settings name none. The sample is kept
// small until half of the order's time is over, since a version may turn bad late; what is
// left is for the old replicas to finish what they have.
func DefaultSteps() []Step {
	return []Step{
		{Action: SetWeight, Weight: 3},
		{Action: Pause, Until: 0.3},
		{Action: SetWeight, Weight: 3, Fill: true},
		{Action: Pause, Until: 0.45},
		{Action: Analyze, Count: 3, Interval: 0.02, FailureLimit: 1, Loaded: 40},
		{Action: SetWeight, Weight: 30},
		{Action: Pause, For: 0.05},
		{Action: Analyze, Count: 2, Interval: 0.02, FailureLimit: 1},
		{Action: SetWeight, Weight: FullWeight},
		{Action: Pause, For: 0.18},
		{Action: Analyze, Count: 1, Interval: 0.02, FailureLimit: 1},
	}
}

// CheckSteps tells the fault of a list of steps.
func CheckSteps(steps []Step) error {
	if len(steps) == 0 || len(steps) > stepsMost {
		return codes.New(codes.BadRollout, "%d steps, not 1 to %d", len(steps), stepsMost)
	}
	weight := 0
	for i, step := range steps {
		if err := step.check(); err != nil {
			return codes.New(codes.BadRollout, "step %d: %v", i, err)
		}
		if step.Action == SetWeight {
			if step.Weight < weight {
				return codes.New(codes.BadRollout, "step %d: the weight falls from %d to %d", i, weight, step.Weight)
			}
			weight = step.Weight
		}
	}
	if weight != FullWeight {
		return codes.New(codes.BadRollout, "the last weight is %d, not %d", weight, FullWeight)
	}
	return nil
}

func (s *Step) check() error {
	isPart := func(f float64) bool { return f >= 0 && f <= 1 && !math.IsNaN(f) }
	switch {
	case s.Action != SetWeight && s.Action != Pause && s.Action != Analyze:
		return fmt.Errorf("unknown action %q", s.Action)
	case s.Weight < 0 || s.Weight > FullWeight:
		return fmt.Errorf("weight %d", s.Weight)
	case !isPart(s.Until) || !isPart(s.For) || !isPart(s.Interval):
		return fmt.Errorf("a part of the time is not from 0 to 1")
	case s.Action == Analyze && (s.Count < 1 || s.Count > countMost):
		return fmt.Errorf("count %d", s.Count)
	case s.Loaded < 0 || s.Loaded > loadedMost:
		return fmt.Errorf("loaded %d", s.Loaded)
	case s.FailureLimit < 0 || s.FailureLimit > failuresMost:
		return fmt.Errorf("failure-limit %d", s.FailureLimit)
	}
	return nil
}

// inForce is the setWeight that is in force at a step: the last one up to it.
func inForce(steps []Step, at int) Step {
	for i := min(at, len(steps)-1); i >= 0; i-- {
		if steps[i].Action == SetWeight {
			return steps[i]
		}
	}
	return Step{}
}

// Part is a part of the order's time.
func Part(within clock.Span, of float64) clock.Span { return clock.Span(float64(within) * of) }

func (o *Start) check() error {
	if err := CheckTarget(o.Target, o.Within); err != nil {
		return err
	}
	return CheckSteps(o.Steps)
}

// CheckTarget tells the fault of what an operator orders.
func CheckTarget(target ids.Software, within clock.Span) error {
	if target == "" || len(target) > targetMost {
		return codes.New(codes.BadRollout, "target-version has %d bytes, not 1 to %d", len(target), targetMost)
	}
	if within <= 0 || within > withinMost {
		return codes.New(codes.BadRollout, "within-s is %v s, not over 0 and up to %v", within.Seconds(), withinMost.Seconds())
	}
	return nil
}
