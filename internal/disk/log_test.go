package disk

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
)

// ram is a disk that keeps what was synced apart from what was written.
type ram struct {
	files  map[string]*ramFile
	refuse bool
}

type ramFile struct {
	d     *ram
	now   []byte
	saved []byte
}

func newRAM() *ram { return &ram{files: map[string]*ramFile{}} }

var errRefused = errors.New("no space")

func (d *ram) Read(n string) ([]byte, error) {
	f := d.files[n]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.now...), nil
}

func (d *ram) Open(n string) (File, error) {
	if d.files[n] == nil {
		d.files[n] = &ramFile{d: d}
	}
	return d.files[n], nil
}

func (d *ram) Rename(a, b string) error {
	d.files[b] = d.files[a]
	delete(d.files, a)
	return nil
}

func (d *ram) Remove(n string) error {
	delete(d.files, n)
	return nil
}

func (d *ram) SyncDir() error { return nil }

// lose takes the power: of what was not synced the first keep bytes stay.
func (d *ram) lose(keep int) {
	for _, f := range d.files {
		n := append([]byte(nil), f.saved...)
		if len(f.now) > len(n) {
			n = append(n, f.now[len(n):min(len(f.now), len(n)+keep)]...)
		}
		f.now = n
	}
}

func (f *ramFile) WriteAt(b []byte, at int64) (int, error) {
	if f.d.refuse {
		half := b[:len(b)/2]
		f.now = append(f.now[:at], half...)
		return len(half), errRefused
	}
	f.now = append(f.now[:at], b...)
	return len(b), nil
}

func (f *ramFile) Sync() error {
	f.saved = append([]byte(nil), f.now...)
	return nil
}

func (f *ramFile) Truncate(n int64) error {
	f.now = f.now[:n]
	return nil
}

func (f *ramFile) Close() error { return nil }

func open(d *ram) (*Log, State, []string) {
	var got []string
	l, s, err := Open(d, each(func(b []byte) { got = append(got, string(b)) }))
	if err != nil {
		panic(err)
	}
	return l, s, got
}

func TestKeeps(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, s, _ := open(d)
	is.Equal(s, Empty)
	is.NoErr(l.Append([]byte("one")))
	is.NoErr(l.Append([]byte("two")))
	_, s, got := open(d)
	is.Equal(s, Whole)
	is.Equal(got, []string{"one", "two"})
}

// Power lost with any part of the last record written: the rest stands.
func TestTornTail(t *testing.T) {
	for keep := range 20 {
		t.Run(fmt.Sprint(keep), func(t *testing.T) {
			is := is.New(t)
			d := newRAM()
			l, _, _ := open(d)
			is.NoErr(l.Append([]byte("one")))
			f := d.files[name]
			f.now = append(f.now, frame([]byte("second"))...)
			d.lose(keep)
			l, s, got := open(d)
			is.Equal(s, Whole)
			if keep >= len(frame([]byte("second"))) {
				is.Equal(got, []string{"one", "second"})
				return
			}
			is.Equal(got, []string{"one"})
			is.NoErr(l.Append([]byte("third")))
			_, _, got = open(d)
			is.Equal(got, []string{"one", "third"})
		})
	}
}

// A bad record with a good one behind it is no torn tail.
func TestCorrupt(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, _, _ := open(d)
	is.NoErr(l.Append([]byte("one")))
	is.NoErr(l.Append([]byte("two")))
	is.NoErr(l.Append([]byte("three")))
	d.files[name].now[2*head+4] ^= 1
	_, s, got := open(d)
	is.Equal(s, Corrupt)
	is.Equal(got, []string{"one"})
}

// A refused write is no part of the log, then or later.
func TestRefused(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, _, _ := open(d)
	is.NoErr(l.Append([]byte("one")))
	d.refuse = true
	is.True(l.Append([]byte("lost")) != nil)
	is.True(l.Append([]byte("lost too")) != nil)
	d.refuse = false
	is.NoErr(l.Append([]byte("two")))
	_, s, got := open(d)
	is.Equal(s, Whole)
	is.Equal(got, []string{"one", "two"})
}

func TestRewrite(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, _, _ := open(d)
	for range 100 {
		is.NoErr(l.Append(make([]byte, 20000)))
	}
	is.True(l.Long(20000))
	is.NoErr(l.Rewrite([][]byte{[]byte("live")}))
	is.True(!l.Long(20000))
	is.NoErr(l.Append([]byte("more")))
	_, s, got := open(d)
	is.Equal(s, Whole)
	is.Equal(got, []string{"live", "more"})
}

func TestDir(t *testing.T) {
	is := is.New(t)
	d := Dir(t.TempDir() + "/data")
	l, s, err := Open(d, each(func([]byte) {}))
	is.NoErr(err)
	is.Equal(s, Empty)
	is.NoErr(l.Append([]byte("one")))
	is.NoErr(l.Rewrite([][]byte{[]byte("two")}))
	is.NoErr(l.Append([]byte("three")))
	n := 0
	_, s, err = Open(d, each(func([]byte) { n++ }))
	is.NoErr(err)
	is.Equal(s, Whole)
	is.Equal(n, 2)
}

func FuzzScan(f *testing.F) {
	f.Add(append(frame([]byte("one")), frame([]byte("two"))...))
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, b []byte) {
		n := int64(0)
		at, _, _, _ := scan(b, each(func(p []byte) { n += head + int64(len(p)) }))
		if at != n || at > int64(len(b)) {
			t.Fatalf("read %d, stands at %d of %d", n, at, len(b))
		}
	})
}

// each takes every record.
func each(fn func([]byte)) func([]byte) error {
	return func(b []byte) error {
		fn(b)
		return nil
	}
}

// A record that its reader refuses ends the opening, and nothing is written.
func TestRefusedByReader(t *testing.T) {
	is := is.New(t)
	d := newRAM()
	l, _, err := Open(d, each(func([]byte) {}))
	is.NoErr(err)
	is.NoErr(l.Append([]byte("one")))
	is.NoErr(l.Append([]byte("two")))
	before, err := d.Read(name)
	is.NoErr(err)
	refusal := errors.New("not legible")
	_, _, err = Open(d, func(b []byte) error {
		if string(b) == "two" {
			return refusal
		}
		return nil
	})
	is.True(errors.Is(err, refusal))
	after, err := d.Read(name)
	is.NoErr(err)
	is.Equal(after, before)
}
