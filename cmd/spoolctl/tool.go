package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/operator"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/trace"
)

type tool struct {
	file, old, fresh *string
	exit             int
}

func (t *tool) do(fn func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := fn(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			t.exit = 1
		}
		return nil
	}
}

func (t *tool) check() error {
	b, err := os.ReadFile(*t.file)
	if err != nil {
		return codes.New(codes.NoSettings, "%v", err)
	}
	var errs []error
	if x := bytes.TrimSpace(b); len(x) > 0 && x[0] == '{' {
		_, errs = configuration.Read(b)
	} else {
		_, errs = settings.Parse(b)
	}
	for _, err := range errs {
		fmt.Fprintln(os.Stderr, err)
	}
	if len(errs) > 0 {
		t.exit = 2
		return nil
	}
	fmt.Println("0 ok")
	return nil
}

func read(p string) (*configuration.Doc, error) {
	b, err := os.ReadFile(p)
	if err != nil {
		return nil, codes.New(codes.NoSettings, "%v", err)
	}
	d, errs := configuration.Read(b)
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return d, nil
}

func (t *tool) diff() error {
	a, err := read(*t.old)
	if err != nil {
		return err
	}
	b, err := read(*t.fresh)
	if err != nil {
		return err
	}
	fmt.Printf("%d -> %d\n", a.Version, b.Version)
	for _, l := range a.Diff(b) {
		fmt.Println(l)
	}
	return nil
}

func (t *tool) get(o *operator.Client) error {
	b, err := o.Call("GET", "/-/configuration/retrieve", -1, nil)
	if err == nil {
		fmt.Println(string(b))
	}
	return err
}

func (t *tool) send(o *operator.Client, how, file string, base int64) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return codes.New(codes.NoSettings, "%v", err)
	}
	if _, err := o.Call("POST", "/-/configuration/"+how, base, b); err != nil {
		return err
	}
	fmt.Println("0 ok")
	return nil
}

func (t *tool) evacuate(o *operator.Client, how, zone string) error {
	end := map[string]string{"evacuate": "/initiate", "return": "/terminate"}[how]
	if _, err := o.Call("POST", "/-/evacuation/"+zone+end, -1, nil); err != nil {
		return err
	}
	fmt.Println("0 ok")
	return nil
}

func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		fmt.Println(string(b))
	}
	return err
}

func (t *tool) trace(ask trace.Ask, keeper ids.Addr, key ids.Key, label string, asJSON bool, timeout clock.Span) error {
	r, err := trace.Change(ask, keeper, key, label, timeout)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(r)
	}
	fmt.Print(r.Text())
	return nil
}

// copies tells on how many disks of which seats a key's newest value lies.
func copies(r *consensus.Report, k ids.Key) string {
	if !k.Kept() || r.Role != "keeper" {
		return ""
	}
	return fmt.Sprintf(", on %d of %d disks %v", len(r.Copies[k]), len(r.Roster.All()), r.Copies[k])
}

// state tells how a keeper is: whether it may answer and since when, and whom
// it knows.
func state(r *consensus.Report) string {
	confirmed := "by none yet"
	if r.Confirmed >= 0 {
		confirmed = fmt.Sprintf("%d ms ago", r.Confirmed/clock.Millisecond)
	}
	if !r.Roster.Has(r.Node) {
		confirmed = "without a seat"
	}
	return fmt.Sprintf("keeper %s in %s: answers %v, voting %v, sure %v, confirmed %s, feed at %d, relays %d\n  roster %d %v %v, seeds %v, others %v\n",
		r.Node, r.Zone, r.Answers, r.Voting, r.Sure, confirmed, r.Feed, len(r.Relays), r.Roster.Num, r.Roster.Seat, r.Roster.Next, r.Seeds, r.Others)
}

func (t *tool) status(ask trace.Ask, keeper ids.Addr, asJSON bool, timeout clock.Span) error {
	rs, silent, err := trace.Fleet(ask, keeper, ids.Configuration, timeout)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(map[string]any{"daemons": rs, "silent": silent})
	}
	for _, r := range rs {
		if r.Role == "keeper" {
			fmt.Print(state(r))
			for _, k := range sorted(r.Owners) {
				fmt.Printf("  %s: lease %s%s\n", k, r.Owners[ids.Key(k)], copies(r, ids.Key(k)))
			}
		} else {
			fmt.Printf("relay %s in %s: current %v, version %d, from %s, feed at %d\n", r.Node, r.Zone, r.Sure, r.Version, r.Keeper, r.Feed)
		}
		var gs []string
		for k, v := range r.Gauges {
			gs = append(gs, fmt.Sprintf("%s=%g", k, v))
		}
		for k, v := range r.Counts {
			gs = append(gs, fmt.Sprintf("%s=%d", k, v))
		}
		for _, s := range r.Streams {
			if s.Quarantined || s.Gap {
				fmt.Printf("  replica %s of %s: quarantined %v for %v, next batch %d, oldest replayable %d\n", s.Epoch.Life, s.Epoch.Service, s.Quarantined, s.For, s.Next, s.Oldest)
			}
		}
		sort.Strings(gs)
		fmt.Println("  " + strings.Join(gs, " "))
	}
	for _, n := range silent {
		fmt.Println("silent " + n)
	}
	return nil
}

func (t *tool) pools(ask trace.Ask, keeper ids.Addr, asJSON bool, timeout clock.Span) error {
	rs, _, err := trace.Fleet(ask, keeper, ids.Plan, timeout)
	if err != nil {
		return err
	}
	plans := map[string]int{}
	var held *consensus.Report
	for _, r := range rs {
		switch {
		case r.Role == "relay":
			plans[fmt.Sprintf("%g", r.Gauges["pool.plan"])]++
		case string(r.Holder) == string(r.Node):
			held = r
		}
	}
	if asJSON {
		return printJSON(map[string]any{"holder": held, "relays": plans})
	}
	if held == nil || len(held.Pools) == 0 {
		fmt.Println("all replicas are one pool")
	} else {
		fmt.Printf("planned by %s\n", held.Node)
		for _, p := range held.Pools {
			fmt.Printf("%s: plan %d, prefill pool of %d for requests from weight %d on, share %.2f; counted %d requests, %d prompt tokens, %d output tokens\n  why: %s\n  %v\n",
				p.Service, p.Plan, len(p.Prefill), p.Heavy, p.Share, p.Requests, p.PromptTokens, p.OutTokens, p.Why, p.Prefill)
		}
		for _, m := range held.Moves {
			fmt.Println("moved " + m)
		}
	}
	var ps []string
	for p := range plans {
		ps = append(ps, p)
	}
	sort.Strings(ps)
	for _, p := range ps {
		fmt.Printf("plan %s is in force at %d relays\n", p, plans[p])
	}
	return nil
}

func sorted(m map[ids.Key]ids.Place) []string {
	var out []string
	for k := range m {
		out = append(out, string(k))
	}
	sort.Strings(out)
	return out
}
