package main

import (
	"fmt"
	"os"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/sim"
)

func missed(name string) sim.Missed {
	for _, g := range sim.Guards() {
		if string(g.Guard) == name {
			return g
		}
	}
	fail(codes.New(codes.BadSimFlags, "there is no guard %s", name))
	return sim.Missed{}
}

// sighting is how soon a guard is missed.
type sighting struct {
	Guard  string
	Point  int
	Played int
	Seed   uint64
	Judges []string
}

func runGuards() int {
	exit := 0
	for _, g := range sim.Guards() {
		if *guardedOnly != "" && string(missed(*guardedOnly).Guard) != string(g.Guard) {
			continue
		}
		o := newHunter(g.Point).hunt(*guardedJobs, g.Point, *guardedFrom, *guardedSeeds, 0, false, string(g.Guard))
		s := sighting{Guard: string(g.Guard), Point: g.Point, Played: o.Played}
		for _, d := range o.Days {
			if s.Seed == 0 || d.Seed < s.Seed {
				s.Seed, s.Judges = d.Seed, nil
				for _, b := range d.Broken {
					s.Judges = append(s.Judges, b.Judge)
				}
			}
		}
		if *asJSON {
			put(os.Stdout, s)
		} else if s.Seed == 0 {
			fmt.Printf("%-9s point %d  not missed in %d days\n", s.Guard, s.Point, s.Played)
		} else {
			fmt.Printf("%-9s point %d  missed within %d days, first by seed %d: %v\n", s.Guard, s.Point, s.Played, s.Seed, s.Judges)
		}
		if s.Seed == 0 {
			exit = exitBroken
		}
	}
	return exit
}
