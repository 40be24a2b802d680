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
