package daemon

import (
	"runtime"

	"spoolswitch/internal/settings"
	"spoolswitch/internal/telemetry"
)

// Cores lets the process run on as many processors as its settings say, and
// returns how many; settings that say nothing leave it at what the machine shows.
func Cores(l settings.Limits) int {
	if l.Cores > 0 && l.Cores != runtime.GOMAXPROCS(0) {
		telemetry.State("processors", "cores", l.Cores, "were", runtime.GOMAXPROCS(l.Cores))
	}
	return runtime.GOMAXPROCS(0)
}
