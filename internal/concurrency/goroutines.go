// Package concurrency starts every goroutine of the programs and holds the few
// waits that need channels, each written once.
package concurrency

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alitto/pond/v2"

	"spoolswitch/internal/clock"
)

// Go runs fn on a thread of its own.
func Go(fn func()) {
	if w := world.Load(); w != nil {
		w.spawn(fn)
		return
	}
	go fn()
}

// Pool runs tasks on a bounded number of threads.
type Pool struct{ p pond.Pool }

// NewPool makes a pool of n threads that holds at most q more tasks.
func NewPool(n, q int) *Pool {
	return &Pool{p: pond.NewPool(n, pond.WithQueueSize(q), pond.WithNonBlocking(true))}
}

// Try hands fn to the pool; false means that the pool is full.
func (p *Pool) Try(fn func()) bool {
	return p.p.Go(fn) == nil
}

// Busy is the number of tasks that run.
func (p *Pool) Busy() int { return int(p.p.RunningWorkers()) }

// Mark is set once and may be waited for.
type Mark struct {
	c    chan struct{}
	set  bool
	line []*thread
}

// NewMark makes a mark that is not set.
func NewMark() *Mark { return &Mark{c: make(chan struct{}, 1)} }

// Set sets the mark; more calls do nothing.
func (m *Mark) Set() {
	if w := world.Load(); w != nil {
		w.set(m)
		return
	}
	select {
	case m.c <- struct{}{}:
	default:
	}
}

// Wait waits until the mark is set and clears it; false after d without.
func (m *Mark) Wait(d clock.Span) bool {
	if w := world.Load(); w != nil {
		return w.wait(m, d)
	}
	select {
	case <-m.c:
		return true
	default:
	}
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-m.c:
		return true
	case <-t.C:
		return false
	}
}

// Every calls fn each d, for good, until fn returns false.
func Every(d clock.Span, fn func() bool) {
	Go(func() {
		for fn() {
			clock.Sleep(d)
		}
	})
}

// Signals calls stop at the first SIGTERM or SIGINT and hup at each SIGHUP.
func Signals(stop, hup func()) {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	Go(func() {
		for s := range c {
			if s == syscall.SIGHUP {
				hup()
				continue
			}
			Go(stop)
		}
	})
}
