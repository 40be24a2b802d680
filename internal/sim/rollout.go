package sim

import (
	"encoding/json"
	"fmt"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/promotion"
	"spoolswitch/internal/rollout"
)

const (
	// rolledService is the service whose versions change.
	rolledService  = "s"
	rolloutOrder   = "rollout"
	rolloutRead    = "rollout-read"
	rolloutWithinS = 6
	// answersEach is how many answers of the stable version a relay sees between two reports.
	answersEach = 60
	// lateEach is how many reports there are for each command that is delivered late.
	lateEach = 8
	// badEach makes each so many-th target a bad one, of whose answers failingPart fail.
	badEach     = 2
	failingPart = 0.5
)

// configures tells whether the order is about the configuration.
func (o *Order) configures() bool {
	return o.Zone == "" && o.Kind != rolloutOrder && o.Kind != rolloutRead
}

// targetOf is the version that an order is to bring in.
func targetOf(o Order) ids.Software { return ids.Software(fmt.Sprintf("v%d", o.Num)) }

// isBad tells whether a version is a bad one.
func isBad(target ids.Software) bool {
	n := 0
	_, _ = fmt.Sscanf(string(target), "v%d", &n)
	return n%badEach != 0
}

// seenRollout is how far an order was seen to have come.
type seenRollout struct {
	target ids.Software
	status rollout.Status
}

// rollouts is what the day knows of rollouts: the targets whose orders were acknowledged,
// and what was seen of each order by its number.
type rollouts struct {
	acknowledged map[ids.Software]bool
	seen         map[uint64]seenRollout
}

func (l *rollouts) ordered(o Order) {
	if l.acknowledged == nil {
		l.acknowledged = map[ids.Software]bool{}
	}
	l.acknowledged[targetOf(o)] = true
}

// see takes a state in that was committed, and judges it against those seen before.
func (l *rollouts) see(d *day, s *rollout.State) {
	if l.seen == nil {
		l.seen = map[uint64]seenRollout{}
	}
	was, known := l.seen[s.Number]
	switch {
	case known && was.target != s.Target:
		d.broke("rollout", fmt.Sprintf("order %d is to %s and to %s", s.Number, was.target, s.Target))
	case known && was.status != rollout.InProgress && s.Status != rollout.InProgress && was.status != s.Status:
		d.broke("rollout", fmt.Sprintf("order %d was %s and is %s", s.Number, was.status, s.Status))
	case s.Status == rollout.Completed && isBad(s.Target):
		d.broke("rollout", fmt.Sprintf("%s is bad and was completed", s.Target))
	}
	if !known || was.status == rollout.InProgress {
		l.seen[s.Number] = seenRollout{s.Target, s.Status}
	}
}

// fed judges what a relay is fed: it never goes back.
func (l *rollouts) fed(d *day, r *relay, val []byte) {
	s, err := rollout.Decode(val)
	if err != nil {
		d.broke("rollout", err.Error())
		return
	}
	if s.Number == 0 {
		return
	}
	l.see(d, s)
	if was := r.rolled; was != nil {
		back := s.Number < was.Number || s.Number == was.Number && (s.Step < was.Step || !was.Active() && s.Status != was.Status)
		if back {
			d.broke("rollout", fmt.Sprintf("relay %d went back from %s to %s", r.n, was.Label(), s.Label()))
		}
	}
	r.rolled = s
	d.say("in force", "relay", r.n, "rollout", s.Label(), "target", s.Target)
}

// read takes in what an operator read.
func (l *rollouts) read(d *day, body []byte) {
	var got struct {
		State  rollout.Status `json:"state"`
		Target ids.Software   `json:"target-version"`
	}
	if json.Unmarshal(body, &got) != nil || got.Target == "" {
		d.broke("rollout", "a reading is no rollout: "+string(body))
	}
	if got.State == rollout.Completed && isBad(got.Target) {
		d.broke("rollout", fmt.Sprintf("%s is bad and is read as completed", got.Target))
	}
}

// atRest judges that every order that was acknowledged is remembered: each to a version of its
// own has taken a number.
func (l *rollouts) atRest(d *day) {
	last := &rollout.State{}
	for _, m := range d.slots {
		if m.d == nil {
			continue
		}
		s, err := rollout.Decode(m.d.Keeper.Acceptor().Cell(ids.Rollout(rolledService)).Val)
		if err == nil && s.Number > last.Number {
			last = s
		}
	}
	if last.Number > 0 {
		l.see(d, last)
	}
	if orders := len(l.acknowledged); last.Number < uint64(orders) {
		d.broke("rollout", fmt.Sprintf("%d orders to versions of their own were acknowledged, the newest that is known is number %d", orders, last.Number))
	}
}

// listed are the replicas that the platform lists for rollouts: some of the first version, and
// as many of each target that is known to be ordered.
func (l *rollouts) listed() (out []discovery.Replica) {
	add := func(version ids.Software) {
		for i := range 3 {
			out = append(out, discovery.Replica{ID: ids.Replica(fmt.Sprintf("i-%s-%d", version, i)), Service: rolledService, Addr: "10.9.0.1:80", Zone: ids.Zone(zones[i]), Slots: 8, State: "in_service", Version: string(version)})
		}
	}
	add("v0")
	if last, ok := l.newest(); ok {
		add(last)
	}
	return out
}

// newest is the target of the newest order that was seen.
func (l *rollouts) newest() (target ids.Software, ok bool) {
	number := uint64(0)
	for n, s := range l.seen {
		if n > number {
			number, target, ok = n, s.target, true
		}
	}
	return target, ok
}

// lateCommand is one that a keeper sent while it had the duty, and that is delivered only now:
// a step that was taken before, or a verdict on an order that has another one.
func lateCommand(s *rollout.State) *rollout.Command {
	if s.Active() {
		return &rollout.Command{Advance: &rollout.Advance{Number: s.Number, From: max(0, s.Step-1-concurrency.IntN(2))}}
	}
	other := rollout.Completed
	if s.Status == rollout.Completed {
		other = rollout.Reverted
	}
	return &rollout.Command{Finish: &rollout.Finish{Number: s.Number, Status: other}}
}

// reportRollouts has a relay report what it would see of the order under way.
func (d *day) reportRollouts(r *relay, p *concurrency.Process) {
	var seen *rollout.Report
	reporter := &promotion.Reporter{Self: r.tail.Self, Life: concurrency.Uint64() | 1, Ask: r.askKeeper,
		Counted: func() *rollout.Report { return seen }}
	for pause := rollout.ReportPause; r.proc == p && !p.Dead(); pause = reporter.Report() {
		clock.Sleep(pause)
		s := r.rolled
		if s == nil {
			continue
		}
		if concurrency.IntN(lateEach) == 0 {
			r.tail.Tell(consensus.Msg{Kind: consensus.Change, Key: ids.Rollout(rolledService), Left: clock.Second, Order: &consensus.Order{Body: lateCommand(s).Encode()}})
		}
		if !s.Active() {
			seen = nil
			continue
		}
		counts := &rollout.Counts{Number: s.Number}
		for i := range answersEach {
			counts.See("mark", false, ids.Replica(fmt.Sprint("stable-", i)), rollout.Outcome{})
			if concurrency.IntN(100) < s.Weight() {
				failed := isBad(s.Target) && concurrency.IntN(1000) < failingPart*1000
				counts.See("mark", true, ids.Replica(fmt.Sprint("candidate-", i)), rollout.Outcome{Failed: failed})
			}
		}
		if seen != nil && seen.Services[rolledService].Number == s.Number {
			counts.Add(seen.Services[rolledService])
		}
		seen = &rollout.Report{Services: map[ids.Service]*rollout.Counts{rolledService: counts}}
	}
}

// askKeeper asks the keeper that a relay follows.
func (r *relay) askKeeper(m consensus.Msg) (consensus.Msg, promotion.Delivery) {
	answer, sent, answered := r.tail.Ask(m)
	return answer, promotion.DeliveryOf(sent, answered)
}
