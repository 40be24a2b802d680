package concurrency

import (
	"spoolswitch/internal/clock"
)

type timer struct {
	at  clock.Span
	seq uint64
	fn  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	o := *t
	x := o[len(o)-1]
	o[len(o)-1] = timer{}
	*t = o[:len(o)-1]
	return x
}
