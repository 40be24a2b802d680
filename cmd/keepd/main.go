// Command keepd keeps the control state and feeds it to relays.
package main

import (
	"spoolswitch/internal/boot"
	"spoolswitch/internal/ctl"
	"spoolswitch/internal/proc"
)

func main() {
	proc.Main("keepd", "Keeps the control state of a router fleet and feeds it to its relays.",
		func(s *boot.Settings) (proc.Daemon, error) { return ctl.Start(s) })
}
