// Package interleave runs a few threads of steps in every order that there is.
package interleave

import "testing"

// Thread is one thread; each call takes a step and tells whether more follow.
type Thread func() (more bool)

// Steps makes a thread out of single steps.
func Steps(fs ...func()) Thread {
	i := 0
	return func() bool {
		if i < len(fs) {
			fs[i]()
			i++
		}
		return i < len(fs)
	}
}

// Each calls fn for every sequence of choices that it can make, until one fails:
// pick names one of n. It returns the number of sequences.
func Each(t *testing.T, fn func(pick func(n int) int)) int {
	t.Helper()
	var path, width []int
	for runs := 1; ; runs++ {
		at := 0
		width = width[:0]
		fn(func(n int) int {
			if at == len(path) {
				path = append(path, 0)
			}
			width = append(width, n)
			at++
			return path[at-1]
		})
		if t.Failed() {
			t.Logf("choices %v", path)
			return runs
		}
		d := len(width) - 1
		for d >= 0 && path[d]+1 >= width[d] {
			d--
		}
		if d < 0 {
			return runs
		}
		path = append(path[:d:d], path[d]+1)
	}
}

// All makes the threads anew for each order and runs them in it; done looks at
// the end of each. It returns the number of orders.
func All(t *testing.T, mk func() (threads []Thread, done func(order []int))) int {
	t.Helper()
	var path []int
	runs := 0
	for {
		threads, done := mk()
		live := make([]int, len(threads))
		for i := range live {
			live[i] = i
		}
		var order, width []int
		for d := 0; len(live) > 0; d++ {
			if d == len(path) {
				path = append(path, 0)
			}
			c := path[d]
			width = append(width, len(live))
			th := live[c]
			order = append(order, th)
			if !threads[th]() {
				live = append(append([]int{}, live[:c]...), live[c+1:]...)
			}
		}
		done(order)
		runs++
		if t.Failed() {
			return runs
		}
		d := len(width) - 1
		path = path[:len(width)]
		for d >= 0 && path[d]+1 >= width[d] {
			d--
		}
		if d < 0 {
			return runs
		}
		path = append(path[:d:d], path[d]+1)
	}
}
