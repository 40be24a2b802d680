package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sort"
	"strconv"
	"sync"
	"syscall"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
)

// outcome sums a hunt up.
type outcome struct {
	Point   int
	Played  int
	Broken  []uint64
	Differ  []uint64
	Judges  map[string]int
	Days    []played `json:"-"`
	Crashed int
	Faults  int
	Acked   int
	Seconds float64
}

type hunter struct {
	mu    sync.Mutex
	out   outcome
	live  bool
	begun clock.Tick
}

func isTerminal() bool {
	s, err := os.Stderr.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}

func (h *hunter) take(p played) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := &h.out
	o.Played++
	o.Faults += p.Struck
	o.Acked += p.Acked
	if p.Differs {
		o.Differ = append(o.Differ, p.Seed)
	}
	if len(p.Broken) > 0 {
		o.Broken = append(o.Broken, p.Seed)
		o.Days = append(o.Days, p)
		for _, b := range p.Broken {
			o.Judges[b.Judge]++
		}
	}
	if h.live {
		fmt.Fprintf(os.Stderr, "\r%d played, %d broken, %.0f s ", o.Played, len(o.Broken), clock.Since(h.begun).Seconds())
	}
}

func (h *hunter) found() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.out.Broken) > 0
}

// strided plays every jobs-th seed in a process of its own.
func (h *hunter) strided(self string, job, jobs int, point int, from, seeds uint64, till clock.Span, twice bool, without string) {
	n := seeds / uint64(jobs)
	if uint64(job) < seeds%uint64(jobs) {
		n++
	}
	if n == 0 {
		return
	}
	args := []string{"part", "--point", strconv.Itoa(point), "--from", strconv.FormatUint(from+uint64(job), 10),
		"--stride", strconv.Itoa(jobs), "--seeds", strconv.FormatUint(n, 10)}
	if twice {
		args = append(args, "--twice")
	}
	if without != "" {
		args = append(args, "--without", without)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fail(codes.New(codes.BadSimFlags, "%v", err))
	}
	sc := bufio.NewScanner(out)
	sc.Buffer(nil, 8<<20)
	got := uint64(0)
	stopped := false
	for sc.Scan() {
		var p played
		if json.Unmarshal(sc.Bytes(), &p) == nil {
			got++
			h.take(p)
		}
		if (till > 0 && clock.Since(h.begun) > till || without != "" && h.found()) && got < n {
			stopped = true
			_ = cmd.Process.Kill()
			break
		}
	}
	_ = cmd.Wait()
	if got < n && !stopped {
		h.mu.Lock()
		h.out.Crashed++
		h.out.Broken = append(h.out.Broken, from+uint64(job)+got*uint64(jobs))
		h.mu.Unlock()
	}
}

func newHunter(point int) *hunter {
	return &hunter{live: isTerminal(), begun: clock.Now(), out: outcome{Point: point, Judges: map[string]int{}}}
}

// hunt plays many seeds at a time.
func (h *hunter) hunt(jobs, point int, from, seeds uint64, till clock.Span, twice bool, without string) *outcome {
	self, err := os.Executable()
	if err != nil {
		fail(codes.New(codes.BadSimFlags, "%v", err))
	}
	var left sync.WaitGroup
	for j := range jobs {
		left.Add(1)
		concurrency.Go(func() {
			defer left.Done()
			h.strided(self, j, jobs, point, from, seeds, till, twice, without)
		})
	}
	left.Wait()
	if h.live {
		fmt.Fprintln(os.Stderr)
	}
	slices.Sort(h.out.Broken)
	h.out.Seconds = clock.Since(h.begun).Seconds()
	return &h.out
}

func runHunt() int {
	o := newHunter(*huntPoint).hunt(*huntJobs, *huntPoint, *huntFrom, *huntSeeds, *huntFor, *huntTwice, "")
	sort.Slice(o.Days, func(i, j int) bool { return o.Days[i].Seed < o.Days[j].Seed })
	for _, d := range o.Days {
		show(d.Result)
	}
	if *asJSON {
		put(os.Stdout, o)
	} else {
		fmt.Printf("point %d: %d played in %.0f s, %d broken %v, %d crashed, %d faults, %d acknowledged", o.Point, o.Played, o.Seconds, len(o.Broken), o.Judges, o.Crashed, o.Faults, o.Acked)
		if *huntTwice {
			fmt.Printf(", %d differ on replay %v", len(o.Differ), o.Differ)
		}
		fmt.Println()
	}
	if n := len(o.Broken) + len(o.Differ); n > 0 {
		return broken(n)
	}
	return 0
}
