package main

import (
	"fmt"
	"io"
	"os"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/trace"
)

// tenants tells how the limits of tenants stand, as the keeper has it that grants tokens.
func (t *tool) tenants(ask trace.Ask, keeper ids.Addr, asJSON bool, timeout clock.Span) error {
	reports, _, err := trace.Fleet(ask, keeper, "", timeout)
	if err != nil {
		return err
	}
	known := knownTenants(reports)
	if asJSON {
		return printJSON(known)
	}
	printTenants(os.Stdout, known)
	return nil
}

// knownTenants is what the holder of the duty tells, or any keeper if that does not answer.
func knownTenants(reports []*consensus.Report) (known []consensus.Tenant) {
	for _, r := range reports {
		if len(r.Tenants) == 0 {
			continue
		}
		if r.Tenants[0].Holder == r.Node {
			return r.Tenants
		}
		known = r.Tenants
	}
	return known
}

// printTenants prints a line for each tenant, and one for each keeper that has tokens of it.
func printTenants(w io.Writer, known []consensus.Tenant) {
	if len(known) == 0 {
		fmt.Fprintln(w, "no tenant has a limit")
		return
	}
	fmt.Fprintf(w, "granted by %s\n", known[0].Holder)
	for _, t := range known {
		fmt.Fprintf(w, "%s: %g a second, burst %g; %.0f tokens left, %d out, %d granted, %d not to be had\n",
			t.Tenant, t.Limit.RatePerS, t.Limit.Burst, t.Level, t.Out, t.Granted, t.Dry)
		for _, l := range t.Leases {
			fmt.Fprintf(w, "  %s: %d out, %d spent, lease ends in %v\n", l.Client, l.Out, l.Spent, l.Left.Round(clock.Millisecond))
		}
	}
}
