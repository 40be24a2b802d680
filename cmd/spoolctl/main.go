// Command spoolctl checks settings and configurations, calls the fleet as an
// operator does, and follows changes through it.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/daemon"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/operator"
	"spoolswitch/internal/trace"
)

func main() {
	app := kingpin.New("spoolctl", "Checks the settings and configurations of a router fleet, calls it as an operator does, and follows changes through it.")
	app.Version(daemon.Release)
	app.HelpFlag.Short('h')
	limit := app.Flag("limit", "How long to try.").Default("5s").Duration()
	t := &tool{}

	c := app.Command("check", "Check a settings file (TOML) or a configuration (JSON); says every fault.")
	t.file = c.Arg("file", "The file.").Required().ExistingFile()
	c.Action(t.do(t.check))

	d := app.Command("diff", "Tell what stands in two configurations differently.")
	t.old = d.Arg("old", "A configuration.").Required().ExistingFile()
	t.fresh = d.Arg("new", "Another.").Required().ExistingFile()
	d.Action(t.do(t.diff))

	var control []string
	calls := func(name, help string) *kingpin.CmdClause {
		x := app.Command(name, help)
		x.Flag("control", "A control address, IP:PORT; may be given again.").Short('c').Required().StringsVar(&control)
		return x
	}
	client := func() *operator.Client {
		o := &operator.Client{Limit: *limit}
		for _, a := range control {
			o.Addrs = append(o.Addrs, ids.Addr(a))
		}
		return o
	}
	g := calls("get", "Print the configuration in force.")
	g.Action(t.do(func() error { return t.get(client()) }))
	for _, n := range []string{"replace", "modify"} {
		x := calls(n, "Send a configuration to "+n+" the one in force.")
		f := x.Arg("file", "The configuration or the change.").Required().ExistingFile()
		base := x.Flag("base", "The version that it builds on.").Required().Int64()
		x.Action(t.do(func() error { return t.send(client(), n, *f, *base) }))
	}
	for n, help := range map[string]string{"evacuate": "Send nothing more to a zone's replicas.", "return": "Take a zone back."} {
		x := calls(n, help)
		z := x.Arg("zone", "The zone.").Required().String()
		x.Action(t.do(func() error { return t.evacuate(client(), n, *z) }))
	}

	rolloutCommands(app, t, limit)

	var keeper string
	var asJSON bool
	asks := func(name, help string) *kingpin.CmdClause {
		x := app.Command(name, help)
		x.Flag("keeper", "The internal address of a keeper, IP:PORT.").Short('k').Required().StringVar(&keeper)
		x.Flag("json", "Print JSON.").BoolVar(&asJSON)
		return x
	}
	s := asks("status", "Tell how all daemons are.")
	s.Action(t.do(func() error { return t.status(trace.Wire, ids.Addr(keeper), asJSON, *limit) }))
	po := asks("pools", "Tell how replicas are divided into pools, what was counted, and the last moves.")
	po.Action(t.do(func() error { return t.pools(trace.Wire, ids.Addr(keeper), asJSON, *limit) }))
	te := asks("tenants", "Tell the limits of tenants, and who has tokens of them.")
	te.Action(t.do(func() error { return t.tenants(trace.Wire, ids.Addr(keeper), asJSON, *limit) }))
	tr := asks("trace", "Follow one change through all daemons.")
	version := tr.Flag("config-version", "A version of the configuration.").Int64()
	zone := tr.Flag("evacuation", "A zone, for its evacuation.").String()
	state := tr.Flag("state", "Which change of the evacuation: on or off.").Default("on").Enum("on", "off")
	tr.Action(t.do(func() error {
		key, label := ids.Configuration, fmt.Sprint(*version)
		switch {
		case *zone != "":
			key, label = ids.Evacuation(ids.Zone(*zone)), *state
		case *version <= 0:
			return codes.New(codes.UnknownChange, "give --config-version or --evacuation")
		}
		return t.trace(trace.Wire, ids.Addr(keeper), key, label, asJSON, min(*limit, 2*time.Second))
	}))

	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(t.exit)
}
