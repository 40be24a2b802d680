package rpc

import (
	"net"

	"spoolswitch/internal/telemetry"
)

// Subject is implemented by messages whose bytes are counted by what they are
// about.
type Subject interface {
	// Subject is a short name, one of few.
	Subject() string
}

const (
	unnamed = "other"
	// answer marks the subjects of answers, far those of bytes that leave the zone.
	answer = ".answer"
	far    = ".far"
)

func subject(m any) string {
	if s, ok := m.(Subject); ok {
		return s.Subject()
	}
	return unnamed
}

// countSent counts the bytes of one message under wire.out.SUBJECT, and again
// under wire.out.SUBJECT.far if they go to another zone.
func countSent(subject string, leavesZone bool, bytes int64) {
	telemetry.Counter("wire.out." + subject).Add(bytes)
	if leavesZone {
		telemetry.Counter("wire.out." + subject + far).Add(bytes)
	}
}

var (
	bytesIn  = telemetry.Counter("wire.bytes-in")
	bytesOut = telemetry.Counter("wire.bytes-out")
	sent     = telemetry.Counter("wire.sent")
)

// metered counts what a connection between daemons carries. Writers take turns. What is written is
// counted before it leaves, and also where the connection breaks on the way.
type metered struct {
	net.Conn
	written int64
}

func (m *metered) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	bytesIn.Add(int64(n))
	return n, err
}

func (m *metered) Write(b []byte) (int, error) {
	m.written += int64(len(b))
	bytesOut.Add(int64(len(b)))
	return m.Conn.Write(b)
}
