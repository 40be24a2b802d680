package pool

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"spoolswitch/internal/ids"
)

// Member is a replica as the balancer sees it. One whose stage is fixed stays
// on its side.
type Member struct {
	ID    ids.Replica
	Stage string
}

// The stages that fix a replica's side.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

// Rules are how moves are made.
type Rules struct {
	// Hysteresis is the part of a service's replicas by which a split has to be
	// off before it changes, Floor the least part of each pool, and Moves the
	// most replicas that change sides at once, as a part as well.
	Hysteresis, Floor, Moves float64
	// Least is how many requests a window must hold to be gone by.
	Least int64
}

const nearly = 0.9

// Offer is what a window asks of a service, in milliseconds of engines.
type Offer struct {
	Heavy, Light float64
	N            int64
}

// Share is the part of the work that is heavy.
func (o Offer) Share() float64 {
	if o.Heavy+o.Light <= 0 {
		return 0
	}
	return o.Heavy / (o.Heavy + o.Light)
}

// Threshold is the weight that tells heavy requests from the rest: the boundary
// of classes that leaves the least variance within the two sides (Otsu's
// method). One in force stays while it is nearly as good; 0 means that there is
// no telling.
func (w *Work) Threshold(old int64) int64 {
	var n, sum float64
	for i, b := range w.Buckets {
		n += float64(b.N)
		sum += float64(b.N) * float64(i)
	}
	best, top, was := int64(0), 0.0, 0.0
	var n0, sum0 float64
	for i := 1; i < Buckets; i++ {
		n0 += float64(w.Buckets[i-1].N)
		sum0 += float64(w.Buckets[i-1].N) * float64(i-1)
		n1 := n - n0
		if n0 == 0 || n1 == 0 {
			continue
		}
		d := sum0/n0 - (sum-sum0)/n1
		v := n0 * n1 * d * d
		if v > top*(1+1e-9) {
			best, top = Floor(i), v
		}
		if Floor(i) == old {
			was = v
		}
	}
	if old > 0 && was >= nearly*top {
		return old
	}
	return best
}

// Offer weighs the window by the paces measured in it: the time that a prompt
// token takes an engine, and an output token one of its slots.
func (w *Work) Offer(heavy int64, slots int) (Offer, bool) {
	var o Offer
	_, read, _, ok := w.Read.Fit()
	if !ok {
		return o, false
	}
	write := 0.0
	if w.Write.X > 0 {
		write = w.Write.Y / w.Write.X / float64(max(1, slots))
	}
	for i, b := range w.Buckets {
		t := float64(b.Prompt)*read + float64(b.Out)*write
		if Floor(i) >= heavy {
			o.Heavy += t
		} else {
			o.Light += t
		}
		o.N += b.N
	}
	return o, true
}

func order(s ids.Service, ms []Member) []Member {
	h := func(m Member) uint64 {
		f := fnv.New64a()
		fmt.Fprint(f, s, "|", m.ID)
		return f.Sum64()
	}
	ms = slices.Clone(ms)
	slices.SortFunc(ms, func(a, b Member) int {
		x, y := h(a), h(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return ms
}

// Next is the split that follows cur for what was counted. It tells false if
// nothing changes. Replicas change sides in one order, so that as few as can
// be do.
func (r Rules) Next(s ids.Service, cur Split, ms []Member, w *Work, slots int) (Split, bool) {
	n := len(ms)
	least := max(1, int(math.Ceil(r.Floor*float64(n))))
	if n < 2*least || n < 4 {
		return Split{}, cur.Heavy > 0
	}
	heavy := w.Threshold(cur.Heavy)
	if heavy == 0 {
		return cur, false
	}
	o, ok := w.Offer(heavy, slots)
	if !ok || o.N < r.Least {
		return cur, false
	}
	want := o.Share() * float64(n)
	have := 0
	for _, m := range ms {
		if m.Stage != StageDecode && cur.Has(m.ID) || m.Stage == StagePrefill {
			have++
		}
	}
	first := cur.Heavy == 0
	goal := min(max(int(math.Round(want)), least), n-least)
	step := max(1, int(r.Moves*float64(n)))
	switch {
	case first:
	case have < least || have > n-least: // replicas of a pool were lost
	case math.Abs(want-float64(have)) < math.Max(1, r.Hysteresis*float64(n)):
		goal = have
	default:
		goal = min(max(goal, have-step), have+step)
	}
	if !first && goal == have && heavy == cur.Heavy {
		return cur, false
	}
	next := Split{Heavy: heavy, Share: o.Share(), Why: fmt.Sprintf("heavy work %.2f of all, %d of %d replicas to the prefill pool, were %d", o.Share(), goal, n, have)}
	var in, out []Member
	for _, m := range order(s, ms) {
		switch {
		case m.Stage == StagePrefill:
			next.Prefill = append(next.Prefill, m.ID)
		case m.Stage == StageDecode:
		case cur.Has(m.ID):
			in = append(in, m)
		default:
			out = append(out, m)
		}
	}
	for _, m := range append(in, out...) {
		if len(next.Prefill) >= goal {
			break
		}
		next.Prefill = append(next.Prefill, m.ID)
	}
	slices.Sort(next.Prefill)
	return next, true
}
