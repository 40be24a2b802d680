package keep

import (
	"slices"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/note"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

const (
	goneAfter = 3 * clk.Second
	goneLong  = 10 * clk.Second
	askedFor  = 2 * clk.Second
	askPause  = 500 * clk.Millisecond
	hereFor   = 1200 * clk.Millisecond
)

func (k *Keeper) wantSeat(r Roster) {
	k.mu.Lock()
	soon := k.wanted != 0 && clk.Since(k.wanted) < askPause
	if !soon {
		k.wanted = clk.Now()
	}
	k.mu.Unlock()
	if soon {
		return
	}
	for _, n := range r.All() {
		if a, ok := k.Net.Ask(n, Msg{Kind: Join, From: k.Self, Zone: k.Zone}, askTimeout); ok && a.OK {
			return
		}
	}
}

type asked struct {
	at   clk.Tick
	zone word.Zone
}

func (k *Keeper) zoneOf(n word.Node) word.Zone {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n == k.Self {
		return k.Zone
	}
	if z, ok := k.others[n]; ok && z != "" {
		return z
	}
	return word.Zone("of " + n)
}

func (k *Keeper) askers(j word.Node, z word.Zone) []word.Node {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked[j] = asked{clk.Now(), z}
	var out []word.Node
	for n, a := range sorted(k.asked) {
		if clk.Since(a.at) > askedFor {
			delete(k.asked, n)
			continue
		}
		out = append(out, n)
	}
	return out
}

func (k *Keeper) join(j word.Node, z word.Zone) Msg {
	r := k.acc.Roster()
	if !k.acc.Voting() || !r.Has(k.Self) || !k.Sure(hereFor) {
		return Msg{}
	}
	if r.Has(j) || len(r.Next) > 0 {
		return Msg{OK: true}
	}
	var gone word.Node
	for _, n := range r.Seat {
		switch {
		case n == k.Self || k.recent(n, hereFor):
		case !k.recent(n, goneAfter):
			gone = n
		default:
			return Msg{OK: true}
		}
	}
	_, seats := k.seeds()
	in := k.askers(j, z)
	if gone == "" {
		in = r.Admit(in, k.zoneOf, seats)
	} else {
		in = k.instead(r, gone, j)
	}
	if len(in) == 0 {
		return Msg{OK: true}
	}
	if !k.seating.TryLock() {
		return Msg{OK: true}
	}
	spawn.Go(func() {
		defer k.seating.Unlock()
		a := k.Own(word.Roster, clk.Now().Add(3*clk.Second), func(cur []byte) ([]byte, Msg) {
			if len(cur) == 0 {
				cur = k.acc.Roster().Encode()
			}
			return DecideRoster(cur, &Order{Joiners: in, Gone: gone})
		})
		if a.OK {
			note.State("seats given", "to", in, "instead of", gone)
			k.seat()
		}
	})
	return Msg{OK: true}
}

// instead tells whether j may take the seat of one that is gone: at once if a
// lost zone is borne no worse, and after a while in any case.
func (k *Keeper) instead(r Roster, gone, j word.Node) []word.Node {
	next := Roster{Seat: append(slices.DeleteFunc(slices.Clone(r.Seat), func(n word.Node) bool { return n == gone }), j)}
	_, before := r.bears(k.zoneOf)
	if _, after := next.bears(k.zoneOf); before && !after && k.recent(gone, goneLong) {
		return nil
	}
	return []word.Node{j}
}

func (k *Keeper) seat() {
	r := k.acc.Roster()
	if len(r.Next) == 0 {
		return
	}
	deadline := clk.Now().Add(4 * clk.Second)
	keys := []word.Key{word.Roster}
	for key := range k.acc.Cells() {
		keys = append(keys, key)
	}
	for key := range k.Sink.Known() {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		if !key.Kept() || key == floorKey {
			continue
		}
		if !k.rewin(key, deadline) {
			return
		}
	}
	a := k.Own(word.Roster, deadline, func(cur []byte) ([]byte, Msg) { return DecideRoster(cur, &Order{On: true}) })
	if a.OK {
		note.State("roster changed", "num", k.acc.Roster().Num)
	}
}

func (k *Keeper) rewin(key word.Key, deadline clk.Tick) bool {
	t := k.lease(key)
	if !t.turn.Take(clk.Until(deadline)) {
		return false
	}
	t.held = false
	t.turn.Give()
	return k.Own(key, deadline, func([]byte) ([]byte, Msg) { return nil, Msg{OK: true} }).OK
}

func (k *Keeper) reseat() {
	r := k.acc.Roster()
	k.mu.Lock()
	if len(r.Next) == 0 || k.joint.num != r.Num {
		k.joint.num, k.joint.since = r.Num, clk.Now()
	}
	old := clk.Since(k.joint.since) > 2*clk.Second
	k.mu.Unlock()
	if len(r.Next) == 0 || !old || !r.Has(k.Self) || !k.acc.Voting() || !k.seating.TryLock() {
		return
	}
	spawn.Go(func() {
		defer k.seating.Unlock()
		k.seat()
	})
}
