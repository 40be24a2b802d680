package interleave

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestAllOrders(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	n := All(t, func() ([]Thread, func([]int)) {
		step := func() {}
		return []Thread{Steps(step, step, step), Steps(step, step, step)}, func(o []int) { seen[fmt.Sprint(o)] = true }
	})
	is.Equal(n, 20) // 6 over 3
	is.Equal(len(seen), 20)
}

func TestEachChoice(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	n := Each(t, func(pick func(int) int) {
		a := pick(3)
		s := fmt.Sprint(a)
		for range a {
			s += fmt.Sprint(pick(2))
		}
		seen[s] = true
	})
	is.Equal(n, 1+2+4)
	is.Equal(len(seen), 7)
}
