package concurrency

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
)

func play(seed uint64) string {
	var out string
	w := NewWorld(seed)
	w.Died = func(_ *Process, v any, s string) { out += fmt.Sprint("died ", v, s) }
	w.Run(func() {
		m, end := NewMark(), NewMark()
		for i := range 5 {
			Go(func() {
				out += fmt.Sprint(i, m.Wait(clock.Span(IntN(100))*clock.Millisecond), w.Time(), " ")
				if end.Set(); i == 3 {
					m.Set()
				}
			})
		}
		for range 3 {
			end.Wait(clock.Second)
		}
		clock.Sleep(clock.Minute)
	})
	return out
}

func TestWorldRepeats(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for seed := range uint64(20) {
		a := play(seed)
		is.Equal(a, play(seed))
		seen[a] = true
	}
	is.True(len(seen) > 15)
}

func TestWorldProcesses(t *testing.T) {
	is := is.New(t)
	w := NewWorld(1)
	n, m, freed := 0, 0, false
	w.Run(func() {
		a, b := w.Process("a"), w.Process("b")
		var mu sync.Mutex
		a.Go(func() {
			mu.Lock()
			defer mu.Unlock()
			defer func() { freed = true }()
			Every(clock.Second, func() bool { n++; return true })
			NewMark().Wait(clock.Minute * 60)
		})
		b.Go(func() { Every(clock.Second, func() bool { m++; return true }) })
		clock.Sleep(10*clock.Second + clock.Millisecond)
		is.Equal([]int{n, m}, []int{11, 11})
		b.Freeze()
		clock.Sleep(10 * clock.Second)
		is.Equal([]int{n, m}, []int{21, 11})
		b.Thaw()
		a.Kill()
		clock.Sleep(10 * clock.Second)
		is.Equal([]int{n, m}, []int{21, 21})
		is.True(freed)
		is.Equal(a.Threads(), 0)
	})
}

func TestWorldEnds(t *testing.T) {
	is := is.New(t)
	var why any
	w := NewWorld(1)
	w.Died = func(_ *Process, v any, _ string) { why = v }
	w.Run(func() { panic("no") })
	is.Equal(why, "no")
	w = NewWorld(1)
	w.Died = func(_ *Process, v any, _ string) { why = v }
	w.Run(func() { NewMark().Wait(forever) })
	is.Equal(why, "nothing is left to do")
	is.Equal(w.Threads(), 0)
}

func TestMutexIsHeldAcrossWaits(t *testing.T) {
	is := is.New(t)
	most, in := 0, 0
	w := NewWorld(1)
	w.Run(func() {
		var mu Mutex
		for range 4 {
			Go(func() {
				mu.Lock()
				defer mu.Unlock()
				in++
				most = max(most, in)
				clock.Sleep(clock.Second)
				in--
			})
		}
		clock.Sleep(clock.Minute)
	})
	is.Equal([]int{most, in}, []int{1, 0})
}

// A process with a quota runs at full speed until its part of a period is spent, and not at all
// for the rest of it; others are not touched.
func TestQuota(t *testing.T) {
	is := is.New(t)
	w := NewWorld(1)
	steps := func(p *Process) *int {
		n := 0
		p.Go(func() {
			for {
				n++
				clock.Sleep(clock.Millisecond)
			}
		})
		return &n
	}
	var bound, free *int
	var inFirst int
	w.Run(func() {
		p := w.Process("bound")
		p.Quota = Quota{Share: 0.3, Step: 2 * clock.Millisecond}
		bound, free = steps(p), steps(w.Process("free"))
		clock.Sleep(50 * clock.Millisecond)
		inFirst = *bound
		clock.Sleep(10*quotaPeriod - 50*clock.Millisecond)
	})
	is.Equal(inFirst, 15) // spent within the first 15 ms, at full speed
	is.True(*bound >= 145 && *bound <= 155)
	is.True(*free > 900)
}
