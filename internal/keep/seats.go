package keep

import (
	"slices"

	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

// DecideRoster takes one step of a change of the roster: into it, with both
// sets named, or out of it, with the new set alone.
func DecideRoster(cur []byte, o *Order) ([]byte, Msg) {
	r, ok := DecodeRoster(cur)
	if !ok || len(r.Seat) == 0 {
		return nil, Msg{Code: code.Nothing}
	}
	if len(r.Next) > 0 {
		if !o.On {
			return nil, Msg{Code: code.QueueFull, Text: "a change is under way"}
		}
		n := Roster{Num: r.Num + 1, Seat: r.Next}
		return n.Encode(), Msg{OK: true}
	}
	if o.On || o.Joiner == "" || slices.Contains(r.Seat, o.Joiner) {
		return nil, Msg{OK: true}
	}
	n := Roster{Num: r.Num + 1, Seat: r.Seat}
	for _, s := range r.Seat {
		if s != o.Gone {
			n.Next = append(n.Next, s)
		}
	}
	n.Next = append(n.Next, o.Joiner)
	return n.Encode(), Msg{OK: true}
}

// Founding is the roster of the first start.
func Founding(ns []word.Node) Roster {
	s := slices.Clone(ns)
	slices.Sort(s)
	return Roster{Num: 1, Seat: s}
}
