package wire

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Gone tells whether the other end of a connection has closed it or reset it,
// as far as that has arrived. Bytes that wait to be read say that it has not.
func Gone(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return err != nil || gone
}
