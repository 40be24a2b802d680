package ctl

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

// mesh joins keepers; a part of the questions and of the answers is lost.
type mesh struct {
	mu   sync.Mutex
	ks   map[word.Node]*keep.Keeper
	rnd  *rand.Rand
	lost float64
}

func (m *mesh) draw(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Float64() < p
}

func (m *mesh) pick(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rnd.Intn(n)
}

type reply struct {
	mu sync.Mutex
	a  keep.Msg
}

// Ask gives up soon where something is lost, as though more were sent anew.
func (m *mesh) Ask(to word.Node, q keep.Msg, timeout clk.Span) (keep.Msg, bool) {
	if m.draw(m.lost) {
		clk.Sleep(min(timeout, 20*clk.Millisecond))
		return keep.Msg{}, false
	}
	r, done := &reply{}, spawn.NewMark()
	spawn.Go(func() {
		a := m.ks[to].Handle(q)
		r.mu.Lock()
		r.a = a
		r.mu.Unlock()
		done.Set()
	})
	if !done.Wait(timeout) || m.draw(m.lost) {
		return keep.Msg{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.a, true
}

// Eight operators send changes at once and again unchanged until they have a
// clear answer, of which nine in ten are lost, as are some messages between the
// keepers. Of the changes on one base one is acknowledged; none that was refused
// is ever in force; reads and refusals see the newest that was acknowledged or
// read before they began.
func TestHistory(t *testing.T) {
	is := is.New(t)
	seats := []word.Node{"a", "b", "c"}
	m := &mesh{ks: map[word.Node]*keep.Keeper{}, rnd: rand.New(rand.NewSource(1)), lost: 0.1}
	for _, n := range seats {
		acc := keep.NewAcceptor()
		acc.Use(keep.Volatile{})
		is.NoErr(acc.Found(keep.Roster{Num: 1, Seat: seats}, nil))
		k := keep.New(n, acc, m, feed.NewHub())
		k.Decider = Decide
		m.ks[n] = k
	}
	change := func(o *keep.Order) keep.Msg {
		return m.ks[seats[m.pick(3)]].Change(word.Configuration, o, clk.Now().Add(opTimeout))
	}
	read := func() *conf.State {
		for {
			if a := change(&keep.Order{Query: true}); a.OK {
				s, err := conf.Decode(a.Val)
				is.NoErr(err)
				return s
			}
		}
	}
	var mu sync.Mutex
	var newest word.Version // acknowledged or read
	taken := map[word.Version]int{}
	var acked, refused []*conf.Order
	seen := func(v word.Version) {
		mu.Lock()
		defer mu.Unlock()
		newest = max(newest, v)
	}
	least := func() word.Version {
		mu.Lock()
		defer mu.Unlock()
		return newest
	}
	look := func() word.Version {
		from := least()
		v := read().Version
		if v < from {
			t.Errorf("read %d after %d", v, from)
		}
		seen(v)
		return v
	}
	const operators, each = 8, 12
	left := operators
	done := spawn.NewMark()
	for op := range operators {
		spawn.Go(func() {
			for n := range each {
				base := look()
				version := base + word.Version(1+m.pick(3))
				o := &conf.Order{Base: base, Body: fmt.Appendf(nil,
					`{"version":%d,"route-table":[{"name":"r","authority":"h","path-prefix":"/%d-%d/","route-class":"safe","timeout-ms":9,"service":"s"}],"service-table":[{"name":"s"}]}`, version, op, n)}
				for {
					a := change(&keep.Order{Base: o.Base, Body: o.Body})
					if m.draw(0.9) || !a.OK && a.Code != code.OtherVersion {
						continue
					}
					mu.Lock()
					if a.OK {
						acked = append(acked, o)
						taken[base]++
						newest = max(newest, version)
					} else {
						refused = append(refused, o)
					}
					mu.Unlock()
					if v := look(); v == base {
						t.Errorf("settled on %d, read %d", base, v)
					}
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if left--; left == 0 {
				done.Set()
			}
		})
	}
	is.True(done.Wait(5 * clk.Minute))
	last := read()
	for base, n := range taken {
		if n > 1 {
			t.Errorf("%d changes on %d were acknowledged", n, base)
		}
	}
	for _, o := range acked {
		n, err := last.Apply(o)
		is.NoErr(err)
		is.True(n == nil) // it was taken
	}
	for _, o := range refused {
		_, err := last.Apply(o)
		is.Equal(code.Of(err), code.OtherVersion)
	}
	is.Equal(len(acked)+len(refused), operators*each)
	is.Equal(len(last.Taken), len(acked))
	is.True(len(acked) > 0 && len(refused) > 0)
	t.Log(len(acked), "acknowledged,", len(refused), "refused")
}
