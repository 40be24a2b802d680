// Package disk keeps an append-only file of checksummed records that is
// rewritten when it gets long.
package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"spoolswitch/internal/code"
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
	SyncDir() error
}

// Log is the open log.
type Log struct {
	fs   FS
	f    File
	at   int64
	hurt bool
}

// Open reads the log and opens it for more; each record goes to fn.
func Open(fs FS, fn func([]byte)) (*Log, State, error) {
	b, err := fs.Read(name)
	if err != nil && !os.IsNotExist(err) {
		return nil, Corrupt, code.New(code.DiskRefused, "%v", err)
	}
	state := Whole
	if os.IsNotExist(err) {
		state = Empty
	}
	at, bad := scan(b, fn)
	if bad {
		state = Corrupt
	}
	if state == Whole && at == 0 {
		state = Empty
	}
	f, err := fs.Open(name)
	if err != nil {
		return nil, state, code.New(code.DiskRefused, "%v", err)
	}
	l := &Log{fs: fs, f: f, at: at}
	if int64(len(b)) > at {
		if err := f.Truncate(at); err != nil {
			return nil, state, code.New(code.DiskRefused, "%v", err)
		}
	}
	return l, state, nil
}

func scan(b []byte, fn func([]byte)) (int64, bool) {
	var at int64
	for {
		p, ok := record(b[at:])
		if !ok {
			break
		}
		fn(p)
		at += head + int64(len(p))
	}
	for i := at + 1; i+head < int64(len(b)); i++ {
		if p, ok := record(b[i:]); ok && len(p) > 0 {
			return at, true
		}
	}
	return at, false
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
// the log.
func (l *Log) Append(p []byte) error {
	if l.hurt {
		if err := l.mend(); err != nil {
			return err
		}
	}
	b := frame(p)
	if _, err := l.f.WriteAt(b, l.at); err != nil {
		return l.refuse(err)
	}
	if err := l.f.Sync(); err != nil {
		return l.refuse(err)
	}
	l.at += int64(len(b))
	return nil
}

func (l *Log) refuse(err error) error {
	l.hurt = true
	_ = l.mend()
	return code.New(code.DiskRefused, "%v", err)
}

func (l *Log) mend() error {
	if err := l.f.Truncate(l.at); err != nil {
		return code.New(code.DiskRefused, "%v", err)
	}
	l.hurt = false
	return nil
}

// Long tells whether the log should be rewritten, given the size of what it
// has to hold.
func (l *Log) Long(live int64) bool { return l.at > long && l.at > 4*live }

// Rewrite puts a new log with just these records in place of the old one.
func (l *Log) Rewrite(ps [][]byte) error {
	f, err := l.fs.Open(fresh)
	if err != nil {
		return code.New(code.DiskRefused, "%v", err)
	}
	var b []byte
	for _, p := range ps {
		b = append(b, frame(p)...)
	}
	if err = f.Truncate(0); err == nil {
		if _, err = f.WriteAt(b, 0); err == nil {
			err = f.Sync()
		}
	}
	if err == nil {
		err = l.fs.Rename(fresh, name)
	}
	if err == nil {
		err = l.fs.SyncDir()
	}
	if err != nil {
		_ = f.Close()
		return code.New(code.DiskRefused, "%v", err)
	}
	_ = l.f.Close()
	l.f, l.at, l.hurt = f, int64(len(b)), false
	return nil
}

// Dir is a folder as a disk.
type Dir string

// Read reads a file whole.
func (d Dir) Read(n string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), n)) }

// Open opens a file for writing and makes it if it is not there.
func (d Dir) Open(n string) (File, error) {
	if err := os.MkdirAll(string(d), 0o755); err != nil {
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

// Rename renames a file.
func (d Dir) Rename(a, b string) error {
	return os.Rename(filepath.Join(string(d), a), filepath.Join(string(d), b))
}

// SyncDir syncs the folder.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
