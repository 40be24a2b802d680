package rpc

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
)

// Tune sets the options that let a dead peer be noticed.
func Tune(c net.Conn, d clock.Span) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/clock.Millisecond))
	})
}

// Gone tells whether the other end of a connection has closed it, as far as is
// known without reading on.
func Gone(c net.Conn) bool {
	if o, ok := c.(Other); ok {
		return o.Gone()
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = err == nil && n == 0 || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return gone || err != nil
}

// Other is a connection of a network that is not the machine's.
type Other interface {
	net.Conn
	// Gone tells whether the other end has closed it.
	Gone() bool
	// Accepted is when it was accepted here.
	Accepted() clock.Tick
}

// Fabric is a network in place of the machine's.
type Fabric interface {
	Dial(a ids.Addr, timeout clock.Span) (net.Conn, error)
	Listen(a ids.Addr) (net.Listener, error)
}

var other atomic.Pointer[Fabric]

// Use puts f in place of the machine's network and returns the way back.
func Use(f Fabric) func() {
	other.Store(&f)
	return func() { other.Store(nil) }
}

// Dial connects to an address given by numbers.
func Dial(a ids.Addr, timeout clock.Span) (net.Conn, error) {
	if f := other.Load(); f != nil {
		return (*f).Dial(a, timeout)
	}
	d := net.Dialer{Timeout: max(timeout, clock.Millisecond), KeepAlive: -1}
	c, err := d.DialContext(context.Background(), "tcp4", string(a))
	if err != nil {
		return nil, err
	}
	Tune(c, silent)
	return c, nil
}

// Listen listens on an address.
func Listen(a ids.Addr) (net.Listener, error) {
	if f := other.Load(); f != nil {
		return (*f).Listen(a)
	}
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		})
	}}
	return lc.Listen(context.Background(), "tcp4", string(a))
}

// Handler answers one message. It may push any number of answers before; ok
// is false if the last answer has been pushed.
type Handler[M any] func(m M, push func(M) error) (a M, ok bool)

// Server answers the calls that come in at one address.
type Server[M any] struct {
	far  func(m M) bool
	l    net.Listener
	h    Handler[M]
	mu   sync.Mutex
	cs   []net.Conn
	shut bool
}

// Serve answers the calls that come in at l.
func Serve[M any](l net.Listener, h Handler[M]) *Server[M] {
	return ServeZoned(l, nil, h)
}

// ServeZoned is Serve with a function that tells whether the sender of a
// message is in another zone, for the counters of bytes.
func ServeZoned[M any](l net.Listener, far func(m M) bool, h Handler[M]) *Server[M] {
	s := &Server[M]{far: far, l: l, h: h}
	concurrency.Go(s.accept)
	return s
}

func (s *Server[M]) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			if isClosed(err) {
				return
			}
			clock.Sleep(10 * clock.Millisecond)
			continue
		}
		Tune(c, silent)
		concurrency.Go(func() { s.serve(c) })
	}
}

// Close ends the listening and all connections.
func (s *Server[M]) Close() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	for _, c := range s.cs {
		_ = c.Close()
	}
}

func (s *Server[M]) keep(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shut {
		s.cs = append(s.cs, c)
	}
	return !s.shut
}

func (s *Server[M]) serve(c net.Conn) {
	defer c.Close()
	if !s.keep(c) {
		return
	}
	defer func() {
		s.mu.Lock()
		s.cs = slices.DeleteFunc(s.cs, func(o net.Conn) bool { return o == c })
		s.mu.Unlock()
	}()
	p := newPipe[M](c)
	for {
		var f Frame[M]
		if err := p.get(&f); err != nil {
			return
		}
		concurrency.Go(func() {
			name, leaves := subject(f.M)+answer, s.far != nil && s.far(f.M)
			reply := func(m M) error { return p.put(&Frame[M]{ID: f.ID, M: m}, name, leaves) }
			if a, ok := s.h(f.M, reply); ok && reply(a) != nil {
				_ = c.Close()
			}
		})
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
