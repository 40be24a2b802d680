package routing

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/evidence"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/telemetry"
)

// Promise is what the record said that a replica keeps of a prompt when it
// was chosen.
type Promise struct {
	Tokens int64
	Unread int64
	Used   clock.Tick
	At     clock.Tick
}

// Drift says that a replica no longer keeps what went unused for Horizon.
type Drift struct {
	Replica ids.Replica
	Horizon clock.Span
}

type audit struct {
	pace    pool.Line
	proof   int
	horizon clock.Span
	weights string
	told    clock.Tick
}

const (
	worthShare = 4
	plain      = 3
	proofMost  = 5
	proofBack  = 2
	shrinkMost = 8
	growShare  = 64
	paceKeep   = 0.98
	tellPause  = 5 * clock.Second
)

var (
	promiseKept   = telemetry.Counter("promise.kept")
	promiseBroken = telemetry.Counter("promise.broken")
	driftFound    = telemetry.Counter("drift.found")
	driftTold     = telemetry.Counter("drift.told")
	weightsMoved  = telemetry.Counter("drift.weights")
)

func (r *Rep) promise(c kvindex.Chain, want int64, now clock.Tick) Promise {
	p := Promise{At: now}
	p.Tokens, p.Used = r.view.Promise(c)
	p.Unread = max(0, max(want, c.Tokens())-p.Tokens)
	return p
}

// Sent numbers the attempt that has just been sent to r.
func (f *Fleet) Sent(r *Rep, a *Ask) { a.attempt = r.stream.Sent() }

// Read says that the answer to an attempt has begun, so that the replica has
// read the prompt and keeps it; took is how long that was after the sending,
// or less than 0 if it says nothing. It returns what other relays should be
// told, if the view turns out to have drifted.
func (f *Fleet) Read(r *Rep, a *Ask, took clock.Span) (Drift, bool) {
	t := a.attempt
	if t == nil {
		return Drift{}, false
	}
	var es []kvindex.Event
	d, tell := Drift{}, false
	if took >= 0 {
		f.mu.Lock()
		f.timed(r, a.Promise, took)
		f.mu.Unlock()
	}
	if took >= 0 && len(a.Chain) > 0 && a.Tokens > 0 {
		d, es, tell = f.judge(r, a.Promise, took)
	}
	if len(a.Chain) > 0 {
		es = append(es, kvindex.Event{Kind: kvindex.BlockStored, Grade: kvindex.Inferred, Blocks: a.Chain})
	}
	t.Settle(evidence.Read, es...)
	return d, tell
}

// Settle says what is known of an attempt that brought no answer. What was
// never sent has no attempt.
func (f *Fleet) Settle(a *Ask, o evidence.Outcome) {
	if a.attempt != nil {
		a.attempt.Settle(o)
	}
}

// judge takes in how long after the sending an answer began. It returns the
// removals that a drift means.
func (f *Fleet) judge(r *Rep, p Promise, took clock.Span) (Drift, []kvindex.Event, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ms := float64(took) / float64(clock.Millisecond)
	if r.load.Waiting > 0 || r.pend > 0 {
		return Drift{}, nil, false
	}
	a := &r.audit
	if p.Tokens*worthShare < p.Unread {
		a.pace.See(float64(p.Unread), ms, paceKeep)
		return Drift{}, nil, false
	}
	base, per, spread, ok := a.pace.Fit()
	lost := per * float64(p.Tokens)
	if !ok || lost < plain*spread {
		return Drift{}, nil, false
	}
	if ms <= base+per*float64(p.Unread)+lost/2 {
		promiseKept.Add(1)
		a.proof = max(0, a.proof-proofBack)
		full := f.capacity(r.Service)
		r.view.Bound(min(full, r.view.Capacity()+full/growShare))
		return Drift{}, nil, false
	}
	promiseBroken.Add(1)
	if h := p.At.Sub(p.Used); a.proof == 0 || h < a.horizon {
		a.horizon = h
	}
	if a.proof++; a.proof < proofMost {
		return Drift{}, nil, false
	}
	d := Drift{r.ID, a.horizon}
	a.proof = 0
	es := f.mend(r, d.Horizon)
	driftFound.Add(1)
	if a.told != 0 && clock.Since(a.told) < tellPause {
		return d, es, false
	}
	a.told = clock.Now()
	return d, es, true
}

func (f *Fleet) mend(r *Rep, h clock.Span) []kvindex.Event {
	old := r.view.Unused(h)
	var n int64
	for _, b := range old {
		n += b.Tokens
	}
	r.view.Bound(max(f.capacity(r.Service)/shrinkMost, r.view.Tokens()-n))
	telemetry.State("view mended", "replica", r.ID, "unused for", h, "removed", len(old))
	if len(old) == 0 {
		return nil
	}
	return []kvindex.Event{{Kind: kvindex.BlockRemoved, Grade: kvindex.Inferred, Blocks: old}}
}

// Mend takes in what another relay found, age ago.
func (f *Fleet) Mend(d Drift, age clock.Span) {
	f.mu.Lock()
	r := f.reps[d.Replica]
	if r == nil || d.Horizon < 0 || age < 0 {
		f.mu.Unlock()
		return
	}
	driftTold.Add(1)
	r.audit.told = clock.Now()
	es := f.mend(r, d.Horizon+age)
	f.mu.Unlock()
	r.stream.Tell(es...)
}

// Weights takes in which weights an answer came from. What was kept for others
// is of no use.
func (f *Fleet) Weights(r *Rep, a *Ask, v string) {
	f.mu.Lock()
	old := r.audit.weights
	r.audit.weights = v
	f.mu.Unlock()
	if old == "" || v == old {
		return
	}
	weightsMoved.Add(1)
	e := kvindex.Event{Kind: kvindex.AllBlocksCleared, Grade: kvindex.Inferred}
	if a != nil && a.attempt != nil {
		a.attempt.Add(e)
		return
	}
	r.stream.Tell(e)
}
