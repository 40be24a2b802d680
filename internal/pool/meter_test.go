package pool

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
)

// The window slides: what is older than it is not in the sum.
func TestMeter(t *testing.T) {
	is := is.New(t)
	sim := &clock.Sim{}
	defer sim.Use()()
	sim.Move(100 * clock.Second)
	m := NewMeter(4 * clock.Second)
	n := func() int64 {
		w := m.Sum().Services["s"]
		if w == nil {
			return 0
		}
		return w.Buckets[BucketOf(5000)].N
	}
	for range 12 {
		m.Read("s", 5000, 100, 10*clock.Millisecond)
		m.Written("s", 5000, 9, 40*clock.Millisecond)
		sim.Move(clock.Second)
	}
	is.Equal(n(), int64(3)) // the window's newest cell has just begun
	w := m.Sum().Services["s"]
	is.Equal(w.Buckets[BucketOf(5000)], Bucket{N: 3, Prompt: 300, Out: 27})
	sim.Move(4 * clock.Second)
	is.Equal(n(), int64(0))
	is.Equal(m.Sum().Services["s"] == nil, true)
	is.Equal(BucketOf(0), 0)
	is.Equal(BucketOf(1<<62), Buckets-1)
	for _, x := range []int64{1, 2, 3, 4096, 5382} {
		is.True(Floor(BucketOf(x)) <= x && x < Floor(BucketOf(x)+1))
	}
}
