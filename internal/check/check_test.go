package check

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
