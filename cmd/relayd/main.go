// Command relayd carries the traffic of clients to replicas.
package main

import (
	"spoolswitch/internal/boot"
	"spoolswitch/internal/proc"
	"spoolswitch/internal/relay"
)

func main() {
	proc.Main("relayd", "Carries the traffic of a router fleet.",
		func(s *boot.Settings) (proc.Daemon, error) { return relay.Start(s) })
}
