// Command relayd carries the traffic of clients to replicas.
package main

import (
	"spoolswitch/internal/daemon"
	"spoolswitch/internal/relay"
	"spoolswitch/internal/settings"
)

func main() {
	daemon.Main("relayd", "Carries the traffic of a router fleet.",
		func(s *settings.Settings) (daemon.Daemon, error) { return relay.Start(s) })
}
