package consensus

import (
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// A seat is given to another after 3 s of silence if the loss of a zone is borne
// no worse then: until it is, a second loss may leave no majority. Where it
// would be borne worse, cuts and freezes are waited for: they last up to 20 s,
// and seats do not move back on their own.
const (
	goneAfter = 3 * clock.Second
	goneLong  = 30 * clock.Second
	askedFor  = 2 * clock.Second
	askPause  = 500 * clock.Millisecond
	hereFor   = 1200 * clock.Millisecond
	copyWait  = 10 * clock.Second
	copyPause = 50 * clock.Millisecond
	// seatTimeout bounds one try to end a change of seats. A seat takes up a
	// change that another has not ended after reseatAfter, and one reseatStep
	// later for each seat that comes before it.
	seatTimeout = 4 * clock.Second
	// votersWait is how long new seats may take to read the others' disks, before
	// they vote.
	votersWait  = 1200 * clock.Millisecond
	reseatAfter = 2 * clock.Second
	reseatStep  = 1500 * clock.Millisecond
)

// mayAssign tells whether this keeper may change the seats.
func (k *Keeper) mayAssign(r Roster) bool {
	return k.acc.Voting() && r.Has(k.Self) && k.Sure(hereFor)
}

func (k *Keeper) join(j ids.Node, z ids.Zone) Msg {
	r := k.acc.Roster()
	if !k.mayAssign(r) {
		return Msg{}
	}
	if !r.Has(j) && len(r.Next) == 0 {
		k.assign(r, k.askers(j, z))
	}
	return Msg{OK: true}
}

// assign gives seats to those who ask for them, if it is time: in place of seats that leave, else of
// such that have gone, else beside all others.
func (k *Keeper) assign(r Roster, in []ids.Node) {
	leavers := k.leavers(r)
	gone, unclear := leavers, false
	if len(leavers) == 0 {
		gone, unclear = k.silent(r)
	}
	if unclear {
		return
	}
	_, seats := k.seeds()
	if len(gone) == 0 {
		in = r.Admit(k.beside(r, in), k.zoneOf, seats)
	} else {
		all := len(gone)
		if gone, in = k.instead(r, gone, in); len(in) < all && k.soon(in) {
			return
		}
	}
	if len(in) == 0 || len(leavers) > 0 && !k.mayHandOver(r, leavers, in) || !k.seating.TryLock() {
		return
	}
	concurrency.Go(func() {
		defer k.seating.Unlock()
		a := k.Own(ids.Roster, clock.Now().Add(3*clock.Second), func(cur []byte) ([]byte, Msg) {
			if len(cur) == 0 {
				cur = k.acc.Roster().Encode()
			}
			return DecideRoster(cur, &Order{Base: ids.Version(r.Num), Joiners: in, Gone: gone})
		})
		if a.OK {
			telemetry.State("seats given", "to", in, "instead of", gone)
			k.endChange(r.Num + 1)
		}
	})
}

// silent names the seats that were not heard of for long, the longest first.
// While one may be on its way out or back nothing is clear, nor is it to a
// keeper that was itself cut off or stood still just now.
func (k *Keeper) silent(r Roster) (gone []ids.Node, unclear bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	since := map[ids.Node]clock.Tick{}
	for _, n := range r.Seat {
		at, ok := k.heard[n]
		if !ok {
			at = k.local0
		}
		switch {
		case n == k.Self || clock.Since(at) < hereFor:
		case clock.Since(at) < goneAfter:
			return nil, true
		default:
			since[n] = at
			gone = append(gone, n)
		}
	}
	slices.SortStableFunc(gone, func(a, b ids.Node) int { return int(since[a].Sub(since[b])) })
	return gone, len(gone) > 0 && k.sure.Sub(k.steady) < goneAfter
}

// instead pairs seats that are gone with askers who may take them in one change:
// soon if a lost zone is borne no worse, and after a long while in any case.
func (k *Keeper) instead(r Roster, gone, ask []ids.Node) (out, in []ids.Node) {
	ask = slices.DeleteFunc(slices.Clone(ask), r.Has)
	slices.Sort(ask)
	seat := slices.Clone(r.Seat)
	_, before := r.bears(k.zoneOf)
	for _, g := range gone {
		at := slices.Index(seat, g)
		took := -1
		for i, n := range ask {
			seat[at] = n
			if _, after := (Roster{Seat: seat}).bears(k.zoneOf); after || !before {
				took = i
				break
			}
		}
		if took < 0 && len(ask) > 0 && !k.recent(g, goneLong) {
			took = 0
		}
		if took < 0 {
			seat[at] = g
			continue
		}
		seat[at] = ask[took]
		out, in = append(out, g), append(in, ask[took])
		ask = slices.Delete(ask, took, took+1)
	}
	return out, in
}
