package list

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/word"
)

// A keeper that patches its list by each change has the list that was read.
func TestPatch(t *testing.T) {
	is := is.New(t)
	dice := rand.New(rand.NewPCG(3, 4))
	next := 0
	fresh := func() Replica {
		next++
		return Replica{ID: word.Replica(fmt.Sprintf("i-%04d", next)), Service: "s", Addr: "10.0.0.1:80", Zone: "z", State: "in_service", ColdMs: float64(next % 3 * 100)}
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
