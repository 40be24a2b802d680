// Package upstream keeps connections to replicas and carries one request at a
// time over each.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

const (
	readSize    = 4096
	idleDefault = 4 * clock.Second
	idleMargin  = 500 * clock.Millisecond
	unheard     = 500 * clock.Millisecond
	strangers   = 2
)

var (
	dials    = telemetry.Counter("link.dials")
	reused   = telemetry.Counter("link.reused")
	surplus  = telemetry.Counter("link.surplus")
	mistaken = telemetry.Counter("link.mistaken")
	bytesOut = telemetry.Counter("link.bytes-out")
)

// Conn is a connection to a replica.
type Conn struct {
	c     net.Conn
	rc    syscall.RawConn
	br    *bufio.Reader
	used  int
	until clock.Tick
	spent bool
	tries [remembered]uint64
	// sending is the part of the last request that did not leave at once, nil if all of it did;
	// deadline and sentAt are that request's.
	sending          *sending
	deadline, sentAt clock.Tick
	// patient says that the kernel waits for a replica that does not read.
	patient bool
}

// remembered is how many of the last tries on a connection are remembered.
const remembered = 4

// Quiet is a connection without a socket that tells whether nothing has come on
// it that was not read.
type Quiet interface{ Quiet() bool }

func dial(a ids.Addr, timeout clock.Span) (*Conn, error) {
	dials.Add(1)
	c, err := rpc.Dial(a, timeout)
	if err != nil {
		return nil, err
	}
	rpc.Tune(c, unheard)
	k := &Conn{c: c, br: bufio.NewReaderSize(c, readSize)}
	if t, ok := c.(*net.TCPConn); ok {
		k.rc, _ = t.SyscallConn()
	}
	return k, nil
}

func (k *Conn) quiet() bool {
	if k.br.Buffered() > 0 {
		return false
	}
	if k.rc == nil {
		q, ok := k.c.(Quiet)
		return !ok || q.Quiet()
	}
	ok := false
	err := k.rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = err == unix.EAGAIN
	})
	return err == nil && ok
}

// SetDeadline sets the moment past which reading ends.
func (k *Conn) SetDeadline(t clock.Tick) { _ = k.c.SetReadDeadline(t.Deadline()) }

// Response reads the head of the answer to the try id. Answers to other tries
// are passed over, and the connection is not used again; nor is it where the
// try has no id that could tell its answer from others.
func (k *Conn) Response(id []byte) (*httpmessage.Response, error) {
	k.spent = k.spent || len(id) == 0
	if err := k.awaitAnswer(); err != nil {
		k.spent = true
		return nil, err
	}
	for i := 0; ; i++ {
		a, err := httpmessage.ReadResponse(k.br)
		if err != nil {
			k.spent = true
			return nil, err
		}
		if string(a.Field(httpmessage.AttemptID)) == string(id) {
			if a.Close {
				k.spent = true
			}
			if k.Sending() {
				answered.Add(1)
			}
			return a, nil
		}
		k.spent = true
		mistaken.Add(1)
		if i >= strangers || (a.None && !a.Chunked) {
			return nil, ErrMistaken
		}
		if _, err := httpmessage.NewBody(k.br, a.Framing).ReadAll(1 << 20); err != nil {
			return nil, err
		}
	}
}

// Body is the reader of the answer's body.
func (k *Conn) Body(a *httpmessage.Response) *httpmessage.Body {
	return httpmessage.NewBody(k.br, a.Framing)
}

// Unheard tells whether an error says that the other end's machine has not even
// taken notice of what was sent.
func Unheard(err error) bool {
	return errors.Is(err, unix.ETIMEDOUT) || errors.Is(err, unix.EHOSTUNREACH)
}

// Spend says that the connection is not to be used again.
func (k *Conn) Spend() { k.spent = true }

// take notes the try that the connection is for; false if it served that try
// before, for an answer that comes once more could not be told apart then.
func (k *Conn) take(try uint64) bool {
	for _, t := range k.tries[:min(k.used, remembered)] {
		if t == try {
			return false
		}
	}
	k.tries[k.used%remembered] = try
	return true
}

// Cut closes the connection at once.
func (k *Conn) Cut() { _ = k.c.Close() }
