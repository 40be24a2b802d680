package httpmessage

import (
	"bytes"
	"strconv"
)

// Events cuts a stream into whole events.
type Events struct {
	buf  []byte
	from int
	Last int64
	Seen bool
	// N counts the events passed.
	N int64
}

// Add adds bytes of the stream and returns those that end with a whole event
// and were not passed before. Events up to skip are left out. The bytes are
// good until the next call.
func (e *Events) Add(b []byte, skip int64) []byte {
	if len(e.buf) == 0 && skip < 0 {
		if out, rest := e.split(b); len(rest) == 0 {
			return out
		}
	}
	e.buf = append(e.buf, b...)
	var out []byte
	rest := e.buf
	for {
		n := end(rest, e.from)
		if n == 0 {
			break
		}
		ev := rest[:n]
		rest, e.from = rest[n:], 0
		id, ok := ID(ev)
		if ok && id <= skip {
			continue
		}
		if ok {
			e.Last, e.Seen = id, true
		}
		e.N++
		out = append(out, ev...)
	}
	if len(rest) < len(e.buf) {
		e.buf = append([]byte(nil), rest...)
	}
	e.from = max(0, len(e.buf)-2)
	return out
}

func (e *Events) split(b []byte) (out, rest []byte) {
	rest = b
	last, seen, count := e.Last, e.Seen, e.N
	for {
		n := end(rest, 0)
		if n == 0 {
			break
		}
		if id, ok := ID(rest[:n]); ok {
			last, seen = id, true
		}
		count++
		rest = rest[n:]
	}
	if len(rest) == 0 {
		e.Last, e.Seen, e.N = last, seen, count
	}
	return b[:len(b)-len(rest)], rest
}

// Left tells whether part of an event is held.
func (e *Events) Left() bool { return len(e.buf) > 0 }

// Held is how many bytes of a part are held.
func (e *Events) Held() int { return len(e.buf) }

// Cut forgets a part of an event that will not be whole any more.
func (e *Events) Cut() { e.buf, e.from = nil, 0 }

func end(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		if i+1 < len(b) && b[i+1] == '\n' {
			return i + 2
		}
		if i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n' {
			return i + 3
		}
	}
	return 0
}

// ID reads the id of an event.
func ID(ev []byte) (int64, bool) {
	for len(ev) > 0 {
		ln := ev
		if i := bytes.IndexByte(ev, '\n'); i >= 0 {
			ln, ev = ev[:i], ev[i+1:]
		} else {
			ev = nil
		}
		if v, ok := bytes.CutPrefix(ln, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}
