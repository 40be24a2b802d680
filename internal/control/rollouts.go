package control

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/promotion"
	"spoolswitch/internal/response"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/telemetry"
)

// repeatsInAcks is for how many times the time of an acknowledgement an order may be sent
// again: once that time by the operator, and as long for calls that are held up.
const repeatsInAcks = 2

// rolloutOrder is the body of an operator's order for a rollout.
type rolloutOrder struct {
	Service ids.Service  `json:"service"`
	Target  ids.Software `json:"target-version"`
	WithinS float64      `json:"within-s"`
}

// readRolloutOrder reads and checks the body of an order.
func readRolloutOrder(b []byte) (*rolloutOrder, error) {
	if err := configuration.Whole(b); err != nil {
		return nil, codes.New(codes.Unreadable, "%v", err)
	}
	order := &rolloutOrder{}
	if err := json.Unmarshal(b, order); err != nil {
		return nil, codes.New(codes.Unreadable, "%v", err)
	}
	if order.Service == "" {
		return nil, codes.New(codes.BadRollout, "no service")
	}
	return order, rollout.CheckTarget(order.Target, order.within())
}

// within is the time of the order; 0 if it is none that can be told.
func (o *rolloutOrder) within() clock.Span {
	if !(o.WithinS > 0 && o.WithinS < 1e9) {
		return 0
	}
	return clock.Span(o.WithinS * float64(clock.Second))
}

// initiate takes an operator's order for a rollout.
func (s *Server) initiate(x *fasthttp.RequestCtx) response.Response {
	n := length(x)
	if n > rolloutBodyMost {
		return response.Of(codes.BodyTooLarge, "").Last()
	}
	b, err := body(x)
	if err != nil {
		return response.Of(codes.Of(err), err.Error()).Last()
	}
	order, err := readRolloutOrder(b)
	if err != nil {
		return response.Of(codes.Of(err), err.Error())
	}
	if a := s.serviceKnown(order.Service); !a.OK {
		return of(a)
	}
	command := &rollout.Command{Writer: s.Keeper.Self, Start: &rollout.Start{Target: order.Target, Within: order.within(), Steps: s.rolloutSteps()}}
	return s.order(x, ids.Rollout(order.Service), &consensus.Order{Body: command.Encode()})
}

// rolloutBodyMost is the longest body that an order for a rollout may have.
const rolloutBodyMost = 64 << 10

// serviceKnown tells whether the configuration names a service. What is known here may be
// older than what was acknowledged elsewhere, so that only the newest one says no.
func (s *Server) serviceKnown(service ids.Service) consensus.Msg {
	if val, _ := s.Keeper.Sink.Value(ids.Configuration); namesService(val, service) {
		return consensus.Msg{OK: true}
	}
	a := s.Keeper.Change(ids.Configuration, &consensus.Order{Query: true}, s.deadline())
	if a.OK && !namesService(a.Val, service) {
		return consensus.Msg{Code: codes.NoService, Text: string(service)}
	}
	return a
}

func namesService(state []byte, service ids.Service) bool {
	doc := configuration.DocOf(state)
	return doc != nil && slices.ContainsFunc(doc.Services, func(s *configuration.Service) bool { return s.Name == service })
}

// retrieveRollout tells an operator how the rollout of a service stands.
func (s *Server) retrieveRollout(service ids.Service) response.Response {
	if s.stopping.Load() {
		return leaving()
	}
	a := s.Keeper.Change(ids.Rollout(service), &consensus.Order{Query: true}, s.deadline())
	if !a.OK {
		return of(a)
	}
	state, err := rollout.Decode(a.Val)
	if err != nil {
		return response.Of(codes.Of(err), "")
	}
	if state.Number == 0 {
		return response.Of(codes.NoRollout, string(service))
	}
	return response.OK(state.JSON())
}

// SetRolloutSteps changes the steps that new orders for rollouts go through.
func (s *Server) SetRolloutSteps(steps []rollout.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = steps
}

func (s *Server) rolloutSteps() []rollout.Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steps
}

// rollouts joins the duty of taking rollouts through their steps to what the feed has.
type rollouts struct {
	duty *promotion.Duty
	hub  *feed.Hub

	mu       sync.Mutex
	list     ids.Place
	replicas []discovery.Replica
	states   map[ids.Key]decodedRollout
}

// decodedRollout is a state that was decoded once for its place.
type decodedRollout struct {
	at    ids.Place
	state *rollout.State
}

func newRollouts(k *consensus.Keeper, hub *feed.Hub, repeats clock.Span) *rollouts {
	r := &rollouts{hub: hub, states: map[ids.Key]decodedRollout{}}
	r.duty = &promotion.Duty{Duty: consensus.Duty{Keeper: k, Key: ids.RolloutDuty, Value: hub.Value},
		Repeats: repeats, Standing: r.standing, Listed: r.listed, Command: func(service ids.Service, c *rollout.Command, timeout clock.Span) bool {
			return k.Change(ids.Rollout(service), &consensus.Order{Body: c.Encode()}, clock.Now().Add(timeout)).OK
		}}
	return r
}

// standing reads the rollouts that the feed has.
func (r *rollouts) standing() map[ids.Service]promotion.Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[ids.Service]promotion.Standing{}
	for key, at := range r.hub.Known() {
		service, ok := key.RolledOut()
		if !ok {
			continue
		}
		known := r.states[key]
		if known.at != at {
			val, place := r.hub.Value(key)
			state, err := rollout.Decode(val)
			if err != nil || state.Number == 0 {
				continue
			}
			known = decodedRollout{place, state}
			r.states[key] = known
			logRollout(service, state)
		}
		out[service] = promotion.Standing{State: known.state, Age: r.hub.Age(key)}
	}
	return out
}

// listed is how many slots the replicas of a version have for each slot of the others.
func (r *rollouts) listed(service ids.Service, target ids.Software) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if val, at := r.hub.Value(ids.List); at != r.list {
		if replicas, ok := discovery.Decode(val); ok {
			r.list, r.replicas = at, replicas
		}
	}
	candidates, others := 0, 0
	for _, replica := range r.replicas {
		switch {
		case replica.Service != service || !replica.InService():
		case ids.Software(replica.Version) == target:
			candidates += max(1, replica.Slots)
		default:
			others += max(1, replica.Slots)
		}
	}
	return float64(candidates) / float64(max(1, others))
}

// start has the duty done until the keeper ends; beside it calls what begins by itself when it is needed.
func (r *rollouts) start(over func() bool, beside func()) {
	concurrency.Every(promotion.StepPause, func() bool {
		r.duty.Step()
		beside()
		return !over()
	})
}

// report tells the rollouts that this keeper knows of.
func (r *rollouts) report(to *consensus.Report) {
	all := r.standing()
	for _, service := range slices.Sorted(maps.Keys(all)) {
		at := all[service]
		state := at.State
		shown := consensus.Rollout{Service: service, Number: state.Number, Target: state.Target, Status: string(state.Status), Step: state.Step,
			Weight: state.Weight(), Elapsed: state.Elapsed + at.Age, Within: state.Within, Reason: state.Reason, Holder: r.duty.Holder()}
		for _, step := range state.Steps {
			shown.Steps = append(shown.Steps, step.String())
		}
		if shown.Holder == to.Node {
			shown.Moves = r.duty.Moves()
			shown.Routes = routesOf(r.duty.Counts(service))
		}
		to.Rollouts = append(to.Rollouts, shown)
	}
}

// routesOf are counts as reports tell them.
func routesOf(c *rollout.Counts) (out []consensus.RolloutRoute) {
	if c == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		route := c.Routes[name]
		candidate := route.Total()
		out = append(out, consensus.RolloutRoute{Route: name,
			Stable: route.Stable.Requests, StableFailed: route.Stable.Failed, StableSlow: route.Stable.Slow,
			Candidate: candidate.Requests, CandidateFailed: candidate.Failed, CandidateSlow: candidate.Slow, CandidateRefused: candidate.Refused})
	}
	return out
}

// logRollout writes a line for a change of a rollout that this keeper learns of.
func logRollout(service ids.Service, state *rollout.State) {
	telemetry.State("rollout", "service", service, "order", state.Number, "target", state.Target, "status", state.Status, "step", state.Step,
		"weight", state.Weight(), "elapsed", state.Elapsed, "by", state.Writer, "why", state.Reason)
}

// repeatWindow is how long after an order one like it may be that order, sent again.
func repeatWindow(s *settings.Settings) clock.Span { return repeatsInAcks * clock.Ms(s.Bounds.AckMs) }
