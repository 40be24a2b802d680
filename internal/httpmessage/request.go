package httpmessage

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/codes"
)

// Request is the head of a request as a client sent it.
type Request struct {
	Framing
	Method  string
	URI     string
	Host    string
	Close   bool
	Expect  bool
	codec   fasthttp.RequestHeader
	oneHop  [][]byte
	special map[string]int
}

// The fields that the relay itself reads.
const (
	AttemptID   = "Attempt-Id"
	DeadlineMs  = "Deadline-Ms"
	Prefix      = "Prompt-Prefix"
	Tokens      = "Token-Counts"
	Model       = "Model"
	LastEvent   = "Last-Event-Id"
	Expected    = "Expect-Replica"
	Seal        = "Replica-Seal"
	Load        = "Replica-Load"
	NotExecuted = "Not-Executed"
	Urgency     = "Urgency-Class"
	ColdMs      = "Cold-Ms"
	ReplicaID   = "Replica-Id"
	RetryAfter  = "Retry-After"
	Weights     = "Weight-Versions"
	APIKey      = "X-Api-Key"
	Tenant      = "Tenant"
)

var once = []string{AttemptID, DeadlineMs, Prefix, Tokens, Model, LastEvent, Expected, APIKey}

// ReadRequest reads the head of a request.
func ReadRequest(br *bufio.Reader) (*Request, error) {
	for {
		b, err := br.Peek(2)
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(b, crlf) {
			break
		}
		_, _ = br.Discard(2)
	}
	raw, err := peek(br)
	if err != nil {
		return nil, err
	}
	q := &Request{special: map[string]int{}}
	hosts, conn := 0, [][]byte(nil)
	first, f, err := lines(raw, func(k, v []byte) error {
		switch {
		case bytes.EqualFold(k, []byte("host")):
			hosts++
			q.Host = string(v)
		case bytes.EqualFold(k, []byte("connection")):
			for _, p := range bytes.Split(v, []byte(",")) {
				conn = append(conn, bytes.Clone(bytes.TrimSpace(p)))
			}
		case bytes.EqualFold(k, []byte("expect")):
			if !bytes.EqualFold(v, []byte("100-continue")) {
				return codes.New(codes.BadHead, "an unknown expectation")
			}
			q.Expect = true
		default:
			for _, n := range once {
				if len(n) == len(k) && strings.EqualFold(n, string(k)) {
					if q.special[n]++; q.special[n] > 1 {
						return codes.New(codes.BadHead, "%s stands twice", n)
					}
				}
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	parts := bytes.Split(first, []byte(" "))
	if len(parts) != 3 || !tokens(parts[0]) || len(parts[1]) == 0 {
		return nil, codes.New(codes.BadHead, "a first line of %d parts", len(parts))
	}
	old := bytes.Equal(parts[2], []byte("HTTP/1.0"))
	if !old && !bytes.Equal(parts[2], []byte("HTTP/1.1")) {
		return nil, codes.New(codes.BadHead, "an unknown protocol")
	}
	if parts[1][0] != '/' {
		return nil, codes.New(codes.BadHead, "a target that is no path")
	}
	if hosts != 1 {
		return nil, codes.New(codes.BadHead, "%d hosts", hosts)
	}
	if old && f.Chunked {
		return nil, codes.New(codes.BadHead, "chunks in an old protocol")
	}
	q.Framing, q.Method, q.URI = f, string(parts[0]), string(parts[1])
	q.Close = old
	for _, c := range conn {
		q.Close = q.Close || bytes.EqualFold(c, []byte("close"))
		if len(c) > 0 {
			q.oneHop = append(q.oneHop, c)
		}
	}
	q.codec.DisableNormalizing()
	q.codec.SetNoDefaultContentType(true)
	if err := q.codec.Read(br); err != nil {
		return nil, codes.New(codes.BadHead, "%v", err)
	}
	return q, nil
}

// Field reads a field.
func (q *Request) Field(k string) []byte {
	if v := q.codec.Peek(k); len(v) > 0 {
		return v
	}
	for f, v := range q.codec.All() {
		if len(f) == len(k) && strings.EqualFold(string(f), k) {
			return v
		}
	}
	return nil
}

// Values are all values of a field, in the order in which they came.
func (q *Request) Values(k string) []string {
	var out []string
	for f, v := range q.codec.All() {
		if len(f) == len(k) && strings.EqualFold(string(f), k) {
			out = append(out, string(v))
		}
	}
	return out
}

var dropped = []string{"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect"}

func hop(k []byte, more [][]byte) bool {
	for _, d := range dropped {
		if len(d) == len(k) && strings.EqualFold(d, string(k)) {
			return true
		}
	}
	for _, d := range more {
		if bytes.EqualFold(d, k) {
			return true
		}
	}
	return false
}

// Set is a field that is put in place of what the client sent.
type Set struct{ K, V string }

// Append writes the head as it is forwarded, for a body of n bytes.
func (q *Request) Append(b []byte, n int, set ...Set) []byte {
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
next:
	for k, v := range q.codec.All() {
		if hop(k, q.oneHop) {
			continue
		}
		for _, s := range set {
			if len(s.K) == len(k) && strings.EqualFold(s.K, string(k)) {
				continue next
			}
		}
		b = append(append(append(append(b, crlf...), k...), ": "...), v...)
	}
	for _, s := range set {
		if s.V != "" {
			b = append(append(append(append(b, crlf...), s.K...), ": "...), s.V...)
		}
	}
	if n > 0 || !q.None {
		b = append(b, "\r\nContent-Length: "...)
		b = appendInt(b, n)
	}
	return append(b, endHead...)
}

func appendInt(b []byte, n int) []byte {
	if n >= 10 {
		b = appendInt(b, n/10)
	}
	return append(b, byte('0'+n%10))
}
