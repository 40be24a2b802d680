package consensus

import (
	"bytes"
	"encoding/gob"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/disk"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
)

// Cell is what an acceptor has of one key.
type Cell struct {
	Promised ids.Epoch
	At       ids.Place
	Val      []byte
}

// Acceptor promises and accepts for one disk.
type Acceptor struct {
	lane   concurrency.Turn
	st     Store
	mu     sync.Mutex
	cells  map[ids.Key]Cell
	roster Roster
	voting bool
	// unvoted says that this disk never voted, nor one before it.
	unvoted  bool
	founders []ids.Node
}

const laneWait = 3 * clock.Second

// NewAcceptor makes an acceptor out of the records of its disk.
func NewAcceptor() *Acceptor {
	return &Acceptor{lane: concurrency.Turn{Max: 256}, cells: map[ids.Key]Cell{}}
}

// Replay takes one record of the disk in. One that is whole by its checksum and
// cannot be decoded, as of a later release, may hold a promise: without it the
// disk must not vote.
func (a *Acceptor) Replay(p []byte) error {
	var e entry
	if err := gob.NewDecoder(bytes.NewReader(p)).Decode(&e); err != nil {
		return codes.New(codes.DiskIllegible, "a record of %d bytes: %v", len(p), err)
	}
	a.apply(&e)
	return nil
}

func (a *Acceptor) apply(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.Key != "" {
		a.cells[e.Key] = e.Cell
	}
	if e.Roster != nil && e.Roster.Num >= a.roster.Num {
		a.roster = *e.Roster
	}
	if e.Voting {
		a.voting = true
	}
	a.unvoted = (a.unvoted || e.Unvoted) && !a.voting
	if len(e.Founders) > 0 {
		a.founders = e.Founders
	}
}

// Use tells the acceptor which store to write to.
func (a *Acceptor) Use(st Store) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.st = st
}

// Open opens the disk and takes its records in. Of a corrupt log it keeps what
// was read, as that of a keeper that does not vote, in one rewrite: a start
// later must not find a whole log that says otherwise. A log with a record that
// cannot be decoded is refused with codes.DiskIllegible, and its file kept.
func (a *Acceptor) Open(fs disk.FS) (disk.State, error) {
	l, s, err := disk.Open(fs, a.Replay)
	if err != nil {
		return s, err
	}
	if s == disk.Corrupt {
		a.mu.Lock()
		a.voting = false
		a.mu.Unlock()
		if err := l.Rewrite(a.records(a.Cells())); err != nil {
			return s, err
		}
	}
	a.Use(l)
	return s, nil
}

// Voting tells whether the acceptor may vote: not before its disk is open.
func (a *Acceptor) Voting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voting && a.st != nil
}

// First notes on an empty disk that it is one of the first start of the system,
// with the seeds of that start: until it votes, nothing of it was ever counted,
// and whatever restarts come first, it founds the roster with these.
func (a *Acceptor) First(founders []ids.Node) error {
	if !a.lane.Take(laneWait) {
		return codes.New(codes.DiskRefused, "busy")
	}
	defer a.lane.Give()
	return a.write(&entry{Unvoted: true, Founders: founders})
}

// Unvoted tells whether the disk has never voted, and is no successor of one
// that may have.
func (a *Acceptor) Unvoted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unvoted
}

// Founders are the seeds with which this disk is yet to found the roster; none if
// it has voted, or was not there at the first start.
func (a *Acceptor) Founders() []ids.Node {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.unvoted {
		return nil
	}
	return a.founders
}

// Roster is the roster that the acceptor goes by.
func (a *Acceptor) Roster() Roster {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.roster
}

// Cell reads what the acceptor has of a key.
func (a *Acceptor) Cell(k ids.Key) Cell {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cells[k]
}

// Cells reads all that the acceptor has.
func (a *Acceptor) Cells() map[ids.Key]Cell {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[ids.Key]Cell, len(a.cells))
	for k, c := range a.cells {
		out[k] = c
	}
	return out
}

func (a *Acceptor) write(e *entry) error {
	a.mu.Lock()
	st := a.st
	a.mu.Unlock()
	if st == nil {
		return codes.New(codes.DiskRefused, "not open")
	}
	if err := st.Append(e.encode()); err != nil {
		return err
	}
	a.apply(e)
	return nil
}

// Found starts the log of a keeper that takes part from the beginning, or of
// one that has read enough others.
func (a *Acceptor) Found(r Roster, cells map[ids.Key]Cell) error {
	if !a.lane.Take(laneWait) {
		return codes.New(codes.DiskRefused, "busy")
	}
	defer a.lane.Give()
	for k, c := range sorted(cells) {
		if have := a.Cell(k); !have.At.Less(c.At) && !have.Promised.Less(c.Promised) {
			continue
		}
		if err := a.write(&entry{Key: k, Cell: c}); err != nil {
			return err
		}
	}
	return a.write(&entry{Roster: &r, Voting: true})
}

// Adopt goes over to a newer roster.
func (a *Acceptor) Adopt(r Roster) error {
	if r.Num <= a.Roster().Num {
		return nil
	}
	if !a.lane.Take(laneWait) {
		return codes.New(codes.DiskRefused, "busy")
	}
	defer a.lane.Give()
	if r.Num <= a.Roster().Num {
		return nil
	}
	return a.write(&entry{Roster: &r})
}

func (a *Acceptor) result(k ids.Key, ok bool, c codes.Code) Msg {
	cell := a.Cell(k)
	if f := a.floor(); cell.Promised.Less(f) {
		cell.Promised = f
	}
	m := Msg{OK: ok, Code: c, Key: k, Epoch: cell.Promised, At: cell.At, Roster: a.Roster()}
	if ok { // who is refused has no use for the value
		m.Val = cell.Val
	}
	return m
}

const floorKey ids.Key = "floor"

func (a *Acceptor) floor() ids.Epoch {
	if guards.Off(guards.Floor) {
		return ids.Epoch{}
	}
	return a.Cell(floorKey).Promised
}

// Raise makes the acceptor take nothing of an epoch before e, of any key.
func (a *Acceptor) Raise(e ids.Epoch) error {
	if !a.lane.Take(laneWait) {
		return codes.New(codes.DiskRefused, "busy")
	}
	defer a.lane.Give()
	if !a.floor().Less(e) {
		return nil
	}
	return a.write(&entry{Key: floorKey, Cell: Cell{Promised: e}})
}

func (a *Acceptor) outdated(r Roster) bool {
	return r.Num < a.Roster().Num && !guards.Off(guards.Roster)
}

func (a *Acceptor) earlier(e, promised ids.Epoch) bool {
	return e.Less(promised) && !guards.Off(guards.Epoch) || e.Less(a.floor())
}

// Vote asks for a promise to take nothing of an epoch before e.
func (a *Acceptor) Vote(k ids.Key, e ids.Epoch, r Roster) Msg {
	if !a.lane.Take(laneWait) {
		return Msg{Code: codes.DiskRefused}
	}
	defer a.lane.Give()
	if !a.Voting() {
		return Msg{Code: codes.NotVoting, Roster: a.Roster()}
	}
	c := a.Cell(k)
	if a.outdated(r) || a.earlier(e, c.Promised) {
		return a.result(k, false, codes.NoMajority)
	}
	if c.Promised == e {
		return a.result(k, true, codes.OK)
	}
	c.Promised = e
	if err := a.write(&entry{Key: k, Cell: c}); err != nil {
		return Msg{Code: codes.Of(err)}
	}
	return a.result(k, true, codes.OK)
}

// Accept asks to have a value on the disk.
func (a *Acceptor) Accept(k ids.Key, at ids.Place, val []byte, r Roster) Msg {
	if !a.lane.Take(laneWait) {
		return Msg{Code: codes.DiskRefused}
	}
	defer a.lane.Give()
	if !a.Voting() {
		return Msg{Code: codes.NotVoting, Roster: a.Roster()}
	}
	c := a.Cell(k)
	if a.outdated(r) || a.earlier(at.Epoch, c.Promised) || at.Less(c.At) {
		return a.result(k, false, codes.NoMajority)
	}
	if c.At == at {
		return Msg{OK: true, Key: k, At: at}
	}
	if err := a.write(&entry{Key: k, Cell: Cell{Promised: at.Epoch, At: at, Val: val}}); err != nil {
		return Msg{Code: codes.Of(err)}
	}
	a.shorten()
	return Msg{OK: true, Key: k, At: at}
}

// Hold tells whether the epoch e still has this acceptor's promise.
func (a *Acceptor) Hold(k ids.Key, e ids.Epoch, r Roster) Msg {
	if !a.Voting() {
		return Msg{Code: codes.NotVoting, Roster: a.Roster()}
	}
	if a.outdated(r) || a.Cell(k).Promised != e || e.Less(a.floor()) {
		return a.result(k, false, codes.NoMajority)
	}
	return Msg{OK: true, Key: k}
}

func (a *Acceptor) shorten() {
	var live int64
	cells := a.Cells()
	for _, c := range cells {
		live += int64(len(c.Val)) + 256
	}
	if a.st.Long(live) {
		_ = a.st.Rewrite(a.records(cells))
	}
}

func (a *Acceptor) records(cells map[ids.Key]Cell) [][]byte {
	r := a.Roster()
	ps := [][]byte{(&entry{Roster: &r, Voting: a.Voting(), Unvoted: a.Unvoted(), Founders: a.Founders()}).encode()}
	for k, c := range sorted(cells) {
		ps = append(ps, (&entry{Key: k, Cell: c}).encode())
	}
	return ps
}

// Rewrite rewrites the log with what counts.
func (a *Acceptor) Rewrite() error {
	if !a.lane.Take(laneWait) {
		return codes.New(codes.DiskRefused, "busy")
	}
	defer a.lane.Give()
	if !a.Ready() {
		return codes.New(codes.DiskRefused, "not open")
	}
	return a.st.Rewrite(a.records(a.Cells()))
}

// Ready tells whether the disk is open.
func (a *Acceptor) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.st != nil
}

// Close ends all writing; what is asked for later is refused.
func (a *Acceptor) Close() {
	got := a.lane.Take(laneWait)
	a.mu.Lock()
	a.st, a.voting = shut{}, false
	a.mu.Unlock()
	if got {
		a.lane.Give()
	}
}
