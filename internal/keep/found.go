package keep

import (
	"fmt"
	"hash/fnv"
	"slices"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/note"
	"spoolswitch/internal/word"
)

func anyDisk(got map[word.Node]Msg) bool {
	for _, a := range got {
		if a.Disk {
			return true
		}
	}
	return false
}

// Begin takes part in the founding of the first roster: the seeds that have a
// disk, which every seed asks of all others. Only where none has one do disks
// in memory count. It tells whether that is done.
func (k *Keeper) Begin() bool {
	founders, _ := k.seeds()
	to := slices.DeleteFunc(slices.Clone(founders), func(n word.Node) bool { return n == k.Self })
	got := k.askAll(to, Msg{Kind: Digest, Zone: k.Zone}, askTimeout, func(g map[word.Node]Msg) bool { return len(g) == len(to) })
	if len(got) < len(to) {
		return false
	}
	got[k.Self] = Msg{Disk: k.Disk}
	in := slices.Clone(founders)
	if anyDisk(got) {
		in = slices.DeleteFunc(in, func(n word.Node) bool { return !got[n].Disk })
	}
	if !slices.Contains(in, k.Self) {
		return true
	}
	if err := k.acc.Found(Founding(in), nil); err != nil {
		note.Trouble("founding record refused", "err", err)
		return false
	}
	note.State("founded", "seats", len(in))
	return true
}

func (k *Keeper) seatsNear() []word.Node {
	out := k.acc.Roster().All()
	if len(out) == 0 {
		out, _ = k.seeds()
		out = slices.Clone(out)
	}
	out = slices.DeleteFunc(out, func(n word.Node) bool { return n == k.Self })
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	rank := func(n word.Node) uint64 {
		if n == last {
			return 0
		}
		h := fnv.New64a()
		fmt.Fprint(h, k.Self, "|", n)
		return h.Sum64() | 1
	}
	slices.SortFunc(out, func(a, b word.Node) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return out
}

func (k *Keeper) answered(n word.Node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last = n
}

// Watch keeps a keeper without a seat up to date of who has one. It asks one
// of them, and is no peer of theirs.
func (k *Keeper) Watch() {
	for _, n := range k.seatsNear() {
		a, ok := k.Net.Ask(n, Msg{Kind: Digest}, askTimeout)
		if !ok || a.Roster.Num == 0 {
			continue
		}
		k.answered(n)
		_ = k.acc.Adopt(a.Roster)
		return
	}
}

func (k *Keeper) forward(key word.Key, o *Order, deadline clk.Tick) Msg {
	for _, n := range k.seatsNear() {
		if clk.Until(deadline) <= 0 {
			break
		}
		left := clk.Until(deadline)
		a, ok := k.Net.Ask(n, Msg{Kind: Forward, Key: key, Order: o, Left: left}, min(askTimeout, left))
		if ok && (a.clear() || a.Code == code.Moved) {
			k.answered(n)
			return a
		}
	}
	return Msg{Code: code.NoMajority}
}
