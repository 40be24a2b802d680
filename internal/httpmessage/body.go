package httpmessage

import (
	"bufio"
	"bytes"
	"io"
	"math"

	"spoolswitch/internal/codes"
)

// Body reads a framed body; it ends with io.EOF only if the body is whole.
type Body struct {
	br    *bufio.Reader
	f     Framing
	left  int64
	begun bool
	done  bool
}

// NewBody makes the reader of a body.
func NewBody(br *bufio.Reader, f Framing) *Body {
	b := &Body{br: br, f: f, left: f.Length}
	if f.UntilClose {
		b.left = math.MaxInt64
		return b
	}
	b.done = f.None || (!f.Chunked && f.Length == 0)
	return b
}

// Whole tells whether the body was read to its end.
func (b *Body) Whole() bool { return b.done }

// Read reads part of the body, no more than came at once.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.f.Chunked && b.left == 0 {
		if err := b.chunk(); err != nil {
			return 0, err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	b.left -= int64(n)
	if b.left == 0 && !b.f.Chunked {
		b.done = true
	}
	switch {
	case n > 0:
		err = nil
	case err == io.EOF && b.f.UntilClose:
		b.done = true
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *Body) line() ([]byte, error) {
	ln, err := b.br.ReadSlice('\n')
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if !bytes.HasSuffix(ln, crlf) {
		return nil, codes.New(codes.BadBody, "a bare line feed")
	}
	return ln[:len(ln)-2], nil
}

func (b *Body) chunk() error {
	if b.begun {
		ln, err := b.line()
		if err != nil {
			return err
		}
		if len(ln) != 0 {
			return codes.New(codes.BadBody, "a chunk longer than it says")
		}
	}
	b.begun = true
	ln, err := b.line()
	if err != nil {
		return err
	}
	if i := bytes.IndexByte(ln, ';'); i >= 0 {
		ln = bytes.TrimRight(ln[:i], " \t")
	}
	if len(ln) == 0 || len(ln) > 8 {
		return codes.New(codes.BadBody, "a chunk of no size")
	}
	var n int64
	for _, c := range ln {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int64(c-'0')
		case c >= 'a' && c <= 'f':
			n = n<<4 | int64(c-'a'+10)
		case c >= 'A' && c <= 'F':
			n = n<<4 | int64(c-'A'+10)
		default:
			return codes.New(codes.BadBody, "a chunk of no size")
		}
	}
	if n > 0 {
		b.left = n
		return nil
	}
	for i := 0; ; i++ {
		ln, err := b.line()
		if err != nil {
			return err
		}
		if len(ln) == 0 {
			b.done = true
			return nil
		}
		if i > 32 || bytes.IndexByte(ln, ':') <= 0 {
			return codes.New(codes.BadBody, "a malformed trailer")
		}
	}
}

// ReadAll reads a body of at most most bytes.
func (b *Body) ReadAll(most int) ([]byte, error) {
	if b.f.Length > int64(most) {
		return nil, codes.New(codes.BodyTooLarge, "")
	}
	out := make([]byte, 0, max(512, min(b.f.Length, 64<<10)))
	for {
		if len(out) == cap(out) {
			out = append(out, 0)[:len(out)]
		}
		n, err := b.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if len(out) > most {
			return nil, codes.New(codes.BodyTooLarge, "")
		}
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
