package upstream

import (
	"errors"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

const (
	// sendAtOnce is how long a long request may take to leave before its answer is looked for beside
	// the sending.
	sendAtOnce = 2 * clock.Millisecond
	// longRequest is the size in bytes from which on a replica that does not read may hold a
	// request up.
	longRequest = 16 << 10
	// deliveryLook is the time between two looks at whether a replica has taken the rest of a request.
	deliveryLook = 50 * clock.Millisecond
)

var (
	heldUp   = telemetry.Counter("link.requests-held-up")
	answered = telemetry.Counter("link.answers-before-the-end")
)

// sending is a request of which a part has not left yet.
type sending struct {
	mu   sync.Mutex
	over bool
	// whole says that all of it left.
	whole bool
	then  func(whole bool)
}

// finish notes that nothing more is sent.
func (s *sending) finish(whole bool) {
	s.mu.Lock()
	s.over, s.whole = true, whole
	then := s.then
	s.mu.Unlock()
	if then != nil {
		then(whole)
	}
}

// afterwards has something done once nothing more is sent; false if that is so already.
func (s *sending) afterwards(then func(whole bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return false
	}
	s.then = then
	return true
}

// ended tells whether nothing more is sent, and whether all was.
func (s *sending) ended() (over, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over, s.whole
}

// Send sends a request with a head of so many bytes. It returns once the request has left, or a
// long one is held up by a replica that does not read: then the rest is sent while the answer is read, as a
// replica may answer a request before it has read it. begun tells whether the whole head left; a request
// of which it did not cannot have run, and any other may have.
func (k *Conn) Send(request []byte, head int, deadline clock.Tick) (begun bool) {
	k.sending, k.deadline, k.sentAt = nil, deadline, clock.Now()
	k.SetDeadline(deadline)
	until := deadline
	if len(request) > longRequest {
		k.expectShutWindow()
		until = min(deadline, clock.Now().Add(sendAtOnce))
	}
	sent, err := k.write(request, until)
	if sent < head && until < deadline && errors.Is(err, os.ErrDeadlineExceeded) {
		var more int
		more, err = k.write(request[sent:head], deadline)
		sent += more
	}
	switch {
	case sent < head:
		return false
	case sent == len(request):
		return true
	}
	rest := &sending{}
	k.sending = rest
	if until == deadline || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		rest.finish(false)
		return true
	}
	heldUp.Add(1)
	concurrency.Go(func() { k.sendRest(rest, request[sent:], deadline) })
	return true
}

func (k *Conn) sendRest(s *sending, rest []byte, deadline clock.Tick) {
	sent, _ := k.write(rest, deadline)
	s.finish(sent == len(rest))
}

func (k *Conn) write(b []byte, until clock.Tick) (int, error) {
	_ = k.c.SetWriteDeadline(until.Deadline())
	n, err := k.c.Write(b)
	bytesOut.Add(int64(n))
	return n, err
}

// Sending tells whether a part of the last request has not left.
func (k *Conn) Sending() bool {
	if k.sending == nil {
		return false
	}
	over, whole := k.sending.ended()
	return !over || !whole
}

// expectShutWindow has the kernel keep the connection while the replica does not read, for as long
// as the request has. A machine that is gone is then noticed by looking at what it acknowledged.
func (k *Conn) expectShutWindow() {
	if _, ok := k.info(); !ok {
		return
	}
	k.patient = true
	rpc.Tune(k.c, max(unheard, clock.Until(k.deadline)))
}

// expectOpenWindow has the kernel end the connection again once what was sent is not acknowledged.
func (k *Conn) expectOpenWindow() {
	if k.patient {
		k.patient = false
		rpc.Tune(k.c, unheard)
	}
}

// awaitAnswer waits until something of the answer has come. It fails where the replica's machine does
// not acknowledge what it was sent.
func (k *Conn) awaitAnswer() error {
	for k.patient {
		k.SetDeadline(min(k.deadline, clock.Now().Add(unheard/2)))
		_, err := k.br.Peek(1)
		k.SetDeadline(k.deadline)
		if k.delivered() {
			k.expectOpenWindow()
		}
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || clock.Now() >= k.deadline {
			return err
		}
		if k.silent() {
			return unix.ETIMEDOUT
		}
	}
	return nil
}

// delivered tells whether the replica's machine has taken all that was sent.
func (k *Conn) delivered() bool {
	if k.Sending() {
		return false
	}
	info, ok := k.info()
	return ok && info.Unacked == 0 && info.Notsent_bytes == 0
}

// silent tells whether the replica's machine has acknowledged nothing for a while of what it was
// sent. One that only shuts its window acknowledges all that was sent.
func (k *Conn) silent() bool {
	info, ok := k.info()
	if !ok {
		return false
	}
	lastAck := clock.Span(info.Last_ack_recv) * clock.Millisecond
	return info.Unacked > 0 && min(lastAck, clock.Since(k.sentAt)) >= unheard
}

// info is what the kernel knows of the connection; false where it does not tell.
func (k *Conn) info() (info *unix.TCPInfo, ok bool) {
	if k.rc == nil {
		return nil, false
	}
	err := k.rc.Control(func(fd uintptr) {
		var failed error
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ok = failed == nil
	})
	return info, ok && err == nil
}
