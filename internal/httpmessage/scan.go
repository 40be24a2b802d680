// Package httpmessage reads and writes the heads and bodies of HTTP/1.1 messages.
// fasthttp is the codec; what could be read in two ways is turned away before
// the codec sees it.
package httpmessage

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"spoolswitch/internal/codes"
)

var (
	crlf    = []byte("\r\n")
	endHead = []byte("\r\n\r\n")
)

// Framing tells how long a body is. Where the head says nothing of it, None is
// set; the body of an answer then goes on until its connection ends.
type Framing struct {
	Length     int64
	Chunked    bool
	None       bool
	UntilClose bool
}

func peek(br *bufio.Reader) ([]byte, error) {
	from := 0
	for {
		b, _ := br.Peek(br.Buffered())
		if i := bytes.Index(b[from:], endHead); i >= 0 {
			return b[:from+i+len(endHead)], nil
		}
		if i := bytes.Index(b[from:], []byte("\n\n")); i >= 0 {
			return nil, codes.New(codes.BadHead, "a bare line feed")
		}
		from = max(0, len(b)-len(endHead)+1)
		if _, err := br.Peek(len(b) + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, codes.New(codes.HeadTooLarge, "")
			}
			if errors.Is(err, io.EOF) && len(b) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

func isToken(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func tokens(b []byte) bool {
	for _, c := range b {
		if !isToken(c) {
			return false
		}
	}
	return len(b) > 0
}

func lines(raw []byte, fn func(k, v []byte) error) (first []byte, f Framing, err error) {
	bad := func(s string) ([]byte, Framing, error) { return nil, f, codes.New(codes.BadHead, "%s", s) }
	raw = raw[:len(raw)-len(crlf)]
	f.None = true
	sized := false
	for n := 0; len(raw) > 0; n++ {
		i := bytes.Index(raw, crlf)
		ln := raw[:i]
		raw = raw[i+len(crlf):]
		for _, c := range ln {
			if (c < ' ' && c != '\t') || c == 0x7f {
				return bad("a control byte")
			}
		}
		if n == 0 {
			first = ln
			continue
		}
		c := bytes.IndexByte(ln, ':')
		if c <= 0 || !tokens(ln[:c]) {
			return bad("a field without a name")
		}
		k, v := ln[:c], bytes.Trim(ln[c+1:], " \t")
		switch {
		case bytes.EqualFold(k, []byte("content-length")):
			if sized || f.Chunked {
				return bad("two lengths")
			}
			if f.Length, err = number(v); err != nil {
				return bad("a length that is no number")
			}
			sized, f.None = true, false
		case bytes.EqualFold(k, []byte("transfer-encoding")):
			if sized || f.Chunked {
				return bad("two lengths")
			}
			if !bytes.EqualFold(v, []byte("chunked")) {
				return bad("an unknown coding")
			}
			f.Chunked, f.None = true, false
		}
		if err := fn(k, v); err != nil {
			return nil, f, err
		}
	}
	return first, f, nil
}

func number(v []byte) (int64, error) {
	if len(v) == 0 || len(v) > 15 {
		return 0, errors.New("no number")
	}
	var n int64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, errors.New("no number")
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}
