// Command spoolscale measures how what daemons need grows with the fleet, on
// loopback addresses of this machine. docs/CAPACITY.md goes by its figures.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/daemon"
	"spoolswitch/internal/scale"
	"spoolswitch/internal/settings"
)

type child struct {
	cmd *exec.Cmd
	log *os.File
}

func (c *child) Stop() {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	_ = c.cmd.Wait()
	_ = c.log.Close()
}

func (c *child) read(file string) string {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", c.cmd.Process.Pid, file))
	return string(b)
}

// CPU adds up what all threads have run, to the nanosecond.
func (c *child) CPU() (d clock.Span) {
	ts, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", c.cmd.Process.Pid))
	for _, t := range ts {
		if f := strings.Fields(c.read("task/" + t.Name() + "/schedstat")); len(f) > 0 {
			n, _ := strconv.ParseInt(f[0], 10, 64)
			d += clock.Span(n)
		}
	}
	return d
}

func (c *child) Memory() int64 {
	for l := range strings.SplitSeq(c.read("status"), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "VmHWM:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

func starter(keepd, dir string) scale.Starter {
	return func(node, text string) (scale.Daemon, error) {
		p := filepath.Join(dir, node+".toml")
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(dir, node+".log"))
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(keepd)
		cmd.Env = append(os.Environ(), settings.Env+"="+p, "GOMAXPROCS=1")
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		return &child{cmd, log}, nil
	}
}

func main() {
	app := kingpin.New("spoolscale", "Measures how what daemons need grows with the fleet: real keepers, hollow relays, listed replicas, on loopback. Ends by itself.")
	app.Version(daemon.Release)
	app.HelpFlag.Short('h')
	keepd := app.Flag("keepd", "The keeper's program.").Default("target/keepd").ExistingFile()
	relays := app.Flag("relays", "How many hollow relays; the replicas are three for each.").Default("45", "90", "180", "370").Ints()
	keepers := app.Flag("keepers", "How many keepers.").Default("3").Ints()
	routes := app.Flag("routes", "How many routes.").Default("240").Int()
	changes := app.Flag("changes", "How many changes of the configuration, and of the list.").Default("8").Int()
	idle := app.Flag("idle", "How long to watch the fleet while nothing changes.").Default("5s").Duration()
	sessions := app.Flag("sessions", "How many sessions to fill a relay with, beside each size; 0 leaves that out.").Default("9000").Int()
	asJSON := app.Flag("json", "Print JSON.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	exit := 0
	for _, ks := range *keepers {
		for _, n := range *relays {
			if !one(*keepd, scale.Size{Keepers: ks, Relays: n, Replicas: 3 * n, Routes: *routes, Changes: *changes, Idle: *idle}, *asJSON) {
				exit = 1
			}
		}
	}
	if *sessions > 0 {
		for _, n := range *relays {
			for _, k := range []int{*sessions / 4, *sessions} {
				s := scale.Measure(3*n, k)
				if *asJSON {
					_ = json.NewEncoder(os.Stdout).Encode(s)
					continue
				}
				fmt.Printf("replicas %4d sessions %6d: %7.0f KB for replicas, %5.0f B a session, choice of a bound one %v, of a new one %v\n", s.Replicas, s.Sessions, s.Base/1024, s.PerSession, s.Bound, s.Fresh)
			}
		}
	}
	os.Exit(exit)
}

func one(keepd string, s scale.Size, asJSON bool) bool {
	dir, err := os.MkdirTemp("", "spoolscale")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer os.RemoveAll(dir)
	r, err := scale.Run(s, starter(keepd, dir), func(i int) string {
		p := filepath.Join(dir, fmt.Sprint("disk-", i))
		_ = os.MkdirAll(p, 0o700)
		return p
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "keepers %d relays %d: %v\n", s.Keepers, s.Relays, err)
		return false
	}
	if asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(r)
		return true
	}
	fmt.Printf("keepers %d relays %3d replicas %4d routes %d: keeper idle %.0f B/s out, %.0f B/s in, %.1f msg/s, %.2f%% of a core, %.1f MB at its peak; relay idle %.0f B/s in, snapshot %.0f B; a change %.2f items, %.0f B a relay, %.1f ms a keeper, slowest %.0f ms; a replica's change %.2f items, %.0f B a relay\n",
		s.Keepers, s.Relays, s.Replicas, s.Routes, r.IdleOut, r.IdleIn, r.IdleSent, 100*r.IdleCPU, float64(r.Memory)/(1<<20), r.RelayIdleIn, r.Snapshot, r.ChangeItems, r.ChangeIn,
		r.ChangeCPU.Seconds()*1000, r.ChangeMs, r.ListItems, r.ListIn)
	return true
}
