// Package daemon is what the daemons' programs have in common: command line,
// settings, signals, counters.
package daemon

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/metrics"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/telemetry"
)

// Release is the release of all programs.
const Release = "0.1.0"

// settingsTaker takes changed settings in.
type settingsTaker interface {
	Take(*settings.Settings)
}

// Daemon is what a program runs.
type Daemon interface {
	settingsTaker
	Stop()
	Gauges() []metrics.Gauge
}

// Main runs a daemon until it is told to stop.
func Main(name, help string, start func(*settings.Settings) (Daemon, error)) {
	app := kingpin.New(name, help+" Settings are read from the file that "+settings.Env+" names.")
	app.Version(Release)
	app.HelpFlag.Short('h')
	pools := app.Flag("pool", "Divide replicas into prefill and decode pools, whatever the settings say.").Bool()
	endpoint := app.Flag("metrics", "Serve counters and gauges as Prometheus text at this port and path (9464/metrics).").PlaceHolder("PORT/PATH").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, errs := settings.Load()
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
	serveMetrics(*endpoint, s, name, d)
	done := concurrency.NewMark()
	w := &settings.Watch{Path: os.Getenv(settings.Env), Take: take(d)}
	w.Run()
	concurrency.Signals(done.Set, w.Look)
	for !done.Wait(clock.Minute) {
		telemetry.Sum()
	}
	d.Stop()
	telemetry.Sum()
}

// serveMetrics serves the figures of a daemon where an endpoint is given. A
// daemon that cannot serve them says so and runs without.
func serveMetrics(endpoint string, s *settings.Settings, role string, d Daemon) {
	if endpoint == "" {
		return
	}
	at, err := metrics.ParseEndpoint(endpoint)
	if err == nil {
		_, err = metrics.Serve(s.IP, at, role, d.Gauges)
	}
	if err != nil {
		telemetry.Trouble("metrics not served", "code", int(codes.Of(err)), "err", err)
	}
}

func take(d settingsTaker) func(*settings.Settings) {
	return func(s *settings.Settings) {
		Cores(s.Limits)
		d.Take(s)
	}
}
