// Package proc is what the daemons' programs have in common: command line,
// settings, signals, counters.
package proc

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/boot"
	"spoolswitch/internal/clk"
	"spoolswitch/internal/note"
	"spoolswitch/internal/spawn"
)

// Release is the release of all programs.
const Release = "0.1.0"

// Daemon is what a program runs.
type Daemon interface {
	Take(*boot.Settings)
	Stop()
}

// Main runs a daemon until it is told to stop.
func Main(name, help string, start func(*boot.Settings) (Daemon, error)) {
	app := kingpin.New(name, help+" Settings are read from the file that "+boot.Env+" names.")
	app.Version(Release)
	app.HelpFlag.Short('h')
	pools := app.Flag("pool", "Divide replicas into prefill and decode pools, whatever the settings say.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, errs := boot.Load()
	if len(errs) > 0 {
		for _, err := range errs {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(2)
	}
	s.Pool.Enabled = s.Pool.Enabled || *pools
	Cores(s.Limits)
	d, err := start(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	done := spawn.NewMark()
	w := &boot.Watch{Path: os.Getenv(boot.Env), Take: take(d)}
	w.Run()
	spawn.Signals(done.Set, w.Look)
	for !done.Wait(clk.Minute) {
		note.Sum()
	}
	d.Stop()
	note.Sum()
}

func take(d Daemon) func(*boot.Settings) {
	return func(s *boot.Settings) {
		Cores(s.Limits)
		d.Take(s)
	}
}
