// Package disk keeps an append-only file of checksummed records that is
// rewritten when it gets long.
package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/guards"
)

// State tells what was found when a log was opened.
type State int

const (
	// Empty is a log that was not there.
	Empty State = iota
	// Whole is a log whose every synced record was read.
	Whole
	// Corrupt is a log with a bad record before its last.
	Corrupt
)

const (
	name    = "keep.log"
	fresh   = "keep.new"
	head    = 8
	longest = 64 << 20
	long    = 1 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// File is what a log needs of an open file.
type File interface {
	io.WriterAt
	Sync() error
	Truncate(int64) error
	Close() error
}

// FS is what a log needs of a disk.
type FS interface {
	Read(name string) ([]byte, error)
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// Log is the open log. At any moment at most its last record is not synced.
type Log struct {
	fs    FS
	f     File
	at    int64
	hurt  bool
	owed  bool
	lost  bool
	after int64
}

// Open reads the log and opens it for more; each record goes to fn. What was
// read is on the disk, under its name, before Open returns. A corrupt log is
// left as it is, and takes no record until it has been rewritten. An error of fn
// ends the opening, and leaves the file as it is.
func Open(fs FS, fn func([]byte) error) (*Log, State, error) {
	b, err := fs.Read(name)
	if os.IsNotExist(err) {
		if b, err = renamed(fs); err != nil {
			return nil, Corrupt, err
		}
		err = nil
		if b == nil {
			err = os.ErrNotExist
		}
	}
	if err != nil && !os.IsNotExist(err) {
		return nil, Corrupt, codes.New(codes.DiskRefused, "%v", err)
	}
	state := Whole
	if os.IsNotExist(err) {
		state = Empty
	}
	at, last, bad, err := scan(b, fn)
	if err != nil {
		return nil, Corrupt, err
	}
	if bad {
		state = Corrupt
	}
	if state == Whole && at == 0 {
		state = Empty
	}
	f, err := fs.Open(name)
	if err != nil {
		return nil, state, codes.New(codes.DiskRefused, "%v", err)
	}
	l := &Log{fs: fs, f: f, at: at, lost: bad}
	if bad {
		return l, state, nil
	}
	if err := l.settle(b, last); err != nil {
		_ = f.Close()
		return nil, state, codes.New(codes.DiskRefused, "%v", err)
	}
	return l, state, nil
}

// renamed takes the rewritten log, whole since it was synced before it was
// renamed, if neither the old name nor the new one outlived a loss of power.
func renamed(fs FS) ([]byte, error) {
	b, err := fs.Read(fresh)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, codes.New(codes.DiskRefused, "%v", err)
	}
	at, _, bad, _ := scan(b, func([]byte) error { return nil })
	if bad || at == 0 || at != int64(len(b)) {
		return nil, nil
	}
	if err := fs.Rename(fresh, name); err != nil {
		return nil, codes.New(codes.DiskRefused, "%v", err)
	}
	return b, nil
}

// settle brings the last record, which a killed process may have written
// without a sync or with one that failed, to the disk anew.
func (l *Log) settle(b []byte, last int64) error {
	if int64(len(b)) > l.at {
		if err := l.f.Truncate(l.at); err != nil {
			return err
		}
	}
	if l.at > 0 {
		if _, err := l.f.WriteAt(b[last:l.at], last); err != nil {
			return err
		}
	}
	if err := l.f.Sync(); err != nil {
		return err
	}
	return l.fs.SyncDir()
}

// scan tells where the records end, where the last one begins, and whether
// more are behind a bad one. An error of fn ends it.
func scan(b []byte, fn func([]byte) error) (at, last int64, bad bool, err error) {
	for {
		p, ok := record(b[at:])
		if !ok {
			break
		}
		if err := fn(p); err != nil {
			return at, last, false, err
		}
		last = at
		at += head + int64(len(p))
	}
	for i := at + 1; i+head < int64(len(b)); i++ {
		if p, ok := record(b[i:]); ok && len(p) > 0 {
			return at, last, true, nil
		}
	}
	return at, last, false, nil
}

func record(b []byte) ([]byte, bool) {
	if len(b) < head {
		return nil, false
	}
	n := int64(binary.LittleEndian.Uint32(b))
	if n == 0 || n > longest || n > int64(len(b)-head) {
		return nil, false
	}
	p := b[head : head+n]
	return p, crc32.Checksum(p, table) == binary.LittleEndian.Uint32(b[4:])
}

func frame(p []byte) []byte {
	b := make([]byte, head, head+len(p))
	binary.LittleEndian.PutUint32(b, uint32(len(p)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(p, table))
	return append(b, p...)
}

// Append adds a record and syncs it. After an error the record is not part of
// the log, but may be found as its last at the next start.
func (l *Log) Append(p []byte) error {
	if l.lost {
		return codes.New(codes.DiskRefused, "corrupt, or no file is known to have the name")
	}
	if l.owed {
		if err := l.named(); err != nil {
			return err
		}
	}
	if l.hurt {
		if err := l.mend(); err != nil {
			return err
		}
	}
	b := frame(p)
	if _, err := l.f.WriteAt(b, l.at); err != nil {
		return l.refuse(err)
	}
	if !guards.Off(guards.Sync) {
		if err := l.f.Sync(); err != nil {
			return l.refuse(err)
		}
	}
	l.at += int64(len(b))
	return nil
}

func (l *Log) named() error {
	if guards.Off(guards.Folder) {
		l.owed = false
		return nil
	}
	if err := l.fs.SyncDir(); err != nil {
		return codes.New(codes.DiskRefused, "%v", err)
	}
	l.owed = false
	return nil
}

func (l *Log) refuse(err error) error {
	l.hurt = true
	_ = l.mend()
	return codes.New(codes.DiskRefused, "%v", err)
}

func (l *Log) mend() error {
	if err := l.f.Truncate(l.at); err != nil {
		return codes.New(codes.DiskRefused, "%v", err)
	}
	l.hurt = false
	return nil
}

// Long tells whether the log should be rewritten, given the size of what it
// has to hold. After a rewrite that failed it has to grow first.
func (l *Log) Long(live int64) bool { return l.at > long && l.at > 4*live && l.at > l.after }

// Rewrite puts a new log with just these records in place of the old one. With
// an error the old one stays, or the new one does whose folder is not synced
// yet; either way only what was synced under its name is acknowledged later.
func (l *Log) Rewrite(ps [][]byte) error {
	l.after = l.at + long
	var b []byte
	for _, p := range ps {
		b = append(b, frame(p)...)
	}
	// after a loss of power both names may stand for one file, the log
	if err := l.fs.Remove(fresh); err != nil && !os.IsNotExist(err) {
		return codes.New(codes.DiskRefused, "%v", err)
	}
	f, err := l.fs.Open(fresh)
	if err != nil {
		return codes.New(codes.DiskRefused, "%v", err)
	}
	if _, err = f.WriteAt(b, 0); err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close()
		_ = l.fs.Remove(fresh) // its room is the log's
		return codes.New(codes.DiskRefused, "%v", err)
	}
	if err := l.fs.Rename(fresh, name); err != nil {
		if _, gone := l.fs.Read(fresh); !os.IsNotExist(gone) {
			l.lost = l.lost || gone != nil
			_ = f.Close()
			if gone == nil {
				_ = l.fs.Remove(fresh)
			}
			return codes.New(codes.DiskRefused, "%v", err)
		}
	}
	_ = l.f.Close()
	l.f, l.at, l.hurt, l.lost, l.owed, l.after = f, int64(len(b)), false, false, true, 0
	return l.named()
}

// Dir is a folder as a disk.
type Dir string

// Read reads a file whole.
func (d Dir) Read(n string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), n)) }

// Open opens a file for writing and makes it if it is not there.
func (d Dir) Open(n string) (File, error) {
	if err := d.make(); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(string(d), n), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := d.SyncDir(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// make makes the folder; its name is synced as well.
func (d Dir) make() error {
	if _, err := os.Stat(string(d)); !os.IsNotExist(err) {
		return err
	}
	if up := Dir(filepath.Dir(string(d))); up != d {
		if err := up.make(); err != nil {
			return err
		}
		if err := os.Mkdir(string(d), 0o755); err != nil && !os.IsExist(err) {
			return err
		}
		return up.SyncDir()
	}
	return os.MkdirAll(string(d), 0o755)
}

// Rename renames a file.
func (d Dir) Rename(a, b string) error {
	return os.Rename(filepath.Join(string(d), a), filepath.Join(string(d), b))
}

// Remove removes a file.
func (d Dir) Remove(n string) error { return os.Remove(filepath.Join(string(d), n)) }

// SyncDir syncs the folder.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
