package httpmessage

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
)

// Response is the head of a replica's answer.
type Response struct {
	Framing
	Status int
	Close  bool
	Alive  clock.Span
	bare   bool
	told   int64
	codec  fasthttp.ResponseHeader
	oneHop [][]byte
}

// ReadResponse reads the head of an answer.
func ReadResponse(br *bufio.Reader) (*Response, error) {
	a := &Response{}
	for {
		raw, err := peek(br)
		if err != nil {
			return nil, err
		}
		first, f, err := lines(raw, a.field)
		if err != nil {
			return nil, err
		}
		if len(first) < 12 || !(bytes.HasPrefix(first, []byte("HTTP/1.1 ")) || bytes.HasPrefix(first, []byte("HTTP/1.0 "))) ||
			(len(first) > 12 && first[12] != ' ') {
			return nil, codes.New(codes.ReplicaBroke, "no status line")
		}
		st, err := number(first[9:12])
		if err != nil || st < 100 {
			return nil, codes.New(codes.ReplicaBroke, "no status")
		}
		if st < 200 && st != 101 {
			_, _ = br.Discard(len(raw))
			continue
		}
		a.Framing, a.Status = f, int(st)
		a.Close = a.Close || first[7] == '0'
		a.codec.DisableNormalizing()
		a.codec.SetNoDefaultContentType(true)
		if err := a.codec.Read(br); err != nil {
			return nil, codes.New(codes.ReplicaBroke, "%v", err)
		}
		switch {
		case st == 204 || st == 304:
			a.Framing = Framing{}
		case a.None && st != 101:
			a.UntilClose, a.Close = true, true
		}
		return a, nil
	}
}

func (a *Response) field(k, v []byte) error {
	switch {
	case bytes.EqualFold(k, []byte("connection")):
		for _, p := range bytes.Split(v, []byte(",")) {
			p = bytes.TrimSpace(p)
			a.Close = a.Close || bytes.EqualFold(p, []byte("close"))
			a.oneHop = append(a.oneHop, bytes.Clone(p))
		}
	case bytes.EqualFold(k, []byte("keep-alive")):
		for p := range strings.SplitSeq(string(v), ",") {
			if s, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout="); ok {
				if n, err := strconv.ParseFloat(s, 64); err == nil {
					a.Alive = clock.Ms(n * 1000)
				}
			}
		}
	}
	return nil
}

// Field reads a field.
func (a *Response) Field(k string) []byte {
	for f, v := range a.codec.All() {
		if len(f) == len(k) && strings.EqualFold(string(f), k) {
			return v
		}
	}
	return nil
}

// Bodiless says that no body follows, whatever the head tells of its length:
// the answer to a HEAD.
func (a *Response) Bodiless() {
	a.bare, a.told = true, a.Length
	if a.None || a.Chunked {
		a.told = -1
	}
	a.Framing = Framing{}
}

// Append writes the head as the client gets it; n is the length of the body,
// or -1 for chunks. Where there is no body, its length is as the head told.
func (a *Response) Append(b []byte, n int, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = appendInt(b, a.Status)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(a.Status)...)
	for k, v := range a.codec.All() {
		if !hop(k, a.oneHop) {
			b = append(append(append(append(b, crlf...), k...), ": "...), v...)
		}
	}
	switch {
	case a.bare && a.told >= 0 && a.Status != 204 && a.Status != 304:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, a.told, 10)
	case a.bare:
	case n < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case a.Status != 204 && a.Status != 304:
		b = append(b, "\r\nContent-Length: "...)
		b = appendInt(b, n)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	return append(b, endHead...)
}
