package consensus

import (
	"slices"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// DecideRoster takes one step of a change of the roster: into it, with both
// sets named, or out of it, with the new set alone. It is bound to the number of
// the roster that the order goes out from.
func DecideRoster(cur []byte, o *Order) ([]byte, Msg) {
	r, ok := DecodeRoster(cur)
	if !ok || len(r.Seat) == 0 {
		return nil, Msg{Code: codes.Nothing}
	}
	if o.Base != 0 && uint64(o.Base) != r.Num {
		return nil, Msg{Code: codes.OtherVersion, Text: "the roster has changed"}
	}
	if len(r.Next) > 0 {
		if !o.On {
			return nil, Msg{Code: codes.QueueFull, Text: "a change is under way"}
		}
		n := Roster{Num: r.Num + 1, Seat: r.Next}
		return n.Encode(), Msg{OK: true}
	}
	joiners := slices.DeleteFunc(slices.Clone(o.Joiners), r.Has)
	if o.On || len(joiners) == 0 {
		return nil, Msg{OK: true}
	}
	n := Roster{Num: r.Num + 1, Seat: r.Seat}
	for _, s := range r.Seat {
		if !slices.Contains(o.Gone, s) {
			n.Next = append(n.Next, s)
		}
	}
	n.Next = append(n.Next, joiners...)
	return n.Encode(), Msg{OK: true}
}

// Seats is how many seats bear the loss of so many machines, with one to spare
// while a lost disk is read back, and of a zone.
func Seats(machines, zones int) int { return max(2*(machines+1), zones) }

func (r Roster) bears(zone func(ids.Node) ids.Zone) (machines int, anyZone bool) {
	in := map[ids.Zone]int{}
	for _, n := range r.Seat {
		in[zone(n)]++
	}
	for _, c := range in {
		if len(r.Seat)-c <= len(r.Seat)/2 {
			return (len(r.Seat) - 1) / 2, false
		}
	}
	return (len(r.Seat) - 1) / 2, true
}

// Admit names those of the askers who get a seat in one change: as many as are
// wanted, from the zones with the fewest seats first, as long as the loss of a
// zone or of machines is borne no worse than before.
func (r Roster) Admit(ask []ids.Node, zone func(ids.Node) ids.Zone, want int) []ids.Node {
	ask = slices.DeleteFunc(slices.Clone(ask), r.Has)
	slices.Sort(ask)
	in := map[ids.Zone]int{}
	for _, n := range r.Seat {
		in[zone(n)]++
	}
	var line []ids.Node
	for len(ask) > 0 && len(r.Seat)+len(line) < want {
		best := 0
		for i, n := range ask {
			if in[zone(n)] < in[zone(ask[best])] {
				best = i
			}
		}
		in[zone(ask[best])]++
		line = append(line, ask[best])
		ask = slices.Delete(ask, best, best+1)
	}
	m, z := r.bears(zone)
	for ; len(line) > 0; line = line[:len(line)-1] {
		m2, z2 := Roster{Seat: append(slices.Clone(r.Seat), line...)}.bears(zone)
		if m2 >= m && (z2 || !z) {
			return line
		}
	}
	return nil
}

// Founding is the roster of the first start.
func Founding(ns []ids.Node) Roster {
	s := slices.Clone(ns)
	slices.Sort(s)
	return Roster{Num: 1, Seat: s}
}
