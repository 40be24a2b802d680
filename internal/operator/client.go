// Package operator calls control as an operator does.
package operator

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Client calls control daemons, one after the other until one answers clearly.
type Client struct {
	Addrs []ids.Addr
	Limit clock.Span
}

const (
	callTimeout = 2 * clock.Second
	pause       = 100 * clock.Millisecond
)

type result struct {
	Code  codes.Code `json:"code"`
	Cause string     `json:"cause"`
}

// Call makes one call. base is left out if it is negative.
func (c *Client) Call(method, path string, base int64, body []byte) ([]byte, error) {
	end := clock.Now().Add(c.Limit)
	err := codes.New(codes.PeerLost, "no control address")
	for wait := pause; ; wait *= 2 {
		for _, a := range c.Addrs {
			b, final, e := c.once(a, method, path, base, body)
			if e == nil || final {
				return b, e
			}
			err = e
		}
		if clock.Until(end) < wait {
			return nil, err
		}
		clock.Sleep(wait)
	}
}

func (c *Client) once(a ids.Addr, method, path string, base int64, body []byte) (out []byte, final bool, err error) {
	cl := &fasthttp.HostClient{Addr: string(a), MaxIdemponentCallAttempts: 1}
	var q fasthttp.Request
	var r fasthttp.Response
	q.SetRequestURI("http://" + string(a) + path)
	q.Header.SetMethod(method)
	q.SetConnectionClose()
	if base >= 0 {
		q.Header.Set("Base-Version", strconv.FormatInt(base, 10))
	}
	if body != nil {
		q.Header.SetContentType("application/json")
		q.SetBody(body)
	}
	if err := cl.DoTimeout(&q, &r, callTimeout); err != nil {
		return nil, false, codes.New(codes.PeerLost, "%s: %v", a, err)
	}
	st := r.StatusCode()
	if st == 200 {
		return append([]byte(nil), r.Body()...), true, nil
	}
	var n result
	if json.Unmarshal(r.Body(), &n) != nil || n.Code == 0 {
		n.Code, n.Cause = codes.PeerLost, "status "+strconv.Itoa(st)
	}
	return nil, st < 500 && st != 408 && st != 429, codes.New(n.Code, "%s: %s", a, n.Cause)
}
