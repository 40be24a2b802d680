// Package rollout moves the traffic of a service to replicas of a new version, the
// candidate, step by step beside the stable ones, and back as soon as measurements
// show that the candidate is bad.
//
// The state of a service's rollout is the value of a register that stands on a majority
// of disks. Invariants: an order that is under way goes through its steps in
// order and never back; a verdict is final for its order; numbers of orders only rise.
package rollout

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
)

// Status is how far an order has come.
type Status string

// The statuses, as operators read them.
const (
	InProgress Status = "in_progress"
	Completed  Status = "completed"
	Reverted   Status = "reverted"
)

// rejectedKept bounds the versions that are remembered as bad.
const rejectedKept = 16

// State is the value of a rollout's register.
type State struct {
	// Number counts the orders of the service.
	Number uint64
	Target ids.Software
	// Within is the time that the operator gave from the order on.
	Within clock.Span
	Status Status
	// Steps are the steps of this order, fixed when it was taken, and Step is the one
	// that it stands at.
	Steps []Step
	Step  int
	// Unproven says that no replica of the candidate could be brought under load. Its part
	// stays small then until the order is to be completed, at the end of its time, so that even a
	// bad one does not get more than the bound of the exposure.
	Unproven bool
	// Elapsed is how long after the order this value was written, as far as its writer
	// knew, and Writer the keeper that wrote it.
	Elapsed clock.Span
	Writer  ids.Node
	// Reason says why the last step was taken.
	Reason string
	// Rejected are the targets of earlier orders that were reverted, oldest first.
	Rejected []ids.Software
	// Promoted is the target of the last order that was completed.
	Promoted ids.Software
	// RepeatsOver says that this order was reverted so long ago that it is not sent again: one
	// like it is a new order.
	RepeatsOver bool
}

// Decode reads a state; no bytes are the state before the first order.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if len(b) == 0 {
		return s, nil
	}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(s); err != nil {
		return nil, codes.New(codes.DiskCorrupt, "%v", err)
	}
	return s, nil
}

// Encode is the state as bytes.
func (s *State) Encode() []byte { return encode(s) }

func encode(v any) []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(v) != nil {
		return nil
	}
	return b.Bytes()
}

// Active tells whether an order is under way.
func (s *State) Active() bool { return s.Status == InProgress }

// AwaitsRepeats tells whether the order was reverted and may still be sent again.
func (s *State) AwaitsRepeats() bool { return s.Status == Reverted && !s.RepeatsOver }

// Weight is the part of the service's requests that the candidate gets, in percent.
func (s *State) Weight() int {
	switch s.Status {
	case InProgress:
		weight := inForce(s.Steps, s.Step).Weight
		if s.Unproven {
			return min(weight, unprovenWeight)
		}
		return weight
	case Completed:
		return FullWeight
	}
	return 0
}

const (
	// unprovenWeight is the part of the requests that an unproven candidate goes on to get, in percent.
	unprovenWeight = 1
	// An unproven order is completed lastPart of its time before its term, and lastLeast at least: the
	// operator has to read that before it.
	lastPart  = 0.04
	lastLeast = 750 * clock.Millisecond
)

// CompleteAt is how long after the order an unproven one is completed.
func (s *State) CompleteAt() clock.Span {
	return s.Within - max(lastLeast, Part(s.Within, lastPart))
}

// Fills tells whether the candidate's part goes to as few of its replicas as can bear it.
func (s *State) Fills() bool { return s.Active() && inForce(s.Steps, s.Step).Fill }

// IsRejected tells whether a version is the target of an order that was reverted, and
// of none since.
func (s *State) IsRejected(v ids.Software) bool {
	if s.Status == Reverted && v == s.Target {
		return true
	}
	return v != s.Target && v != s.Promoted && slices.Contains(s.Rejected, v)
}

// Label names the state for traces: number, status and step.
func (s *State) Label() string { return fmt.Sprintf("%d %s %d", s.Number, s.Status, s.Step) }

type shown struct {
	State  Status       `json:"state"`
	Target ids.Software `json:"target-version"`
	Step   int          `json:"step"`
	Steps  int          `json:"steps"`
	Weight int          `json:"weight"`
	Reason string       `json:"reason,omitempty"`
}

// JSON is the state as an operator reads it.
func (s *State) JSON() []byte {
	b, err := json.Marshal(shown{s.Status, s.Target, s.Step, len(s.Steps), s.Weight(), s.Reason})
	if err != nil {
		return nil
	}
	return b
}

// Start is an operator's order.
type Start struct {
	Target ids.Software
	Within clock.Span
	// Steps are those that a new order goes through.
	Steps []Step
}

// Advance moves an order on by one step.
type Advance struct {
	Number  uint64
	From    int
	Elapsed clock.Span
	Reason  string
	// Unproven says that no replica of the candidate could be brought under load.
	Unproven bool
}

// Finish is the verdict on an order.
type Finish struct {
	Number  uint64
	Status  Status
	Elapsed clock.Span
	Reason  string
}

// EndRepeats says that an order was reverted so long ago that it is not sent again.
type EndRepeats struct {
	Number uint64
}

// Command is a change of a rollout's register; one of the pointers is set.
type Command struct {
	Start      *Start
	Advance    *Advance
	Finish     *Finish
	EndRepeats *EndRepeats
	Writer     ids.Node
}

// Age is what a keeper knows of the age of a state.
type Age struct {
	// Standing is how long the state has stood at least.
	Standing clock.Span
	// Exact says that the keeper was there when the state was written, so that it has stood for
	// no longer.
	Exact bool
	// Repeats is how long after an order it may be sent again.
	Repeats clock.Span
}

// sinceOrder is how long ago the order of a state was taken at least.
func (a Age) sinceOrder(s *State) clock.Span { return s.Elapsed + a.Standing }

// Over tells whether the order of a state is surely not sent again any more.
func (a Age) Over(s *State) bool { return a.sinceOrder(s) >= a.Repeats }

// Encode is the command as bytes.
func (c *Command) Encode() []byte { return encode(c) }

// DecodeCommand reads a command.
func DecodeCommand(b []byte) (*Command, error) {
	c := &Command{}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(c); err != nil {
		return nil, codes.New(codes.BadRollout, "%v", err)
	}
	return c, nil
}

// Apply makes the next state out of s, or tells why there is none. A nil state without
// an error says that the command changes nothing: it was taken before, or is
// overtaken.
func (s *State) Apply(c *Command, age Age) (*State, error) {
	switch {
	case c.Start != nil:
		return s.start(c.Start, c.Writer, age)
	case c.Advance != nil:
		return s.advance(c.Advance, c.Writer), nil
	case c.Finish != nil:
		return s.finish(c.Finish, c.Writer), nil
	case c.EndRepeats != nil:
		return s.endRepeats(c.EndRepeats, c.Writer), nil
	}
	return nil, codes.New(codes.BadRollout, "an empty command")
}

func (s *State) start(o *Start, writer ids.Node, age Age) (*State, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	switch {
	case s.Active() && o.Target == s.Target:
		return nil, nil
	case s.Active():
		return nil, codes.New(codes.RolloutUnderWay, "to %s", s.Target)
	case s.Status == Completed && o.Target == s.Target:
		return nil, nil
	case s.AwaitsRepeats() && o.Target == s.Target && !age.Over(s):
		return nil, age.repeated()
	}
	next := &State{Number: s.Number + 1, Target: o.Target, Within: o.Within, Status: InProgress, Steps: o.Steps,
		Writer: writer, Reason: "ordered", Rejected: slices.Clone(s.Rejected), Promoted: s.Promoted}
	next.Rejected = slices.DeleteFunc(next.Rejected, func(v ids.Software) bool { return v == o.Target })
	return next, nil
}

// repeated tells why an order like the last one, which may be sent again, cannot be acknowledged
// as that one; nil if it can.
func (a Age) repeated() error {
	if a.Exact {
		return nil
	}
	return codes.New(codes.MayBeRepeat, "reverted %v ago at least", a.Standing.Round(clock.Millisecond))
}

// endRepeats notes that the order that stands is not sent again.
func (s *State) endRepeats(e *EndRepeats, writer ids.Node) *State {
	if s.Number != e.Number || !s.AwaitsRepeats() {
		return nil
	}
	next := *s
	next.RepeatsOver, next.Writer = true, writer
	return &next
}

func (s *State) advance(a *Advance, writer ids.Node) *State {
	stale := s.Number != a.Number || !s.Active() || s.Step != a.From
	if stale && !guards.Off(guards.Steps) || a.From+1 >= len(s.Steps) {
		return nil
	}
	next := *s
	next.Step, next.Elapsed, next.Reason, next.Writer = a.From+1, max(s.Elapsed, a.Elapsed), a.Reason, writer
	next.Unproven = s.Unproven || a.Unproven
	return &next
}

func (s *State) finish(f *Finish, writer ids.Node) *State {
	stale := s.Number != f.Number || !s.Active()
	if stale && !guards.Off(guards.Verdict) || f.Status != Completed && f.Status != Reverted {
		return nil
	}
	next := *s
	next.Status, next.Elapsed, next.Reason, next.Writer = f.Status, max(s.Elapsed, f.Elapsed), f.Reason, writer
	if f.Status == Completed {
		next.Promoted = s.Target
		return &next
	}
	next.Rejected = append(slices.Clone(s.Rejected), s.Target)
	if over := len(next.Rejected) - rejectedKept; over > 0 {
		next.Rejected = next.Rejected[over:]
	}
	return &next
}
