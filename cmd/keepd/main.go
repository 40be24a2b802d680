// Command keepd keeps the control state and feeds it to relays.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/boot"
	"spoolswitch/internal/clk"
	"spoolswitch/internal/ctl"
	"spoolswitch/internal/note"
	"spoolswitch/internal/spawn"
)

var version = "0.1.0"

func main() {
	app := kingpin.New("keepd", "Keeps the control state of a router fleet and feeds it to its relays. Settings are read from the file that "+boot.Env+" names.")
	app.Version(version)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, errs := boot.Load()
	if len(errs) > 0 {
		for _, err := range errs {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(2)
	}
	d, err := ctl.Start(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	done := spawn.NewMark()
	w := &boot.Watch{Path: os.Getenv(boot.Env), Take: d.Take}
	w.Run()
	spawn.Signals(done.Set, w.Look)
	for !done.Wait(clk.Minute) {
		note.Sum()
	}
	d.Stop()
	note.Sum()
}
