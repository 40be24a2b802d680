package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/ids"
)

var rules = Rules{Hysteresis: 0.08, Floor: 0.1, Moves: 0.15, Least: 50}

func members(n int) (out []Member) {
	for i := range n {
		out = append(out, Member{ID: ids.Replica(fmt.Sprintf("i-%d", i)), Stage: "combined"})
	}
	return
}

// window is what a mix of long prompts and short ones asks for: a prompt token
// takes 0.01 ms, an output token 4 ms of a slot.
func window(rnd *rand.Rand, long, short int) *Work {
	w := &Work{}
	add := func(n int, weight, prompt, out int64) {
		for range n {
			p := int64(float64(prompt) * (0.5 + rnd.Float64()))
			b := &w.Buckets[BucketOf(weight)]
			b.N++
			b.Prompt += p
			b.Out += out
			w.Read.See(float64(p), 20+float64(p)*0.01, 1)
			w.Write.See(float64(out), float64(out)*4, 1)
		}
	}
	add(long, 5400, 12000, 100)
	add(short, 570, 2000, 30)
	return w
}

func rnd() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// A mix that swings both ways is tracked unaided, within eight windows.
func TestTracksTheMix(t *testing.T) {
	is := is.New(t)
	r, ms := rnd(), members(40)
	var cur Split
	for swing, mix := range [][2]int{{300, 100}, {20, 1500}, {300, 100}, {20, 1500}} {
		for range 8 {
			before := cur
			w := window(r, mix[0], mix[1])
			next, ok := rules.Next("s", cur, ms, w, 24)
			if !ok {
				is.Equal(next, before)
			}
			if before.Heavy > 0 {
				d := len(next.Prefill) - len(before.Prefill)
				is.True(d <= 6 && d >= -6) // 0.15 of 40 at once
				kept := 0
				for _, id := range before.Prefill {
					if next.Has(id) {
						kept++
					}
				}
				is.Equal(kept, min(len(before.Prefill), len(next.Prefill))) // nobody moves for nothing
			}
			cur = next
		}
		o, ok := window(r, mix[0], mix[1]).Offer(cur.Heavy, 24)
		is.True(ok)
		off := float64(len(cur.Prefill)) - o.Share()*40
		if off > 4 || off < -4 {
			t.Fatalf("swing %d: %d in the prefill pool for a share of %.2f", swing, len(cur.Prefill), o.Share())
		}
	}
}

// On a steady mix, noise moves nobody.
func TestNoOscillation(t *testing.T) {
	is := is.New(t)
	r, ms := rnd(), members(40)
	cur, ok := rules.Next("s", Split{}, ms, window(r, 120, 600), 24)
	is.True(ok)
	for range 4 {
		cur, _ = rules.Next("s", cur, ms, window(r, 120, 600), 24)
	}
	for range 200 {
		noise := func(n int) int { return int(float64(n) * (0.9 + 0.2*r.Float64())) }
		next, ok := rules.Next("s", cur, ms, window(r, noise(120), noise(600)), 24)
		is.True(!ok)
		is.Equal(next, cur)
	}
}

func TestLimitsOfASplit(t *testing.T) {
	is := is.New(t)
	r := rnd()
	split := func(ms []Member, long, short int) (cur Split) {
		for range 12 {
			cur, _ = rules.Next("s", cur, ms, window(r, long, short), 24)
		}
		return
	}
	is.Equal(split(members(3), 100, 500), Split{})               // too few to divide
	is.Equal(len(split(members(20), 60, 2).Prefill) <= 18, true) // a floor for each
	is.True(len(split(members(20), 2, 900).Prefill) >= 2)
	next, ok := rules.Next("s", Split{Heavy: 4096, Prefill: []ids.Replica{"i-1"}}, members(20), window(r, 5, 5), 24)
	is.True(!ok) // too little seen
	is.Equal(len(next.Prefill), 1)
	_, ok = rules.Next("s", Split{Heavy: 4096}, members(20), &Work{}, 24)
	is.True(!ok) // nothing seen
	fixed := members(20)
	for i := range 4 {
		fixed[i].Stage, fixed[19-i].Stage = StagePrefill, StageDecode
	}
	for _, mix := range [][2]int{{300, 50}, {5, 900}} {
		s := split(fixed, mix[0], mix[1])
		for i := range 4 {
			is.True(s.Has(fixed[i].ID))
			is.True(!s.Has(fixed[19-i].ID))
		}
	}
}

// All replicas of a pool are lost: the next window fills it again.
func TestPoolLost(t *testing.T) {
	is := is.New(t)
	r, ms := rnd(), members(20)
	cur, _ := rules.Next("s", Split{}, ms, window(r, 120, 600), 24)
	var left []Member
	for _, m := range ms {
		if !cur.Has(m.ID) {
			left = append(left, m)
		}
	}
	next, ok := rules.Next("s", cur, left, window(r, 120, 600), 24)
	is.True(ok)
	is.True(len(next.Prefill) >= 1)
	for _, id := range next.Prefill {
		is.True(!cur.Has(id))
	}
	few := left[:3]
	gone, ok := rules.Next("s", next, few, window(r, 120, 600), 24)
	is.True(ok)
	is.Equal(gone, Split{}) // one pool again
}

func TestUnreadable(t *testing.T) {
	is := is.New(t)
	c := &Counts{Services: map[ids.Service]*Work{"s": window(rnd(), 5, 5)}}
	got, err := DecodeCounts(c.Encode())
	is.NoErr(err)
	is.Equal(got, c)
	for _, b := range [][]byte{nil, []byte("x"), c.Encode()[:40], make([]byte, countsMost+1),
		(&Counts{Services: map[ids.Service]*Work{"": {}}}).Encode(),
		(&Counts{Services: map[ids.Service]*Work{"s": {Buckets: [Buckets]Bucket{{N: -1}}}}}).Encode(),
		(&Counts{Services: map[ids.Service]*Work{"s": {Read: Line{N: -3}}}}).Encode()} {
		_, err := DecodeCounts(b)
		is.True(err != nil)
	}
	p := &Plan{Num: 1, Splits: map[ids.Service]Split{"s": {Heavy: 64, Prefill: []ids.Replica{"i"}}}}
	_, err = DecodePlan(p.Encode())
	is.NoErr(err)
	for _, b := range [][]byte{nil, []byte("x"), p.Encode()[:20], (&Plan{}).Encode(), make([]byte, planMost+1),
		(&Plan{Num: 1, Splits: map[ids.Service]Split{"s": {}}}).Encode(),
		(&Plan{Num: 1, Splits: map[ids.Service]Split{"s": {Heavy: 1, Share: 2}}}).Encode(),
		(&Plan{Num: 1, Splits: map[ids.Service]Split{"s": {Heavy: 1, Prefill: []ids.Replica{""}}}}).Encode()} {
		_, err := DecodePlan(b)
		is.True(err != nil)
	}
}
