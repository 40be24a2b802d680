// Command spoolsim plays simulated days of the control side: it hunts for
// seeds that break a rule, replays them, and makes them smaller.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/sim"
)

const (
	exitBroken = 3
	exitUsage  = 2
)

var (
	app    = kingpin.New("spoolsim", "Plays simulated days of the control side.")
	asJSON = app.Flag("json", "Print JSON, one line a result.").Bool()

	hunt      = app.Command("hunt", "Play many seeds.")
	huntPoint = hunt.Flag("point", "The mix of faults, 0 is all together.").Default("0").Int()
	huntSeeds = hunt.Flag("seeds", "How many seeds.").Default("100").Uint64()
	huntFrom  = hunt.Flag("from", "The first seed.").Default("1").Uint64()
	huntFor   = hunt.Flag("for", "Begin no more days after this time, 0 is never.").Default("0s").Duration()
	huntJobs  = hunt.Flag("jobs", "How many days at a time.").Default("2").Int()
	huntTwice = hunt.Flag("twice", "Play each seed twice and compare the histories.").Bool()

	replay      = app.Command("replay", "Play one seed again, or a plan.")
	replaySeed  = replay.Arg("seed", "The seed.").Uint64()
	replayPoint = replay.Flag("point", "The mix of faults.").Default("0").Int()
	replayPlan  = replay.Flag("plan", "Play the plan in this file.").String()
	replayOff   = replay.Flag("without", "Switch this guard off.").String()
	replayLog   = replay.Flag("log", "Print the history.").Bool()
	replayPut   = replay.Flag("write-plan", "Write the plan to this file.").String()

	list = app.Command("list", "List the mixes, the judges and the guards.")

	shrink      = app.Command("shrink", "Find a smaller plan that breaks in the same way.")
	shrinkSeed  = shrink.Arg("seed", "The seed.").Uint64()
	shrinkPoint = shrink.Flag("point", "The mix of faults.").Default("0").Int()
	shrinkPlan  = shrink.Flag("plan", "Make the plan in this file smaller.").String()
	shrinkOff   = shrink.Flag("without", "Switch this guard off.").String()
	shrinkMost  = shrink.Flag("days", "How many days to play at most.").Default("400").Int()
	shrinkPut   = shrink.Flag("write-plan", "Write the plan to this file.").String()

	guarded      = app.Command("guards", "Hunt with each guard switched off in turn.")
	guardedSeeds = guarded.Flag("seeds", "How many seeds for each.").Default("500").Uint64()
	guardedFrom  = guarded.Flag("from", "The first seed.").Default("1").Uint64()
	guardedJobs  = guarded.Flag("jobs", "How many days at a time.").Default("2").Int()
	guardedOnly  = guarded.Flag("guard", "This guard only.").String()

	part       = app.Command("part", "Play a part of a hunt.").Hidden()
	partPoint  = part.Flag("point", "").Int()
	partSeeds  = part.Flag("seeds", "").Uint64()
	partFrom   = part.Flag("from", "").Uint64()
	partStride = part.Flag("stride", "").Default("1").Uint64()
	partTwice  = part.Flag("twice", "").Bool()
	partGuard  = part.Flag("without", "").String()
)

func main() {
	app.Terminate(nil)
	cmd, err := app.Parse(os.Args[1:])
	if err != nil {
		fail(codes.New(codes.BadSimFlags, "%v", err))
	}
	if cmd == "" {
		return
	}
	switch cmd {
	case hunt.FullCommand():
		check(*huntPoint, *huntJobs, *huntSeeds)
		os.Exit(runHunt())
	case replay.FullCommand():
		check(*replayPoint, 1, 1)
		os.Exit(runReplay())
	case shrink.FullCommand():
		check(*shrinkPoint, 1, 1)
		os.Exit(runShrink())
	case guarded.FullCommand():
		check(0, *guardedJobs, *guardedSeeds)
		os.Exit(runGuards())
	case part.FullCommand():
		runPart()
	case list.FullCommand():
		runList()
	}
}

func check(point, jobs int, seeds uint64) {
	switch {
	case point < 0 || point >= sim.Points:
		fail(codes.New(codes.BadSimFlags, "there is no point %d", point))
	case jobs < 1 || jobs > 64:
		fail(codes.New(codes.BadSimFlags, "%d jobs", jobs))
	case seeds < 1:
		fail(codes.New(codes.BadSimFlags, "no seeds"))
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "spoolsim:", err)
	os.Exit(exitUsage)
}

func plan(seed uint64, point int, file string) *sim.Plan {
	if file == "" {
		return sim.Make(seed, point)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		fail(codes.New(codes.BadSimPlan, "%v", err))
	}
	p, err := sim.ReadPlan(b)
	if err != nil {
		fail(err)
	}
	return p
}

func put(w io.Writer, v any) {
	b, _ := json.Marshal(v)
	fmt.Fprintln(w, string(b))
}

func show(r *sim.Result) {
	if *asJSON {
		put(os.Stdout, r)
		return
	}
	fmt.Printf("seed %d point %d: %d faults, %d calls, %d acknowledged, %.1f s, %d steps, %d messages, digest %s\n",
		r.Seed, r.Point, r.Struck, r.Calls, r.Acked, float64(r.Virtual)/float64(clock.Second), r.Steps, r.Chunks, r.Digest)
	for _, b := range r.Broken {
		t, _, _ := strings.Cut(b.Text, "\n")
		fmt.Printf("  %.3f s %s: %s\n", float64(b.At)/float64(clock.Second), b.Judge, t)
	}
}

func broken(n int) int {
	fmt.Fprintln(os.Stderr, "spoolsim:", codes.New(codes.SimBroken, "%d", n))
	return exitBroken
}

func runReplay() int {
	p := plan(*replaySeed, *replayPoint, *replayPlan)
	if *replayOff != "" {
		p.Without = missed(*replayOff).Guard
	}
	if *replayPut != "" {
		b, _ := json.MarshalIndent(p, "", " ")
		if err := os.WriteFile(*replayPut, append(b, '\n'), 0o600); err != nil {
			fail(codes.New(codes.BadSimPlan, "%v", err))
		}
	}
	var log func(string)
	if *replayLog {
		log = func(l string) { fmt.Println(l) }
	}
	r := sim.Play(p, log)
	show(r)
	if len(r.Broken) > 0 {
		return broken(1)
	}
	return 0
}

type played struct {
	*sim.Result
	Differs bool `json:",omitempty"`
}

func runPart() {
	for i := range *partSeeds {
		seed := *partFrom + i**partStride
		if *partGuard != "" {
			r, found := sim.Alone(seed, missed(*partGuard))
			if !found {
				r.Broken = nil
			}
			put(os.Stdout, &played{Result: r})
			continue
		}
		r := &played{Result: sim.Play(sim.Make(seed, *partPoint), nil)}
		if *partTwice {
			r.Differs = sim.Play(sim.Make(seed, *partPoint), nil).Digest != r.Digest
		}
		put(os.Stdout, r)
	}
}

func runList() {
	if *asJSON {
		put(os.Stdout, map[string]any{"mixes": sim.Mixes(), "judges": sim.Judges(), "guards": sim.Guards()})
		return
	}
	for _, m := range sim.Mixes() {
		fmt.Printf("point %d  %s\n", m.Point, m.What)
	}
	fmt.Println()
	for _, j := range sim.Judges() {
		fmt.Printf("%-9s %s\n", j[0], j[1])
	}
	fmt.Println()
	for _, g := range sim.Guards() {
		fmt.Printf("%-9s point %d  %s\n", g.Guard, g.Point, g.What)
	}
}
