// Package oper calls control as an operator does.
package oper

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

// Client calls control daemons, one after the other until one answers clearly.
type Client struct {
	Addrs []word.Addr
	Limit clk.Span
}

const (
	callTimeout = 2 * clk.Second
	pause       = 100 * clk.Millisecond
)

type result struct {
	Code  code.Code `json:"code"`
	Cause string    `json:"cause"`
}

// Call makes one call. base is left out if it is negative.
func (c *Client) Call(method, path string, base int64, body []byte) ([]byte, error) {
	end := clk.Now().Add(c.Limit)
	err := code.New(code.PeerLost, "no control address")
	for wait := pause; ; wait *= 2 {
		for _, a := range c.Addrs {
			b, final, e := c.once(a, method, path, base, body)
			if e == nil || final {
				return b, e
			}
			err = e
		}
		if clk.Until(end) < wait {
			return nil, err
		}
		clk.Sleep(wait)
	}
}

func (c *Client) once(a word.Addr, method, path string, base int64, body []byte) (out []byte, final bool, err error) {
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
		return nil, false, code.New(code.PeerLost, "%s: %v", a, err)
	}
	st := r.StatusCode()
	if st == 200 {
		return append([]byte(nil), r.Body()...), true, nil
	}
	var n result
	if json.Unmarshal(r.Body(), &n) != nil || n.Code == 0 {
		n.Code, n.Cause = code.PeerLost, "status "+strconv.Itoa(st)
	}
	return nil, st < 500 && st != 408 && st != 429, code.New(n.Code, "%s: %s", a, n.Cause)
}
