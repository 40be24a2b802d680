package promotion

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/telemetry"
)

// Delivery is what became of a message to a keeper.
type Delivery int

// The deliveries.
const (
	// NotSent says that there was no keeper to send it to.
	NotSent Delivery = iota
	// Unanswered says that it may have arrived.
	Unanswered
	// Answered says that it has arrived.
	Answered
)

// DeliveryOf is the delivery of a message that was sent and answered, or not.
func DeliveryOf(sent, answered bool) Delivery {
	switch {
	case !sent:
		return NotSent
	case !answered:
		return Unanswered
	}
	return Answered
}

const (
	// retellPause is the time before everything is told anew.
	retellPause = 50 * clock.Millisecond
	// erasKept bounds the eras of which is remembered what was told in them.
	erasKept = 4
)

var retold = telemetry.Counter("rollout.counts-told-anew")

// Reporter tells the keeper that a router follows what the router counted for rollouts, while any is
// under way. Counts are told as what came since the last report. A report that may have been lost is not
// told again, to this keeper or another, so that nothing counts twice. With each new holder of the duty
// an era begins, in which everything since the order is told anew: the counts of the last one may be lost with its
// holder.
type Reporter struct {
	// Counted is what was counted since the orders began; nil without an order.
	Counted func() *rollout.Report
	// Ask asks the keeper that is followed.
	Ask  func(consensus.Msg) (consensus.Msg, Delivery)
	Self ids.Node
	Life uint64

	num  uint64
	era  ids.Epoch
	told []toldIn
}

// toldIn is what was told in an era.
type toldIn struct {
	era    ids.Epoch
	report *rollout.Report
}

// Report tells what was counted since the last time, and returns the pause after it.
func (r *Reporter) Report() clock.Span {
	counted := r.Counted()
	if counted == nil {
		r.told = nil
		return rollout.IdlePause
	}
	r.num++
	answer, delivery := r.Ask(consensus.Msg{Kind: consensus.RolloutCounts, From: r.Self, Life: r.Life, Num: r.num, Count: 1,
		Epoch: r.era, Val: counted.Minus(r.toldBefore()).Encode()})
	switch {
	case delivery == NotSent:
		return rollout.ReportPause
	case delivery == Answered && answer.Code == codes.OldEpoch:
		r.era = answer.Epoch
		retold.Add(1)
		return retellPause
	}
	r.remember(counted)
	return rollout.ReportPause
}

// toldBefore is what was told in this era.
func (r *Reporter) toldBefore() *rollout.Report {
	for _, t := range r.told {
		if t.era == r.era {
			return t.report
		}
	}
	return nil
}

func (r *Reporter) remember(counted *rollout.Report) {
	for i := range r.told {
		if r.told[i].era == r.era {
			r.told[i].report = counted
			return
		}
	}
	r.told = append(r.told, toldIn{r.era, counted})
	r.told = r.told[max(0, len(r.told)-erasKept):]
}
