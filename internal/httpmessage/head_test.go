package httpmessage

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
)

func reader(s string, one bool) *bufio.Reader {
	var r io.Reader = strings.NewReader(s)
	if one {
		r = iotest.OneByteReader(r)
	}
	return bufio.NewReaderSize(r, 4096)
}

func TestRequest(t *testing.T) {
	for _, one := range []bool{false, true} {
		is := is.New(t)
		br := reader("\r\nPOST /a/b?c=%20 HTTP/1.1\r\nhost: H:80\r\nX-Odd:  v \r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nNEXT", one)
		q, err := ReadRequest(br)
		is.NoErr(err)
		is.Equal(q.URI, "/a/b?c=%20")
		is.Equal(q.Host, "H:80")
		is.True(q.Close)
		is.Equal(string(q.Field("x-odd")), "v")
		b, err := NewBody(br, q.Framing).ReadAll(100)
		is.NoErr(err)
		is.Equal(string(b), "abcde")
		rest, _ := io.ReadAll(br)
		is.Equal(string(rest), "NEXT")
		out := string(q.Append(nil, len(b), Set{K: "Expect-Replica", V: "i"}))
		is.True(strings.HasPrefix(out, "POST /a/b?c=%20 HTTP/1.1\r\nHost: H:80\r\n"))
		is.True(strings.Contains(out, "X-Odd: v\r\n"))
		is.True(strings.Contains(out, "Content-Length: 5\r\n\r\n"))
		is.True(!strings.Contains(out, "X-Hop") && !strings.Contains(out, "chunked"))
	}
}

func TestSetInPlace(t *testing.T) {
	is := is.New(t)
	q, err := ReadRequest(reader("GET / HTTP/1.1\r\nHost: h\r\ndeadline-ms: 5000\r\nExpect-Replica: forged\r\n\r\n", false))
	is.NoErr(err)
	out := string(q.Append(nil, 0, Set{K: DeadlineMs, V: "40"}, Set{K: Expected, V: "i-1"}))
	is.Equal(out, "GET / HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 40\r\nExpect-Replica: i-1\r\n\r\n")
}

func TestHeadTooLarge(t *testing.T) {
	is := is.New(t)
	_, err := ReadRequest(reader("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 5000)+"\r\n\r\n", false))
	is.Equal(codes.Of(err), codes.HeadTooLarge)
}

func TestBodyIsWholeOrNot(t *testing.T) {
	for s, want := range map[string]bool{
		"5\r\nabcde\r\n0\r\n\r\n": true, "5\r\nabcde\r\n0\r\n": false, "5\r\nabcde\r\n": false, "5\r\nabc": false,
		"5\r\nabcdefg\r\n0\r\n\r\n": false, "ffffffffff\r\nabc": false, "5\nabcde\r\n0\r\n\r\n": false, "": false,
	} {
		is := is.New(t)
		b := NewBody(reader(s, false), Framing{Chunked: true})
		_, err := b.ReadAll(100)
		is.Equal(err == nil, want)
		is.Equal(b.Whole(), want)
	}
}

// However the bytes of a stream arrive, the events passed on are the same,
// whole ones only.
func TestEvents(t *testing.T) {
	is := is.New(t)
	var s string
	for i := 1; i <= 5; i++ {
		s += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	s += "weight-versions: 2\nid: 6\r\ndata: y\r\n\r\n"
	for size := 1; size <= len(s); size++ {
		var e Events
		var out string
		for at := 0; at < len(s); at += size {
			out += string(e.Add([]byte(s[at:min(len(s), at+size)]), -1))
		}
		is.Equal(out, s)
		is.Equal(e.Last, int64(6))
		is.True(!e.Left())
	}
	var e Events
	got := string(e.Add([]byte(s+"id: 7\nda"), 4))
	is.True(strings.HasPrefix(got, "id: 5\n"))
	is.True(e.Left())
	is.Equal(e.Last, int64(6))
}

// What was looked through without an end of an event is not looked through again.
func TestLongEvent(t *testing.T) {
	is := is.New(t)
	var e Events
	for range 256 {
		is.Equal(len(e.Add(bytes.Repeat([]byte("x"), 4096), -1)), 0)
		is.True(e.from >= e.Held()-2)
	}
	is.Equal(e.Held(), 1<<20)
	for _, s := range []string{"\n", "\r", "\n"} {
		is.True(e.Left())
		e.Add([]byte(s), -1)
	}
	is.True(!e.Left())
	is.Equal(e.N, int64(1))
}

func FuzzRequest(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Fuzz(func(t *testing.T, s string) {
		br := reader(s, false)
		q, err := ReadRequest(br)
		if err != nil {
			return
		}
		b, err := NewBody(br, q.Framing).ReadAll(1 << 16)
		if err != nil {
			return
		}
		out := string(q.Append(nil, len(b))) + string(b)
		p, err := ReadRequest(reader(out, false))
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || codes.Of(err) == codes.HeadTooLarge {
				return
			}
			t.Fatalf("%q became %q: %v", s, out, err)
		}
		if p.URI != q.URI || p.Method != q.Method || p.Host != q.Host || p.Chunked || (!p.None && p.Length != int64(len(b))) {
			t.Fatalf("%q became %q", s, out)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		if size < 1 {
			return
		}
		var whole, parts Events
		want := string(whole.Add(b, -1))
		got := ""
		for at := 0; at < len(b); at += size {
			got += string(parts.Add(b[at:min(len(b), at+size)], -1))
		}
		if got != want {
			t.Fatalf("%q in parts of %d: %q, not %q", b, size, got, want)
		}
	})
}
