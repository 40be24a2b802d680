package discovery

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/ids"
)

// A keeper that patches its list by each change has the list that was read.
func TestPatch(t *testing.T) {
	is := is.New(t)
	dice := rand.New(rand.NewPCG(3, 4))
	next := 0
	fresh := func() Replica {
		next++
		return Replica{ID: ids.Replica(fmt.Sprintf("i-%04d", next)), Service: "s", Addr: "10.0.0.1:80", Zone: "z", State: "in_service", ColdMs: float64(next % 3 * 100)}
	}
	var rs []Replica
	for range 50 {
		rs = append(rs, fresh())
	}
	have := Encode(rs)
	for range 100 {
		rs = append([]Replica(nil), rs...)
		for range 3 {
			switch i := dice.IntN(len(rs)); dice.IntN(4) {
			case 0:
				rs = append(rs, fresh())
			case 1:
				rs = append(rs[:i:i], rs[i+1:]...)
			case 2:
				rs[i].State = "draining"
			case 3:
				rs[i].ColdMs = max(0, rs[i].ColdMs-150)
			}
		}
		change := Diff(have, Encode(rs))
		is.True(change != nil)
		var ok bool
		have, ok = Patch(have, change)
		is.True(ok)
		got, ok := Decode(have)
		is.True(ok)
		is.Equal(got, rs)
	}
	_, ok := Patch(have, []byte("x"))
	is.True(!ok)
	_, ok = Patch([]byte("x"), Diff(have, have))
	is.True(!ok)
}

// While replicas warm up as expected nothing is told of them, and who patches
// the list knows how cold they are all the same; one that turns cold again is
// told of. Between the clocks of two readers nothing can be worked out.
func TestWarmingIsNotTold(t *testing.T) {
	is := is.New(t)
	at := func(ms float64, clock uint64, cold ...float64) []byte {
		var rs []Replica
		for i, c := range cold {
			rs = append(rs, Replica{ID: ids.Replica(fmt.Sprint("i-", i)), State: "in_service", Service: "a service with a name", ColdMs: c})
		}
		return EncodeRead(rs, Reading{clock, ms})
	}
	told := func(old, fresh []byte) int {
		d, ok := DecodeDelta(Diff(old, fresh))
		is.True(ok)
		return len(d.Up)
	}
	start := at(1000, 7, 3000, 2000, 500, 0, 0, 0, 0, 0, 0, 0)
	later := at(2200, 7, 1900, 700, 0, 0, 0, 0, 0, 0, 0, 0)
	is.Equal(told(start, later), 0)
	got, ok := Patch(start, Diff(start, later))
	is.True(ok)
	rs, _ := Decode(got)
	is.Equal(rs[0].ColdMs, 1800.0)
	is.Equal(rs[2].ColdMs, 0.0)
	again := at(3400, 7, 600, 3000, 0, 0, 0, 0, 0, 0, 0, 0)
	is.Equal(told(later, again), 1)
	got, ok = Patch(got, Diff(later, again))
	is.True(ok)
	rs, _ = Decode(got)
	is.Equal(rs[1].ColdMs, 3000.0)
	is.Equal(rs[0].ColdMs, 600.0)
	is.Equal(told(start, at(2200, 8, 1900, 700, 0, 0, 0, 0, 0, 0, 0, 0)), 3)
	is.Equal(told(start, at(900, 7, 1900, 700, 0, 0, 0, 0, 0, 0, 0, 0)), 3)
}
