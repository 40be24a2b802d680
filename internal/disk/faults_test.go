package disk

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// chooser takes one way after the other through the choices of a run, or, with
// draw set, ways drawn by lot.
type chooser struct {
	path, width []int
	at          int
	draw        *rand.Rand
}

func (c *chooser) of(n int) int {
	if n <= 1 {
		return 0
	}
	if c.draw != nil {
		return c.draw.Intn(n)
	}
	if c.at == len(c.path) {
		c.path, c.width = append(c.path, 0), append(c.width, n)
	}
	c.at++
	return c.path[c.at-1]
}

// next goes over to the next way; false after the last.
func (c *chooser) next() bool {
	d := len(c.path) - 1
	for d >= 0 && c.path[d]+1 >= c.width[d] {
		d--
	}
	if d < 0 {
		return false
	}
	c.path, c.width, c.at = append(c.path[:d:d], c.path[d]+1), c.width[:d+1], 0
	return true
}

// inode is a file: what programs see, what the disk has, and the writes between
// that no sync covers.
type inode struct {
	now, saved []byte
	open       []func(b []byte, part int) []byte
}

func (i *inode) do(op func(b []byte, part int) []byte) {
	i.now = op(i.now, 2)
	i.open = append(i.open, op)
}

type rename struct {
	name string
	to   *inode
}

// faulty is a disk whose every call may fail, or be the last before the power
// goes, as the chooser says.
type faulty struct {
	c          *chooser
	now, saved map[string]*inode
	open       []rename
	faults     int
	powers     int
	off        bool
}

func newFaulty(c *chooser, faults, powers int) *faulty {
	return &faulty{c: c, now: map[string]*inode{}, saved: map[string]*inode{}, faults: faults, powers: powers}
}

// call tells how a call fails: 0 not at all, then 1 to kinds; -1 without power.
func (d *faulty) call(kinds int) int {
	if d.off {
		return -1
	}
	n := 1
	if d.faults > 0 {
		n += kinds
	}
	if d.powers > 0 {
		n++
	}
	k := d.c.of(n)
	if d.powers > 0 && k == n-1 {
		d.powers--
		d.off = true
		return -1
	}
	if k > 0 {
		d.faults--
	}
	return k
}

// lose takes the power: each thing not synced is kept, lost or torn by itself.
func (d *faulty) lose() {
	for _, n := range d.inodes() {
		for _, op := range n.open {
			if part := d.c.of(3); part > 0 {
				n.saved = op(n.saved, 3-part)
			}
		}
		n.now, n.open = append([]byte(nil), n.saved...), nil
	}
	for _, r := range d.open {
		if d.c.of(2) == 0 {
			set(d.saved, r)
		}
	}
	d.open = nil
	d.now = map[string]*inode{}
	for k, v := range d.saved {
		d.now[k] = v
	}
	d.off = false
}

func (d *faulty) inodes() []*inode {
	var out []*inode
	seen := map[*inode]bool{}
	add := func(n *inode) {
		if n != nil && !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	for _, k := range []string{name, fresh} {
		add(d.now[k])
		add(d.saved[k])
	}
	for _, r := range d.open {
		add(r.to)
	}
	return out
}

func set(m map[string]*inode, r rename) {
	if r.to == nil {
		delete(m, r.name)
		return
	}
	m[r.name] = r.to
}

func (d *faulty) link(n string, to *inode) {
	r := rename{n, to}
	set(d.now, r)
	d.open = append(d.open, r)
}

func (d *faulty) Read(n string) ([]byte, error) {
	if d.call(0) != 0 {
		return nil, errRefused
	}
	f := d.now[n]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.now...), nil
}

func (d *faulty) Open(n string) (File, error) {
	if d.call(1) != 0 {
		return nil, errRefused
	}
	if d.now[n] == nil {
		d.link(n, &inode{})
	}
	return &faultyFile{d, d.now[n]}, nil
}

func (d *faulty) Rename(a, b string) error {
	k := d.call(2)
	if k == 0 || k == 2 {
		d.link(b, d.now[a])
		d.link(a, nil)
	}
	if k != 0 {
		return errRefused
	}
	return nil
}

func (d *faulty) Remove(n string) error {
	if d.call(1) != 0 {
		return errRefused
	}
	if d.now[n] == nil {
		return os.ErrNotExist
	}
	d.link(n, nil)
	return nil
}

func (d *faulty) SyncDir() error {
	k := d.call(2)
	if k == 0 || k == 2 {
		for _, r := range d.open {
			set(d.saved, r)
		}
		d.open = nil
	}
	if k != 0 {
		return errRefused
	}
	return nil
}

type faultyFile struct {
	d *faulty
	n *inode
}

func (f *faultyFile) WriteAt(b []byte, at int64) (int, error) {
	k := f.d.call(1)
	if k < 0 {
		return 0, errRefused
	}
	b = append([]byte(nil), b...)
	if k == 1 {
		b = b[:len(b)/2]
	}
	f.n.do(func(x []byte, part int) []byte {
		w := b[:len(b)*part/2]
		x = append([]byte(nil), x...)
		for int64(len(x)) < at+int64(len(w)) {
			x = append(x, 0)
		}
		copy(x[at:], w)
		return x
	})
	if k == 1 {
		return len(b), errRefused
	}
	return len(b), nil
}

// Sync fails with all on the disk, with nothing but the writes open still, or
// with the writes given up though programs see them: a later sync misses them.
func (f *faultyFile) Sync() error {
	k := f.d.call(3)
	if k == 0 || k == 1 {
		for _, op := range f.n.open {
			f.n.saved = op(f.n.saved, 2)
		}
	}
	if k != 2 {
		f.n.open = nil
	}
	if k == 0 {
		return nil
	}
	return errRefused
}

func (f *faultyFile) Truncate(n int64) error {
	if f.d.call(1) != 0 {
		return errRefused
	}
	f.n.do(func(x []byte, _ int) []byte {
		x = append([]byte(nil), x...)
		for int64(len(x)) < n {
			x = append(x, 0)
		}
		return x[:n]
	})
	return nil
}

func (f *faultyFile) Close() error { return nil }

// life is a program whose state is the newest number that its log took.
type life struct {
	d     *faulty
	l     *Log
	sent  int
	acked int
	kept  bool
}

func (p *life) add() {
	p.sent++
	if p.l != nil && p.l.Append([]byte(strconv.Itoa(p.sent))) == nil {
		p.acked, p.kept = p.sent, true
	}
}

func (p *life) rewrite() {
	if p.l != nil && p.kept {
		_ = p.l.Rewrite([][]byte{[]byte(strconv.Itoa(p.acked))})
	}
}

// start starts the program anew, over a power loss if there was one, and tells
// what is wrong with what it finds.
func (p *life) start() string {
	if p.d.off {
		p.d.lose()
	}
	last, n := 0, 0
	l, s, err := Open(p.d, each(func(b []byte) {
		last, _ = strconv.Atoi(string(b))
		n++
	}))
	p.l = nil
	if err != nil {
		return ""
	}
	p.l = l
	if p.kept && (s != Whole || last < p.acked) || last > p.sent || s == Corrupt {
		return fmt.Sprintf("state %d, %d found of %d sent, %d acknowledged", s, last, p.sent, p.acked)
	}
	// what is read is gone by from now on
	if n > 0 {
		p.acked, p.kept = last, true
	}
	return ""
}

func faultyDay(c *chooser, faults, powers int) string {
	p := &life{d: newFaulty(c, faults, powers)}
	for _, step := range []func(){nil, p.add, p.add, p.rewrite, p.add, nil, p.add, nil, p.rewrite, p.add, nil, nil} {
		if step != nil {
			step()
			continue
		}
		if err := p.start(); err != "" {
			return err
		}
	}
	p.d.off, p.d.powers, p.d.faults = true, 0, 0
	return p.start()
}

// The folder keeps the name's loss and not its gain: the rewritten log is there
// under the other name.
func TestNameLost(t *testing.T) {
	for _, cut := range []int{0, 1} {
		is := is.New(t)
		d := newRAM()
		l, _, _ := open(d)
		is.NoErr(l.Append([]byte("one")))
		is.NoErr(l.Rewrite([][]byte{[]byte("one"), []byte("two")}))
		f := d.files[name]
		f.now = f.now[:len(f.now)-cut]
		delete(d.files, name)
		d.files[fresh] = f
		l, s, got := open(d)
		if cut > 0 { // never renamed
			is.Equal(s, Empty)
			continue
		}
		is.Equal(s, Whole)
		is.Equal(got, []string{"one", "two"})
		is.NoErr(l.Append([]byte("three")))
		_, s, got = open(d)
		is.Equal(s, Whole)
		is.Equal(got, []string{"one", "two", "three"})
	}
}

// A corrupt log stays as it is until it is rewritten, so that a second start
// does not find its first part whole.
func TestCorruptStays(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, _, _ := open(d)
	for _, p := range []string{"one", "two", "three"} {
		is.NoErr(l.Append([]byte(p)))
	}
	d.files[name].now[2*head+4] ^= 1
	for range 2 {
		l, s, got := open(d)
		is.Equal(s, Corrupt)
		is.Equal(got, []string{"one"})
		is.True(l.Append([]byte("more")) != nil)
	}
	l, _, _ = open(d)
	is.NoErr(l.Rewrite([][]byte{[]byte("one, not voting")}))
	is.NoErr(l.Append([]byte("more")))
	_, s, got := open(d)
	is.Equal(s, Whole)
	is.Equal(got, []string{"one, not voting", "more"})
}

// A rewrite that a full disk refuses leaves the log and its room, and is tried
// again only after the log has grown.
func TestRewriteRefused(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, _, _ := open(d)
	for range 100 {
		is.NoErr(l.Append(make([]byte, 20000)))
	}
	is.True(l.Long(20000))
	d.refuse = true
	is.True(l.Rewrite([][]byte{[]byte("live")}) != nil)
	d.refuse = false
	is.True(d.files[fresh] == nil)
	tries := 0
	for range 100 {
		is.NoErr(l.Append(make([]byte, 20000)))
		if l.Long(20000) {
			tries++
		}
	}
	is.True(tries > 0 && tries < 60)
	is.NoErr(l.Rewrite([][]byte{[]byte("live")}))
	_, _, got := open(d)
	is.Equal(got, []string{"live"})
}

// Every call fails once in each of its ways or takes the power, and all that was
// not synced then is kept, torn or lost by itself: what was acknowledged, or
// found at a start, is found at each later start.
func TestEveryFault(t *testing.T) {
	runs := 0
	for c := (&chooser{}); ; {
		if err := faultyDay(c, 1, 1); err != "" {
			t.Fatalf("run %d, way %v: %s", runs, c.path, err)
		}
		runs++
		if !c.next() {
			break
		}
	}
	is.New(t).True(runs > 5000)
	t.Log(runs, "runs")
}

func TestManyFaults(t *testing.T) {
	for i := range 30000 {
		if err := faultyDay(&chooser{draw: rand.New(rand.NewSource(int64(i)))}, 4, 2); err != "" {
			t.Fatalf("seed %d: %s", i, err)
		}
	}
}
