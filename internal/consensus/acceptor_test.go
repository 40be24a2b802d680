package consensus

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/disk"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/interleave"
)

// page is a disk in memory. At the write numbered fail the power goes: the
// record is on the disk only if torn is false, and nobody is answered.
type page struct {
	recs [][]byte
	fail int
	torn bool
	n    int
	off  bool
}

var errPower = errors.New("no power")

func (p *page) Append(b []byte) error {
	if p.off {
		return errPower
	}
	p.n++
	if p.n == p.fail {
		p.off = true
		if !p.torn {
			p.recs = append(p.recs, b)
		}
		return errPower
	}
	p.recs = append(p.recs, b)
	return nil
}

func (p *page) Long(int64) bool           { return false }
func (p *page) Rewrite(ps [][]byte) error { p.recs = ps; return nil }

func (p *page) start() *Acceptor {
	p.off, p.fail = false, 0
	a := NewAcceptor()
	for _, r := range p.recs {
		a.Replay(r)
	}
	a.Use(p)
	return a
}

var three = Roster{Num: 1, Seat: []ids.Node{"a", "b", "c"}}

type site struct {
	acc   map[ids.Node]*Acceptor
	pages map[ids.Node]*page
	tried map[ids.Node]ids.Epoch
}

func newSite(r Roster) *site {
	s := &site{map[ids.Node]*Acceptor{}, map[ids.Node]*page{}, map[ids.Node]ids.Epoch{}}
	for _, n := range r.Seat {
		s.pages[n] = &page{}
		s.acc[n] = s.pages[n].start()
		_ = s.acc[n].Found(r, nil)
	}
	return s
}

// ask asks one acceptor; one whose power went starts again from its disk.
func (s *site) ask(n ids.Node, m Msg) Msg {
	var a Msg
	if m.Kind == Vote {
		a = s.acc[n].Vote(m.Key, m.Epoch, m.Roster)
	} else {
		a = s.acc[n].Accept(m.Key, m.At, m.Val, m.Roster)
	}
	if s.pages[n].off {
		s.acc[n] = s.pages[n].start()
		return Msg{}
	}
	return a
}

// owner is a thread that wins a lease and has a value accepted: the one found,
// or its own. done gets what it knows to stand with a majority.
// It asks just those in ask.
func owner(s *site, r Roster, ask []ids.Node, self ids.Node, round uint64, own string, done func(string)) interleave.Thread {
	e := ids.Epoch{Round: round, Node: self, Life: round}
	votes, accepts := map[ids.Node]Msg{}, map[ids.Node]Msg{}
	val, won := "", false
	var fs []func()
	for _, n := range ask {
		fs = append(fs, func() {
			s.tried[self] = e
			votes[n] = s.ask(n, Msg{Kind: Vote, Key: "k", Epoch: e, Roster: r})
		})
	}
	for _, n := range ask {
		fs = append(fs, func() {
			if len(accepts) == 0 && !won {
				best, ok := Best(r, votes)
				if !ok {
					return
				}
				if won, val = true, string(best.Val); val == "" {
					val = own
				}
			}
			accepts[n] = s.ask(n, Msg{Kind: Accept, Key: "k", At: ids.Place{Epoch: e, Seq: 1}, Val: []byte(val), Roster: r})
			if r.Majority(oks(accepts)) {
				done(val)
			}
		})
	}
	return interleave.Steps(fs...)
}

// Two owners in every order: what stands with a majority never changes.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	n := interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		s := newSite(three)
		stood := map[string]bool{}
		done := func(v string) { stood[v] = true }
		return []interleave.Thread{owner(s, three, three.Seat, "a", 1, "one", done), owner(s, three, three.Seat, "b", 2, "two", done)},
			func(o []int) {
				if len(stood) > 1 {
					t.Errorf("two values stood in order %v", o)
				}
			}
	})
	is.Equal(n, 924)
}

// The same with the power of one acceptor going between write and sync.
func TestTwoOwnersPowerLost(t *testing.T) {
	for at := 2; at <= 5; at++ {
		for _, torn := range []bool{true, false} {
			interleave.All(t, func() ([]interleave.Thread, func([]int)) {
				s := newSite(three)
				s.pages["b"].fail, s.pages["b"].torn = at, torn
				stood := map[string]bool{}
				done := func(v string) { stood[v] = true }
				return []interleave.Thread{owner(s, three, three.Seat, "a", 1, "one", done), owner(s, three, three.Seat, "c", 2, "two", done)},
					func(o []int) {
						if len(stood) > 1 {
							t.Errorf("two values stood in order %v (write %d, torn %v)", o, at, torn)
						}
					}
			})
		}
	}
}

// guard is a part of the way back of a lost disk that a test leaves out.
type guard int

const (
	allGuards guard = iota
	noReading
	noLeases
	noFloor
)

// wiper loses the disk of n at its first step, then reads the others, raises
// their floor one by one, reads them again, and votes when they cover every
// majority.
func wiper(s *site, r Roster, n ids.Node, off guard) interleave.Thread {
	read := func(o ids.Node) Msg {
		tried := map[ids.Key]ids.Epoch{}
		if e, ok := s.tried[o]; ok && off != noLeases {
			tried["k"] = e
		}
		return Msg{OK: true, Roster: r, Cells: Surveyed(s.acc[o].Cells(), tried)}
	}
	var floor ids.Epoch
	first, got := map[ids.Node]Msg{}, map[ids.Node]Msg{}
	fs := []func(){func() {
		s.pages[n] = &page{}
		s.acc[n] = s.pages[n].start()
		if off == noReading {
			_ = s.acc[n].Found(r, nil)
		}
	}, func() {
		for _, o := range r.Seat {
			if o != n {
				first[o] = read(o)
			}
		}
		floor = Floor(first, n, 1)
	}}
	for _, o := range r.Seat {
		if o == n {
			continue
		}
		fs = append(fs, func() {
			if off != noFloor {
				_ = s.acc[o].Raise(floor)
			}
			got[o] = read(o)
			if r, cells, ok := Regained(n, got); ok && off != noReading {
				if off != noFloor {
					cells[floorKey] = Cell{Promised: floor}
				}
				_ = s.acc[n].Found(r, cells)
			}
		})
	}
	return interleave.Steps(fs...)
}

func wipes(t *testing.T, first, second []ids.Node, off guard) (broken bool, orders int) {
	orders = interleave.All(t, func() ([]interleave.Thread, func([]int)) {
		s := newSite(three)
		stood := map[string]bool{}
		done := func(v string) { stood[v] = true }
		return []interleave.Thread{owner(s, three, first, "a", 1, "one", done), owner(s, three, second, "c", 2, "two", done), wiper(s, three, "b", off)},
			func([]int) { broken = broken || len(stood) > 1 }
	})
	return broken, orders
}

var asks = [][2][]ids.Node{{{"a", "b"}, {"c", "b"}}, {{"b", "c"}, {"b", "a"}}, {{"b", "a"}, {"a", "b"}}}

// A disk lost at any moment and read back from the others breaks nothing.
func TestTwoOwnersDiskLost(t *testing.T) {
	for _, ask := range asks {
		t.Run(fmt.Sprint(ask), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			broken, n := wipes(t, ask[0], ask[1], allGuards)
			is.True(!broken)
			is.Equal(n, 34650)
		})
	}
}

// Each guard is needed: without it some order breaks the register.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, off := range []guard{noReading, noFloor} {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			t.Parallel()
			broken := false
			for _, ask := range asks[:2] {
				b, _ := wipes(t, ask[0], ask[1], off)
				broken = broken || b
			}
			is.New(t).True(broken)
		})
	}
}

func TestOldEpochIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(three)
	e := func(n uint64) ids.Epoch { return ids.Epoch{Round: n, Node: "a"} }
	a := s.acc["a"]
	is.True(a.Vote("k", e(2), three).OK)
	is.True(!a.Vote("k", e(1), three).OK)
	is.True(!a.Accept("k", ids.Place{Epoch: e(1), Seq: 9}, nil, three).OK)
	is.True(a.Accept("k", ids.Place{Epoch: e(2), Seq: 2}, []byte("v"), three).OK)
	is.True(!a.Accept("k", ids.Place{Epoch: e(2), Seq: 1}, []byte("w"), three).OK) // never back within a lease
	is.True(a.Hold("k", e(2), three).OK)
	is.True(!a.Hold("k", e(1), three).OK)
}

func TestOldRosterIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(three)
	a := s.acc["a"]
	is.NoErr(a.Adopt(Roster{Num: 2, Seat: three.Seat, Next: []ids.Node{"a", "b", "d"}}))
	e := ids.Epoch{Round: 1, Node: "a"}
	is.True(!a.Vote("k", e, three).OK)
	is.True(!a.Accept("k", ids.Place{Epoch: e, Seq: 1}, nil, three).OK)
	is.Equal(s.pages["a"].start().Roster().Num, uint64(2)) // it is on the disk
}

// A write that the disk refuses is never answered as though it stood.
func TestRefusedWrite(t *testing.T) {
	is := is.New(t)
	s := newSite(three)
	s.pages["a"].off = true
	a := s.acc["a"]
	e := ids.Epoch{Round: 1, Node: "a"}
	is.True(!a.Vote("k", e, three).OK)
	is.True(!a.Accept("k", ids.Place{Epoch: e, Seq: 1}, []byte("v"), three).OK)
	is.True(a.Cell("k").At.Zero())
}

// A corrupt log is no vote at a second start either, which finds its good part.
func TestCorruptTwice(t *testing.T) {
	is := is.New(t)
	d := disk.Dir(t.TempDir())
	a := NewAcceptor()
	_, err := a.Open(d)
	is.NoErr(err)
	is.NoErr(a.Found(three, nil))
	for n := range 3 {
		is.True(a.Accept("k", ids.Place{Epoch: ids.Epoch{Round: uint64(n + 1)}, Seq: 1}, []byte("value"), three).OK)
	}
	f := filepath.Join(string(d), "keep.log")
	b, err := os.ReadFile(f)
	is.NoErr(err)
	b[len(b)*2/3] ^= 1
	is.NoErr(os.WriteFile(f, b, 0o644))
	for _, want := range []disk.State{disk.Corrupt, disk.Whole} {
		a = NewAcceptor()
		st, err := a.Open(d)
		is.NoErr(err)
		is.Equal(st, want)
		is.True(!a.Voting())
		is.Equal(a.Roster(), three) // its good part is kept
	}
}

// A record that is whole and cannot be decoded may hold a promise: the disk is
// refused, its file kept, and nothing is voted for until an operator takes the
// file away. Then it counts as a lost disk.
func TestIllegibleRecord(t *testing.T) {
	is := is.New(t)
	d := disk.Dir(t.TempDir())
	a := NewAcceptor()
	_, err := a.Open(d)
	is.NoErr(err)
	is.NoErr(a.Found(three, nil))
	l, _, err := disk.Open(d, func([]byte) error { return nil })
	is.NoErr(err)
	is.NoErr(l.Append([]byte("a record of a later release")))
	file := filepath.Join(string(d), "keep.log")
	before, err := os.ReadFile(file)
	is.NoErr(err)
	a = NewAcceptor()
	for range 2 {
		_, err = a.Open(d)
		is.Equal(codes.Of(err), codes.DiskIllegible)
		is.True(!a.Voting())
		is.True(!a.Ready())
		e := ids.Epoch{Round: 9, Node: "a"}
		is.True(!a.Vote("k", e, three).OK)
	}
	after, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(after, before)
	is.NoErr(os.Remove(file))
	a = NewAcceptor()
	state, err := a.Open(d)
	is.NoErr(err)
	is.Equal(state, disk.Empty)
	is.True(!a.Voting())
}
