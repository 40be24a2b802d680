// Package telemetry keeps the counters and writes the log: counters first, lines
// only for changes of state.
package telemetry

import (
	"os"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// Count is a counter.
type Count struct{ n atomic.Int64 }

// Add adds n.
func (c *Count) Add(n int64) { c.n.Add(n) }

// Get reads the counter.
func (c *Count) Get() int64 { return c.n.Load() }

var (
	mu  sync.Mutex
	all = map[string]*Count{}
	out = log.NewWithOptions(os.Stderr, log.Options{Level: log.InfoLevel})
)

// Counter finds or makes the counter of a name.
func Counter(name string) *Count {
	mu.Lock()
	defer mu.Unlock()
	c := all[name]
	if c == nil {
		c = &Count{}
		all[name] = c
	}
	return c
}

// Pair is a name and its number.
type Pair struct {
	Name string
	N    int64
}

// Read reads all counters that moved, by name.
func Read() []Pair {
	mu.Lock()
	defer mu.Unlock()
	var ps []Pair
	for k, c := range all {
		if n := c.Get(); n != 0 {
			ps = append(ps, Pair{k, n})
		}
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].Name < ps[j].Name })
	return ps
}

// Map reads all counters that moved.
func Map() map[string]int64 {
	out := map[string]int64{}
	for _, p := range Read() {
		out[p.Name] = p.N
	}
	return out
}

// Sink takes lines in place of the log.
type Sink func(what string, kv []any)

var other atomic.Pointer[Sink]

// Use puts s in place of the log and returns the way back.
func Use(s Sink) func() {
	other.Store(&s)
	return func() { other.Store(nil) }
}

// State logs a change of state.
func State(what string, kv ...any) {
	if s := other.Load(); s != nil {
		(*s)(what, kv)
		return
	}
	out.Info(what, kv...)
}

// Trouble logs a change of state for the worse.
func Trouble(what string, kv ...any) {
	if s := other.Load(); s != nil {
		(*s)(what, kv)
		return
	}
	out.Warn(what, kv...)
}

// Sum logs the counters in one line.
func Sum() {
	var kv []any
	for _, p := range Read() {
		kv = append(kv, p.Name, p.N)
	}
	out.Info("counters", kv...)
}
