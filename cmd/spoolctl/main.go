// Command spoolctl checks settings and configurations and calls the fleet.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/boot"
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
)

var version = "0.1.0"

func main() {
	app := kingpin.New("spoolctl", "Checks the settings and configurations of a router fleet, and calls it.")
	app.Version(version)
	chk := app.Command("check", "Check a settings file (TOML) or a configuration (JSON); says every fault.")
	file := chk.Arg("file", "The file.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case chk.FullCommand():
		os.Exit(check(*file))
	}
}

func check(p string) int {
	b, err := os.ReadFile(p)
	if err != nil {
		fmt.Fprintln(os.Stderr, code.New(code.NoSettings, "%v", err))
		return 2
	}
	var errs []error
	if t := bytes.TrimSpace(b); len(t) > 0 && t[0] == '{' {
		_, errs = conf.Read(b)
	} else {
		_, errs = boot.Parse(b)
	}
	for _, err := range errs {
		fmt.Fprintln(os.Stderr, err)
	}
	if len(errs) > 0 {
		return 2
	}
	fmt.Println("0 ok")
	return 0
}
