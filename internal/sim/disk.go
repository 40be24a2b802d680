package sim

import (
	"errors"
	"io/fs"
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/disk"
)

var (
	errFull = errors.New("no space left on device")
	errIO   = errors.New("input/output error")
)

// Disk is a disk whose unsynced state a loss of power keeps, loses or tears one
// by one.
type Disk struct {
	w *concurrency.World
	// Slow bounds how long a call takes beyond a little.
	Slow clock.Span
	// Full refuses every write.
	Full bool
	// Stalled has calls wait until it ends.
	Stalled bool
	// Refuse counts the calls of a kind down; the one that gets to 0 is refused.
	Refuse map[string]int
	// Forgetful disks drop what a refused sync should have kept.
	Forgetful bool

	names  map[string]*inode
	synced map[string]*inode
	moves  []move
	syncs  int
}

type inode struct {
	now, kept []byte
	writes    []write
}

type write struct {
	at  int64
	b   []byte
	cut bool
}

type move struct {
	from, to string
	f        *inode
}

// NewDisk makes an empty disk.
func NewDisk(w *concurrency.World) *Disk {
	return &Disk{w: w, names: map[string]*inode{}, synced: map[string]*inode{}, Refuse: map[string]int{}}
}

func (d *Disk) call(kind string) error {
	clock.Sleep(clock.Span(concurrency.Int64N(int64(400 * clock.Millisecond / 1000))))
	if d.Slow > 0 {
		clock.Sleep(d.Slow/4 + clock.Span(concurrency.Int64N(int64(d.Slow))))
	}
	for d.Stalled {
		clock.Sleep(20 * clock.Millisecond)
	}
	if n, ok := d.Refuse[kind]; ok {
		if d.Refuse[kind] = n - 1; n <= 1 {
			delete(d.Refuse, kind)
			return errIO
		}
	}
	return nil
}

// Read reads a file whole.
func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.call("read"); err != nil {
		return nil, err
	}
	f := d.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.now), nil
}

// Open opens a file and makes it if it is not there.
func (d *Disk) Open(name string) (disk.File, error) {
	if err := d.call("open"); err != nil {
		return nil, err
	}
	f := d.names[name]
	if f == nil {
		if d.Full {
			return nil, errFull
		}
		f = &inode{}
		d.names[name] = f
		d.moves = append(d.moves, move{to: name, f: f})
	}
	if err := d.SyncDir(); err != nil {
		return nil, err
	}
	return &file{d, f}, nil
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	if err := d.call("rename"); err != nil {
		return err
	}
	f := d.names[from]
	if f == nil {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = f
	d.moves = append(d.moves, move{from, to, f})
	return nil
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	if err := d.call("remove"); err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	d.moves = append(d.moves, move{from: name})
	return nil
}

// SyncDir syncs the folder.
func (d *Disk) SyncDir() error {
	if err := d.call("sync-dir"); err != nil {
		return err
	}
	for _, m := range d.moves {
		m.apply(d.synced)
	}
	d.moves = nil
	return nil
}

func (m move) apply(names map[string]*inode) {
	if m.from != "" {
		delete(names, m.from)
	}
	if m.to != "" {
		names[m.to] = m.f
	}
}

type file struct {
	d *Disk
	f *inode
}

func (w write) apply(b []byte) []byte {
	if w.cut {
		for int64(len(b)) < w.at {
			b = append(b, 0)
		}
		return b[:w.at]
	}
	for int64(len(b)) < w.at {
		b = append(b, 0)
	}
	k := copy(b[w.at:], w.b)
	return append(b, w.b[k:]...)
}

func (f *file) do(w write) {
	f.f.now = w.apply(f.f.now)
	f.f.writes = append(f.f.writes, w)
}

// WriteAt writes; a refused write may have left a part.
func (f *file) WriteAt(b []byte, at int64) (int, error) {
	err := f.d.call("write")
	if f.d.Full {
		err = errFull
	}
	b = slices.Clone(b)
	if err != nil {
		k := concurrency.IntN(len(b) + 1)
		f.do(write{at: at, b: b[:k]})
		return k, err
	}
	f.do(write{at: at, b: b})
	return len(b), nil
}

// Truncate cuts the file.
func (f *file) Truncate(n int64) error {
	if err := f.d.call("truncate"); err != nil {
		return err
	}
	f.do(write{at: n, cut: true})
	return nil
}

// Sync has all that was written kept.
func (f *file) Sync() error {
	if err := f.d.call("sync"); err != nil {
		if f.d.Forgetful {
			f.f.writes = nil
		}
		return err
	}
	f.d.syncs++
	for _, w := range f.f.writes {
		f.f.kept = w.apply(f.f.kept)
	}
	f.f.writes = nil
	return nil
}

// Close closes the file.
func (f *file) Close() error { return f.d.call("close") }

// Off is a loss of power: what was not synced is kept, lost or torn one by one.
func (d *Disk) Off() {
	for _, m := range d.moves {
		if concurrency.IntN(2) == 0 {
			m.apply(d.synced)
		}
	}
	d.moves = nil
	d.names = map[string]*inode{}
	names := []string{}
	for n := range d.synced {
		names = append(names, n)
	}
	slices.Sort(names)
	done := map[*inode]bool{}
	for _, n := range names {
		f := d.synced[n]
		d.names[n] = f
		if done[f] {
			continue
		}
		done[f] = true
		for _, w := range f.writes {
			switch concurrency.IntN(3) {
			case 0:
				f.kept = w.apply(f.kept)
			case 1:
				if !w.cut && len(w.b) > 0 {
					w.b = w.b[:concurrency.IntN(len(w.b))]
					f.kept = w.apply(f.kept)
				}
			}
		}
		f.writes = nil
		f.now = slices.Clone(f.kept)
	}
}

// Wipe is the loss of the disk.
func (d *Disk) Wipe() {
	d.names, d.synced, d.moves = map[string]*inode{}, map[string]*inode{}, nil
}

var _ disk.FS = (*Disk)(nil)
