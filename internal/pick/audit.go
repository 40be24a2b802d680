package pick

import (
	"spoolswitch/internal/clk"
	"spoolswitch/internal/note"
	"spoolswitch/internal/word"
)

// Promise is what the record said that a replica keeps of a prompt when it
// was chosen.
type Promise struct {
	Tokens int64
	Unread int64
	Used   clk.Tick
	At     clk.Tick
}

// Drift says that a replica no longer keeps what went unused for Horizon.
type Drift struct {
	Replica word.Replica
	Horizon clk.Span
}

type audit struct {
	pace    pace
	proof   int
	horizon clk.Span
	weights string
	told    clk.Tick
}

const (
	worthShare = 4
	plain      = 3
	proofMost  = 5
	proofBack  = 2
	shrinkMost = 8
	growShare  = 64
	tellPause  = 5 * clk.Second
)

var (
	promiseKept   = note.Counter("promise.kept")
	promiseBroken = note.Counter("promise.broken")
	driftFound    = note.Counter("drift.found")
	driftTold     = note.Counter("drift.told")
	weightsMoved  = note.Counter("drift.weights")
)

func (r *Rep) promise(c Chain, want int64, now clk.Tick) Promise {
	p := Promise{Used: now, At: now}
	for _, l := range c {
		k, ok := r.kept.get(l.Hash)
		if !ok {
			break
		}
		p.Tokens += l.Tokens
		p.Used = min(p.Used, k.used)
	}
	p.Unread = max(0, max(want, c.Tokens())-p.Tokens)
	return p
}

// Judge takes in how long after the sending an answer began. It returns what
// other relays should be told, if the record turns out to have drifted.
func (f *Fleet) Judge(r *Rep, p Promise, took clk.Span) (Drift, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ms := float64(took) / float64(clk.Millisecond)
	if r.load.Waiting > 0 || r.pend > 0 {
		return Drift{}, false
	}
	a := &r.audit
	if p.Tokens*worthShare < p.Unread {
		a.pace.see(float64(p.Unread), ms)
		return Drift{}, false
	}
	base, per, spread, ok := a.pace.line()
	lost := per * float64(p.Tokens)
	if !ok || lost < plain*spread {
		return Drift{}, false
	}
	if ms <= base+per*float64(p.Unread)+lost/2 {
		promiseKept.Add(1)
		a.proof = max(0, a.proof-proofBack)
		full := f.capacity(r.Service)
		r.kept.bound(min(full, r.kept.most+full/growShare))
		return Drift{}, false
	}
	promiseBroken.Add(1)
	if h := p.At.Sub(p.Used); a.proof == 0 || h < a.horizon {
		a.horizon = h
	}
	if a.proof++; a.proof < proofMost {
		return Drift{}, false
	}
	d := Drift{r.ID, a.horizon}
	a.proof = 0
	f.mend(r, d.Horizon)
	driftFound.Add(1)
	if a.told != 0 && clk.Since(a.told) < tellPause {
		return d, false
	}
	a.told = clk.Now()
	return d, true
}

func (f *Fleet) mend(r *Rep, h clk.Span) {
	now := clk.Now()
	for {
		k, c, ok := r.kept.oldest()
		if !ok || now.Sub(c.used) < h {
			break
		}
		r.kept.remove(k)
	}
	r.kept.bound(max(f.capacity(r.Service)/shrinkMost, r.kept.weight))
	note.State("record mended", "replica", r.ID, "unused for", h, "kept", r.kept.weight)
}

// Mend takes in what another relay found, age ago.
func (f *Fleet) Mend(d Drift, age clk.Span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reps[d.Replica]
	if r == nil || d.Horizon < 0 || age < 0 {
		return
	}
	driftTold.Add(1)
	r.audit.told = clk.Now()
	f.mend(r, d.Horizon+age)
}

// Weights takes in which weights an answer came from. What was kept for others
// is of no use.
func (f *Fleet) Weights(r *Rep, v string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v == r.audit.weights {
		return
	}
	if r.audit.weights != "" {
		weightsMoved.Add(1)
		r.kept = newLRU[part](r.kept.most)
	}
	r.audit.weights = v
}
