// Command keepd keeps the control state and feeds it to relays.
package main

import (
	"spoolswitch/internal/control"
	"spoolswitch/internal/daemon"
	"spoolswitch/internal/settings"
)

func main() {
	daemon.Main("keepd", "Keeps the control state of a router fleet and feeds it to its relays.",
		func(s *settings.Settings) (daemon.Daemon, error) { return control.Start(s) })
}
