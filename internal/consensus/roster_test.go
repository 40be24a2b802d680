package consensus

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/ids"
)

func among(ns ...ids.Node) func(ids.Node) bool {
	return func(n ids.Node) bool {
		for _, m := range ns {
			if m == n {
				return true
			}
		}
		return false
	}
}

func TestMajority(t *testing.T) {
	is := is.New(t)
	is.True(three.Majority(among("a", "b")))
	is.True(!three.Majority(among("a")))
	four := Roster{Seat: []ids.Node{"a", "b", "c", "d"}}
	is.True(!four.Majority(among("a", "b")))
	is.True(four.Majority(among("a", "b", "d")))
	joint := Roster{Seat: three.Seat, Next: []ids.Node{"a", "b", "d"}}
	is.True(!joint.Majority(among("c", "b"))) // of the old only
	is.True(!joint.Majority(among("a", "d"))) // of the new only
	is.True(joint.Majority(among("a", "b")))
	is.True(!Roster{}.Majority(among("a")))
}

// Covers is checked against what it means, for all sets of up to five seats.
func TestCovers(t *testing.T) {
	all := []ids.Node{"a", "b", "c", "d", "e"}
	subset := func(ns []ids.Node, bits int) []ids.Node {
		var out []ids.Node
		for i, n := range ns {
			if bits>>i&1 == 1 {
				out = append(out, n)
			}
		}
		return out
	}
	for size := 1; size <= 5; size++ {
		r := Roster{Seat: all[:size]}
		for read := range 1 << size {
			in := among(subset(r.Seat, read&^1)...)
			want := true
			for m := range 1 << size {
				maj := subset(r.Seat, m)
				if len(maj) <= size/2 || m&1 == 0 {
					continue
				}
				hit := false
				for _, n := range maj {
					hit = hit || n != "a" && in(n)
				}
				want = want && hit
			}
			if got := r.Covers("a", in); got != want {
				t.Fatalf("%d seats, read %v: %v, not %v", size, subset(r.Seat, read), got, want)
			}
		}
	}
}

func TestDecideRoster(t *testing.T) {
	is := is.New(t)
	b, a := DecideRoster(three.Encode(), &Order{Joiners: []ids.Node{"d"}, Gone: []ids.Node{"c"}})
	is.True(a.OK)
	r, ok := DecodeRoster(b)
	is.True(ok)
	is.Equal(r.Num, uint64(2))
	is.Equal(r.Seat, three.Seat)
	is.Equal(r.Next, []ids.Node{"a", "b", "d"})
	_, a = DecideRoster(b, &Order{Joiners: []ids.Node{"e"}})
	is.True(!a.OK) // one change at a time
	b, a = DecideRoster(b, &Order{On: true})
	is.True(a.OK)
	r, _ = DecodeRoster(b)
	is.Equal(r, Roster{Num: 3, Seat: []ids.Node{"a", "b", "d"}})
	_, a = DecideRoster(nil, &Order{Joiners: []ids.Node{"d"}})
	is.True(!a.OK)
}
