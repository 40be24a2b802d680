package control

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
)

// mesh joins keepers; a part of the questions and of the answers is lost.
type mesh struct {
	mu   sync.Mutex
	ks   map[ids.Node]*consensus.Keeper
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
	a  consensus.Msg
}

// Ask gives up soon where something is lost, as though more were sent anew.
func (m *mesh) Ask(to ids.Node, q consensus.Msg, timeout clock.Span) (consensus.Msg, bool) {
	if m.draw(m.lost) {
		clock.Sleep(min(timeout, 20*clock.Millisecond))
		return consensus.Msg{}, false
	}
	r, done := &reply{}, concurrency.NewMark()
	concurrency.Go(func() {
		a := m.ks[to].Handle(q)
		r.mu.Lock()
		r.a = a
		r.mu.Unlock()
		done.Set()
	})
	if !done.Wait(timeout) || m.draw(m.lost) {
		return consensus.Msg{}, false
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
	seats := []ids.Node{"a", "b", "c"}
	m := &mesh{ks: map[ids.Node]*consensus.Keeper{}, rnd: rand.New(rand.NewSource(1)), lost: 0.1}
	for _, n := range seats {
		acc := consensus.NewAcceptor()
		acc.Use(consensus.Volatile{})
		is.NoErr(acc.Found(consensus.Roster{Num: 1, Seat: seats}, nil))
		k := consensus.New(n, acc, m, feed.NewHub())
		k.Decider = Decide
		m.ks[n] = k
	}
	change := func(o *consensus.Order) consensus.Msg {
		return m.ks[seats[m.pick(3)]].Change(ids.Configuration, o, clock.Now().Add(opTimeout))
	}
	read := func() *configuration.State {
		for {
			if a := change(&consensus.Order{Query: true}); a.OK {
				s, err := configuration.Decode(a.Val)
				is.NoErr(err)
				return s
			}
		}
	}
	var mu sync.Mutex
	var newest ids.Version // acknowledged or read
	taken := map[ids.Version]int{}
	var acked, refused []*configuration.Order
	seen := func(v ids.Version) {
		mu.Lock()
		defer mu.Unlock()
		newest = max(newest, v)
	}
	least := func() ids.Version {
		mu.Lock()
		defer mu.Unlock()
		return newest
	}
	look := func() ids.Version {
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
	done := concurrency.NewMark()
	for op := range operators {
		concurrency.Go(func() {
			for n := range each {
				base := look()
				version := base + ids.Version(1+m.pick(3))
				o := &configuration.Order{Base: base, Body: fmt.Appendf(nil,
					`{"version":%d,"route-table":[{"name":"r","authority":"h","path-prefix":"/%d-%d/","route-class":"safe","timeout-ms":9,"service":"s"}],"service-table":[{"name":"s"}]}`, version, op, n)}
				for {
					a := change(&consensus.Order{Base: o.Base, Body: o.Body})
					if m.draw(0.9) || !a.OK && a.Code != codes.OtherVersion {
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
	is.True(done.Wait(5 * clock.Minute))
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
		is.Equal(codes.Of(err), codes.OtherVersion)
	}
	is.Equal(len(acked)+len(refused), operators*each)
	is.Equal(len(last.Taken), len(acked))
	is.True(len(acked) > 0 && len(refused) > 0)
	t.Log(len(acked), "acknowledged,", len(refused), "refused")
}
