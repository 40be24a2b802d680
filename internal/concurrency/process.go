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

	w       *World
	born    clock.Span
	offset  clock.Tick
	dead    bool
	frozen  bool
	held    []*thread
	threads []*thread
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
