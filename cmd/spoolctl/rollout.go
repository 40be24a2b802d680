package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/operator"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/trace"
)

// watchPause is the time between two looks at a rollout that is watched.
const watchPause = 500 * time.Millisecond

// rolloutCommands adds the commands for rollouts.
func rolloutCommands(app *kingpin.Application, t *tool, limit *time.Duration) {
	commands := app.Command("rollout", "Bring a new version of a service in, and see how that goes.")
	var control []string
	var keeper, service string
	named := func(c *kingpin.CmdClause) *kingpin.CmdClause {
		c.Arg("service", "The service.").Required().StringVar(&service)
		return c
	}
	client := func() *operator.Client {
		o := &operator.Client{Limit: *limit}
		for _, a := range control {
			o.Addrs = append(o.Addrs, ids.Addr(a))
		}
		return o
	}
	addresses := func(c *kingpin.CmdClause) {
		c.Flag("control", "A control address, IP:PORT; may be given again.").Short('c').Required().StringsVar(&control)
	}
	start := named(commands.Command("start", "Order a rollout."))
	target := start.Arg("version", "The version to bring in.").Required().String()
	within := start.Flag("within", "The time within which it is to be completed or reverted.").Default("10m").Duration()
	addresses(start)
	start.Action(t.do(func() error { return t.rolloutStart(client(), service, *target, *within) }))

	status := named(commands.Command("status", "Tell how the rollout of a service stands, as an operator reads it."))
	addresses(status)
	status.Action(t.do(func() error { return t.rolloutStatus(client(), service) }))

	watch := named(commands.Command("watch", "Follow a rollout: steps, weight, what was counted on each route, and why it moved on."))
	watch.Flag("keeper", "The internal address of a keeper, IP:PORT.").Short('k').Required().StringVar(&keeper)
	watch.Action(t.do(func() error {
		return watchRollout(os.Stdout, trace.Wire, ids.Addr(keeper), ids.Service(service), *limit)
	}))
}

func (t *tool) rolloutStart(o *operator.Client, service, target string, within time.Duration) error {
	if err := rollout.CheckTarget(ids.Software(target), within); err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"service": service, "target-version": target, "within-s": within.Seconds()})
	if err != nil {
		return codes.New(codes.BadRollout, "%v", err)
	}
	if _, err := o.Call("POST", "/-/rollouts/initiate", -1, body); err != nil {
		return err
	}
	fmt.Println("0 ok")
	return nil
}

func (t *tool) rolloutStatus(o *operator.Client, service string) error {
	b, err := o.Call("GET", "/-/rollouts/"+service+"/retrieve", -1, nil)
	if err == nil {
		fmt.Println(string(b))
	}
	return err
}

// watchRollout prints each change of a rollout until it has a verdict.
func watchRollout(w io.Writer, ask trace.Ask, keeper ids.Addr, service ids.Service, timeout clock.Span) error {
	last := ""
	for {
		reports, _, err := trace.Fleet(ask, keeper, ids.Rollout(service), timeout)
		if err != nil {
			return err
		}
		r := newestRollout(reports, service)
		if r == nil {
			return codes.New(codes.NoRollout, "%s", service)
		}
		if text := rolloutText(r); text != last {
			last = text
			fmt.Fprint(w, text)
		}
		if r.Status != string(rollout.InProgress) {
			return nil
		}
		clock.Sleep(watchPause)
	}
}

// newestRollout is what the keeper tells that knows most of a service's rollout: the holder of
// the duty, which has the counts, if it is as far as the others.
func newestRollout(reports []*consensus.Report, service ids.Service) *consensus.Rollout {
	var newest *consensus.Rollout
	for _, report := range reports {
		for i := range report.Rollouts {
			r := &report.Rollouts[i]
			if r.Service == service && (newest == nil || later(r, newest)) {
				newest = r
			}
		}
	}
	return newest
}

func later(a, b *consensus.Rollout) bool {
	if a.Number != b.Number {
		return a.Number > b.Number
	}
	if ended := a.Status != string(rollout.InProgress); ended != (b.Status != string(rollout.InProgress)) {
		return ended
	}
	if a.Step != b.Step {
		return a.Step > b.Step
	}
	return len(a.Routes) > len(b.Routes)
}

func rolloutText(r *consensus.Rollout) string {
	text := fmt.Sprintf("%s to %s: %s, step %d of %d, weight %d%%, of %v; held by %s\n  why: %s\n", r.Service, r.Target, r.Status, r.Step+1, len(r.Steps), r.Weight, r.Within, r.Holder, r.Reason)
	if r.Step < len(r.Steps) {
		text += "  now: " + r.Steps[r.Step] + "\n"
	}
	for _, route := range r.Routes {
		text += fmt.Sprintf("  route %s: candidate %d answers, %d failed, %d slow, %d refused; stable %d, %d failed, %d slow\n", route.Route,
			route.Candidate, route.CandidateFailed, route.CandidateSlow, route.CandidateRefused, route.Stable, route.StableFailed, route.StableSlow)
	}
	return text
}
