package relay

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/routing"
)

// rolloutReporter tells the keeper that is followed what was counted for rollouts, while any
// is under way. What was counted is told at most once: a report that may have been
// lost is not told again, to this keeper or another, so that nothing counts twice.
type rolloutReporter struct {
	fleet *routing.Fleet
	tell  func(consensus.Msg) bool
	self  ids.Node
	life  uint64
	num   uint64
	told  *rollout.Report
}

func (r *rolloutReporter) start() {
	concurrency.Go(func() {
		for {
			clock.Sleep(r.report())
		}
	})
}

// report tells what was counted since the last time, and returns the pause after it.
func (r *rolloutReporter) report() clock.Span {
	counted := r.fleet.RolloutReport()
	if counted == nil {
		r.told = nil
		return rollout.IdlePause
	}
	r.num++
	if r.tell(consensus.Msg{Kind: consensus.RolloutCounts, From: r.self, Life: r.life, Num: r.num, Count: 1, Val: counted.Minus(r.told).Encode()}) {
		r.told = counted
	}
	return rollout.ReportPause
}
