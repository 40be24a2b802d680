package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
)

// A rollout is watched until its verdict; each change is printed once, with the counts of the
// keeper that has them.
func TestWatchRollout(t *testing.T) {
	is := is.New(t)
	asked := 0
	states := []consensus.Rollout{
		{Service: "s", Number: 1, Target: "v2", Status: "in_progress", Step: 0, Steps: []string{"setWeight 3", "pause"}, Weight: 3, Reason: "ordered"},
		{Service: "s", Number: 1, Target: "v2", Status: "in_progress", Step: 1, Steps: []string{"setWeight 3", "pause"}, Weight: 3, Reason: "weight 3",
			Routes: []consensus.RolloutRoute{{Route: "r", Candidate: 7, CandidateFailed: 4}}},
		{Service: "s", Number: 1, Target: "v2", Status: "reverted", Step: 1, Steps: []string{"setWeight 3", "pause"}, Reason: "route r: failed"},
	}
	ask := func(ids.Addr, ids.Key, clock.Span) (*consensus.Report, error) {
		older, now := states[max(0, asked-1)], states[min(asked, 2)]
		asked++
		return &consensus.Report{Role: "keeper", Rollouts: []consensus.Rollout{older, now, {Service: "t"}}}, nil
	}
	var out bytes.Buffer
	is.NoErr(watchRollout(&out, ask, "127.0.0.1:1", "s", clock.Second))
	for _, want := range []string{"weight 3%", "candidate 7 answers, 4 failed", "reverted", "why: route r: failed"} {
		is.True(strings.Contains(out.String(), want))
	}
	is.Equal(strings.Count(out.String(), "why: ordered"), 1)
	is.Equal(codes.Of(watchRollout(&out, ask, "127.0.0.1:1", "none", clock.Second)), codes.NoRollout)
}
