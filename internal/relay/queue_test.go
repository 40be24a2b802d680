package relay

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
)

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	h := &Queue{Most: 4}
	is.True(h.Empty("s"))
	late := h.Enter("s", 1, 200)
	is.True(h.First(late, 0))
	soon := h.Enter("s", 1, 100)
	high := h.Enter("s", 0, 900)
	low := h.Enter("s", 2, 1)
	is.True(h.Enter("s", 0, 1) == nil) // full
	other := h.Enter("t", 5, 5)
	is.True(h.First(other, 0)) // a line for each service
	line := []*held{high, soon, late, low}
	for i, w := range line {
		is.True(h.First(w, clock.Second))
		for _, o := range line[i+1:] {
			is.True(!h.First(o, 0))
		}
		h.Leave(w)
	}
	is.True(h.Empty("s"))
}

func TestNextIsWoken(t *testing.T) {
	is := is.New(t)
	h := &Queue{Most: 4}
	a, b := h.Enter("s", 0, 1), h.Enter("s", 0, 2)
	is.True(!h.First(b, clock.Millisecond))
	h.Leave(a)
	is.True(h.First(b, 0))
	h.Leave(b)
}
