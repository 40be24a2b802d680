package control

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/codes"
)

const (
	// bodyMost is the longest body that an order may have, and of an order that
	// does not say how long its body is, what is kept free for it.
	bodyMost   = 16 << 20
	ordersMost = 64
)

// room bounds the orders in hand, and the bytes of all their bodies.
type room struct {
	mu     sync.Mutex
	most   int64
	orders int
	bytes  int64
}

// take takes one order with n bytes in; one alone always finds room.
func (r *room) take(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders >= ordersMost || r.orders > 0 && r.bytes+n > max(r.most, bodyMost) {
		return false
	}
	r.orders++
	r.bytes += n
	return true
}

func (r *room) give(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders--
	r.bytes -= n
}

// length is how many bytes an order's body may take.
func length(x *fasthttp.RequestCtx) int64 {
	if n := x.Request.Header.ContentLength(); n >= 0 {
		return int64(n)
	}
	return bodyMost
}

// body reads an order's body, no more of it than may be.
func body(x *fasthttp.RequestCtx) ([]byte, error) {
	if !x.Request.IsBodyStream() {
		return append([]byte(nil), x.PostBody()...), nil
	}
	b, err := io.ReadAll(io.LimitReader(x.RequestBodyStream(), bodyMost+1))
	switch {
	case len(b) > bodyMost:
		return nil, codes.New(codes.BodyTooLarge, "over %d bytes", bodyMost)
	case err != nil:
		return nil, codes.New(codes.Unreadable, "%v", err)
	}
	return b, nil
}
