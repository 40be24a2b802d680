package concurrency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"spoolswitch/internal/clock"
)

const (
	forever   = clock.Span(1 << 62)
	sameSteps = 1 << 20
)

var world atomic.Pointer[World]

// World runs all threads of all processes one at a time, in an order and on a
// clock that a seed decides. While one runs, Go, Every, Mark, Turn, Mutex, the
// draws and the steady clock are its own.
type World struct {
	// Died is told when a thread panics; the world ends then.
	Died func(p *Process, what any, stack string)
	// MostThreads and MostSteps end the world when they are passed; 0 is never.
	MostThreads int
	MostSteps   uint64

	rnd    *rand.Rand
	now    clock.Span
	seq    uint64
	steps  uint64
	same   int
	timers timers
	ready  []*thread
	reap   []*thread
	cur    *thread
	root   *Process
	procs  []*Process
	live   int
	over   bool
	end    chan struct{}
}

type thread struct {
	p     *Process
	c     chan struct{}
	gen   uint64
	at    *Mark
	woken bool
}

// NewWorld makes a world out of a seed.
func NewWorld(seed uint64) *World {
	w := &World{rnd: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), end: make(chan struct{}, 1)}
	w.root = &Process{Name: "world", w: w}
	return w
}

// Run runs fn as the world's own process, and all that it starts, until fn
// returns, Stop is called, or nothing is left that could ever go on.
func (w *World) Run(fn func()) {
	back := clock.Use(w)
	world.Store(w)
	w.start(w.root, func() {
		defer w.Stop()
		fn()
	})
	w.pick()
	<-w.end
	world.Store(nil)
	back()
}

// Stop ends all threads.
func (w *World) Stop() {
	if w.over {
		return
	}
	w.over = true
	for _, p := range w.procs {
		p.Kill()
	}
	w.root.Kill()
}

// Time is the world's own time.
func (w *World) Time() clock.Span { return w.now }

// Steps counts how often a thread went on.
func (w *World) Steps() uint64 { return w.steps }

// Threads counts the threads there are.
func (w *World) Threads() int { return w.live }

// Seen is the process whose thread runs.
func (w *World) Seen() *Process {
	if w.cur == nil {
		return w.root
	}
	return w.cur.p
}

// After calls fn once d has passed. It must not wait.
func (w *World) After(d clock.Span, fn func()) {
	w.seq++
	heap.Push(&w.timers, timer{w.now + max(d, 0), w.seq, fn})
}

// Now reads the steady clock of the process whose thread runs.
func (w *World) Now() clock.Tick { return w.Seen().tick(w.now) }

// Moment is t, of the process whose thread runs, as a connection deadline.
func (w *World) Moment(t clock.Tick) clock.Moment {
	return time.Unix(0, 0).Add(w.now + t.Sub(w.Now()))
}

// Left is how long it is until a connection deadline; false if there is none.
func (w *World) Left(m clock.Moment) (clock.Span, bool) {
	if m.IsZero() {
		return 0, false
	}
	return m.Sub(time.Unix(0, 0)) - w.now, true
}

// Sleep has the thread that runs wait for d.
func (w *World) Sleep(d clock.Span) {
	w.park(max(d, 0))
}

func (w *World) spawn(fn func()) { w.start(w.Seen(), fn) }

func (w *World) start(p *Process, fn func()) {
	if p.dead || w.over {
		return
	}
	t := &thread{p: p, c: make(chan struct{}, 1)}
	p.threads = append(p.threads, t)
	w.live++
	go func() {
		<-t.c
		w.cur = t
		defer w.leave(t)
		if !p.dead {
			fn()
		}
	}()
	w.wake(t)
}

func (w *World) leave(t *thread) {
	if v := recover(); v != nil {
		if w.Died != nil {
			w.Died(t.p, v, string(debug.Stack()))
		}
		w.Stop()
	}
	w.live--
	w.cur = nil
	for i, o := range t.p.threads {
		if o == t {
			t.p.threads = append(t.p.threads[:i], t.p.threads[i+1:]...)
			break
		}
	}
	w.pick()
}

func (t *thread) leave() {
	if t.at == nil {
		return
	}
	for i, o := range t.at.line {
		if o == t {
			t.at.line = append(t.at.line[:i:i], t.at.line[i+1:]...)
			break
		}
	}
	t.at = nil
}

// wake makes a thread ready to go on.
func (w *World) wake(t *thread) {
	t.gen++
	t.leave()
	if t.p.Lag > 0 {
		w.queueAfter(t, clock.Span(w.rnd.Int64N(int64(t.p.Lag))))
		return
	}
	w.queue(t)
}

func (w *World) queue(t *thread) {
	if t.p.frozen {
		t.p.held = append(t.p.held, t)
		return
	}
	if wait := t.p.Quota.throttled(w.now); wait > 0 {
		w.queueAfter(t, wait)
		return
	}
	w.ready = append(w.ready, t)
}

// queueAfter makes a thread ready later, unless it was woken or ended meanwhile.
func (w *World) queueAfter(t *thread, d clock.Span) {
	gen := t.gen
	w.After(d, func() {
		if t.gen == gen && !t.p.dead {
			w.queue(t)
		}
	})
}

// pick hands the turn to the next thread.
func (w *World) pick() {
	w.cur = nil
	for {
		if len(w.reap) > 0 {
			t := w.reap[0]
			w.reap = w.reap[1:]
			t.c <- struct{}{}
			return
		}
		if w.over {
			w.end <- struct{}{}
			return
		}
		if len(w.ready) > 0 {
			i := w.rnd.IntN(len(w.ready))
			t := w.ready[i]
			w.ready[i] = w.ready[len(w.ready)-1]
			w.ready = w.ready[:len(w.ready)-1]
			w.steps++
			t.p.Quota.charge(w.now)
			switch w.same++; {
			case w.MostThreads > 0 && w.live > w.MostThreads:
				w.fail("too many threads")
				continue
			case w.MostSteps > 0 && w.steps > w.MostSteps:
				w.fail("too many steps")
				continue
			case w.same > sameSteps:
				w.fail("no time passes")
				continue
			}
			t.c <- struct{}{}
			return
		}
		if len(w.timers) == 0 {
			w.fail("nothing is left to do")
			continue
		}
		n := heap.Pop(&w.timers).(timer)
		if n.at > w.now {
			w.now, w.same = n.at, 0
		}
		n.fn()
	}
}

func (w *World) fail(why string) {
	if w.Died != nil {
		w.Died(w.root, why, "")
	}
	w.Stop()
}

// park has the thread that runs wait until it is woken, for d at most; it tells
// whether it was woken before that.
func (w *World) park(d clock.Span) bool {
	t := w.cur
	if t == nil {
		panic(fmt.Sprint("a timer may not wait", "\n", string(debug.Stack())))
	}
	if t.p.dead {
		runtime.Goexit()
	}
	t.woken = false
	if d < forever/2 {
		gen := t.gen
		d -= clock.Span(int64(d) / 1_000_000 * t.p.PPM)
		w.After(d, func() {
			if t.gen == gen && !t.p.dead {
				w.wake(t)
			}
		})
	}
	w.pick()
	<-t.c
	w.cur = t
	if t.p.dead {
		runtime.Goexit()
	}
	return t.woken
}

func (w *World) set(m *Mark) {
	if w.cur != nil && w.cur.p.dead {
		return
	}
	if len(m.line) == 0 {
		m.set = true
		return
	}
	t := m.line[0]
	w.wake(t)
	t.woken = true
}

func (w *World) wait(m *Mark, d clock.Span) bool {
	if m.set {
		m.set = false
		return true
	}
	if d <= 0 {
		return false
	}
	if t := w.cur; t != nil {
		m.line = append(m.line, t)
		t.at = m
	}
	return w.park(d)
}
