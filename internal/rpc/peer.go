// Package rpc carries gob messages between daemons: many calls at once on
// one connection, each with one answer or a run of them.
package rpc

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Frame is a message with the number of the call that it belongs to. The first
// one each way also tells the form of the messages that its sender knows.
type Frame[M any] struct {
	ID   uint64
	M    M
	Form uint64
}

const (
	silent = 1500 * clock.Millisecond
	// callsMost bounds the calls that are open to one daemon at once.
	callsMost = 512
)

var callsRefused = telemetry.Counter("wire.calls-refused")

type pipe[M any] struct {
	c   net.Conn
	mu  concurrency.Mutex
	m   *metered
	w   *bufio.Writer
	enc *gob.Encoder
	dec *gob.Decoder

	form        uint64
	told, heard bool
}

var otherRelease = telemetry.Counter("wire.other-release")

func newPipe[M any](c net.Conn) *pipe[M] {
	m := &metered{Conn: c}
	w := bufio.NewWriterSize(m, 2048)
	return &pipe[M]{c: c, m: m, w: w, enc: gob.NewEncoder(w), dec: gob.NewDecoder(bufio.NewReaderSize(m, 2048)), form: Form[M]()}
}

// get reads the next frame. One from a daemon whose messages have another form
// is refused, and no other read: its fields would have to be guessed.
func (p *pipe[M]) get(f *Frame[M]) error {
	err := p.dec.Decode(f)
	if p.heard || cut(err) {
		return err
	}
	p.heard = true
	if err == nil && f.Form != p.form {
		err = codes.New(codes.OtherRelease, "form %x, not %x", f.Form, p.form)
	}
	if err != nil {
		otherRelease.Add(1)
		telemetry.Trouble("daemon of another release refused", "from", p.c.RemoteAddr(), "err", err)
	}
	return err
}

func cut(err error) bool {
	var n net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) || isClosed(err)
}

// put sends a frame; its bytes are counted under a subject, before the last of them leave: whoever has
// the whole frame finds it counted.
func (p *pipe[M]) put(f *Frame[M], subject string, leavesZone bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.m.written
	_ = p.c.SetWriteDeadline(clock.Now().Add(silent).Deadline())
	sent.Add(1)
	if !p.told {
		p.told = true
		f.Form = p.form
	}
	err := p.enc.Encode(f)
	countSent(subject, leavesZone, p.m.written-before+int64(p.w.Buffered()))
	if err != nil {
		return err
	}
	return p.w.Flush()
}

// Peer is the client's end of the wire to one daemon. It dials when needed.
type Peer[M any] struct {
	Addr ids.Addr
	// Far, if set, tells whether the daemon is in another zone.
	Far  func() bool
	turn concurrency.Turn
	mu   sync.Mutex
	p    *pipe[M]
	next uint64
	open map[uint64]func(M, bool)
}

// NewPeer makes the wire to a daemon.
func NewPeer[M any](a ids.Addr) *Peer[M] {
	return &Peer[M]{Addr: a, turn: concurrency.Turn{Max: 64}, open: map[uint64]func(M, bool){}}
}

func (r *Peer[M]) line(deadline clock.Tick) (*pipe[M], error) {
	r.mu.Lock()
	p := r.p
	r.mu.Unlock()
	if p != nil {
		return p, nil
	}
	if !r.turn.Take(clock.Until(deadline)) {
		return nil, codes.New(codes.PeerLost, "%s", r.Addr)
	}
	defer r.turn.Give()
	r.mu.Lock()
	p = r.p
	r.mu.Unlock()
	if p != nil {
		return p, nil
	}
	c, err := Dial(r.Addr, min(clock.Until(deadline), silent))
	if err != nil {
		return nil, codes.New(codes.PeerLost, "%v", err)
	}
	p = newPipe[M](c)
	r.mu.Lock()
	r.p = p
	r.mu.Unlock()
	concurrency.Go(func() { r.read(p) })
	return p, nil
}

func (r *Peer[M]) read(p *pipe[M]) {
	for {
		var f Frame[M]
		if err := p.get(&f); err != nil {
			r.drop(p)
			return
		}
		r.mu.Lock()
		fn := r.open[f.ID]
		r.mu.Unlock()
		if fn != nil {
			fn(f.M, true)
		}
	}
}

func (r *Peer[M]) drop(p *pipe[M]) {
	_ = p.c.Close()
	r.mu.Lock()
	if r.p != p {
		r.mu.Unlock()
		return
	}
	r.p = nil
	open := r.open
	r.open = map[uint64]func(M, bool){}
	r.mu.Unlock()
	var none M
	for _, id := range slices.Sorted(maps.Keys(open)) {
		open[id](none, false)
	}
}

// Close cuts the wire; open calls end.
func (r *Peer[M]) Close() {
	r.mu.Lock()
	p := r.p
	r.mu.Unlock()
	if p != nil {
		r.drop(p)
	}
}

// Stream sends m and hands every answer to fn, until the wire breaks (ok is
// false then) or the function that it returns is called.
func (r *Peer[M]) Stream(m M, timeout clock.Span, fn func(m M, ok bool)) (func(), error) {
	p, err := r.line(clock.Now().Add(timeout))
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	if len(r.open) >= callsMost {
		r.mu.Unlock()
		callsRefused.Add(1)
		return nil, codes.New(codes.QueueFull, "%d calls are open to %s", callsMost, r.Addr)
	}
	r.next++
	id := r.next
	r.open[id] = fn
	r.mu.Unlock()
	end := func() {
		r.mu.Lock()
		delete(r.open, id)
		r.mu.Unlock()
	}
	if err := p.put(&Frame[M]{ID: id, M: m}, subject(m), r.Far != nil && r.Far()); err != nil {
		end()
		r.drop(p)
		return nil, codes.New(codes.PeerLost, "%v", err)
	}
	return end, nil
}

// Call sends m and waits for the answer.
func (r *Peer[M]) Call(m M, timeout clock.Span) (M, error) {
	c := newCall[M]()
	at := clock.Now().Add(timeout)
	end, err := r.Stream(m, timeout, c.hear)
	if err != nil {
		var none M
		return none, err
	}
	defer end()
	a, got := c.wait(clock.Until(at))
	if !got {
		return a, codes.New(codes.PeerLost, "%s", r.Addr)
	}
	return a, nil
}
