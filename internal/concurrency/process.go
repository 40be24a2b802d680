package concurrency

import (
	"spoolswitch/internal/clock"
)

// Process is a process in a world: a steady clock of its own, and threads that
// may be ended, or held for a time.
type Process struct {
	Name string
	// PPM is how many millionths its steady clock runs fast.
	PPM int64
	// Lag bounds how late each of its threads goes on.
	Lag clock.Span
	// Quota bounds the time that its threads take.
	Quota Quota

	w       *World
	born    clock.Span
	offset  clock.Tick
	dead    bool
	frozen  bool
	held    []*thread
	threads []*thread
}

// Quota is a part of a processor: the process runs at full speed until the part of a period
// is spent, and not at all for the rest of it.
type Quota struct {
	// Share is the part, 0 for no quota.
	Share float64
	// Step is how long a thread is reckoned to run each time that it goes on.
	Step clock.Span

	period clock.Span
	spent  clock.Span
}

// quotaPeriod is the time in which a quota is spent.
const quotaPeriod = 100 * clock.Millisecond

// charge reckons one step of a thread.
func (q *Quota) charge(now clock.Span) {
	if q.Share <= 0 {
		return
	}
	if period := now / quotaPeriod; period != q.period {
		q.period, q.spent = period, 0
	}
	q.spent += q.Step
}

// throttled is how long the process has to wait until it may run again, 0 if it may now.
func (q *Quota) throttled(now clock.Span) clock.Span {
	if q.Share <= 0 || now/quotaPeriod != q.period || float64(q.spent) < q.Share*float64(quotaPeriod) {
		return 0
	}
	return (q.period+1)*quotaPeriod - now
}

// Process starts a process without a thread.
func (w *World) Process(name string) *Process {
	p := &Process{Name: name, w: w, born: w.now, offset: clock.Tick(w.rnd.Int64N(int64(clock.Millisecond))) + 1}
	w.procs = append(w.procs, p)
	return p
}

// As runs fn, which must not wait, as if a thread of the process did.
func (p *Process) As(fn func()) {
	w := p.w
	cur := w.cur
	w.cur = &thread{p: p}
	fn()
	w.cur = cur
}

// Go runs fn on a thread of the process.
func (p *Process) Go(fn func()) { p.w.start(p, fn) }

// Dead tells whether the process was ended.
func (p *Process) Dead() bool { return p.dead }

// Frozen tells whether the process stands still.
func (p *Process) Frozen() bool { return p.frozen }

// Threads counts the threads of the process.
func (p *Process) Threads() int { return len(p.threads) }

// Kill ends the process; what its threads defer reaches nobody.
func (p *Process) Kill() {
	if p.dead {
		return
	}
	p.dead = true
	p.held = nil
	w := p.w
	for i, t := range w.procs {
		if t == p {
			w.procs = append(w.procs[:i:i], w.procs[i+1:]...)
			break
		}
	}
	ready := w.ready[:0]
	for _, t := range w.ready {
		if t.p != p {
			ready = append(ready, t)
		}
	}
	w.ready = ready
	for _, t := range p.threads {
		t.gen++
		t.leave()
		if t != w.cur {
			w.reap = append(w.reap, t)
		}
	}
}

// Freeze has all threads of the process stand still.
func (p *Process) Freeze() {
	if p.dead || p.frozen {
		return
	}
	p.frozen = true
	ready := p.w.ready[:0]
	for _, t := range p.w.ready {
		if t.p == p {
			p.held = append(p.held, t)
		} else {
			ready = append(ready, t)
		}
	}
	p.w.ready = ready
}

// Thaw has the process go on.
func (p *Process) Thaw() {
	if p.dead || !p.frozen {
		return
	}
	p.frozen = false
	p.w.ready = append(p.w.ready, p.held...)
	p.held = nil
}

func (p *Process) tick(at clock.Span) clock.Tick {
	d := at - p.born
	return p.offset + clock.Tick(d) + clock.Tick(int64(d)/1_000_000*p.PPM)
}
