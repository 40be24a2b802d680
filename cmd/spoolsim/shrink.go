package main

import (
	"encoding/json"
	"fmt"
	"os"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/sim"
)

func runShrink() int {
	p := plan(*shrinkSeed, *shrinkPoint, *shrinkPlan)
	if *shrinkOff != "" {
		p.Without = missed(*shrinkOff).Guard
	}
	faults, orders := len(p.Faults), len(p.Orders)
	p, r, played := sim.Shrink(p, *shrinkMost)
	if *shrinkPut != "" {
		b, _ := json.MarshalIndent(p, "", " ")
		if err := os.WriteFile(*shrinkPut, append(b, '\n'), 0o600); err != nil {
			fail(codes.New(codes.BadSimPlan, "%v", err))
		}
	}
	show(r)
	if !*asJSON {
		fmt.Printf("%d days played: %d faults of %d, %d orders of %d\n", played, len(p.Faults), faults, len(p.Orders), orders)
		for _, f := range p.Faults {
			fmt.Printf("  %.3f s %s %v for %.3f s %s %s\n", float64(f.At)/float64(clock.Second), f.Kind, f.Nodes, float64(f.For)/float64(clock.Second), f.Way, f.Call)
		}
	}
	if len(r.Broken) > 0 {
		return broken(1)
	}
	return 0
}
