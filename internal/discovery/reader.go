package discovery

import (
	"bufio"
	"encoding/json"
	"net"
	"net/url"
	"sort"
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

const (
	callTimeout = 800 * clock.Millisecond
	pagesMost   = 1000
)

var calls = telemetry.Counter("list.calls")

// Reader reads the whole list, page by page, on one connection.
type Reader struct {
	Addr ids.Addr
	// Rate bounds the calls, if it is set. A reading that has begun is ended.
	Rate *rate.Limiter
	mu   sync.Mutex
	c    net.Conn
	br   *bufio.Reader
}

// Share makes the bound of a daemon that may have part of a rate.
func Share(perS, part float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perS*part), max(1, int(perS*part)))
}

type page struct {
	Replicas []Replica `json:"replicas"`
	Next     *string   `json:"next-token"`
}

// Read reads the list, sorted by id.
func (r *Reader) Read() ([]Replica, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Rate != nil && r.Rate.Tokens() < 1 {
		return nil, codes.New(codes.ListRefused, "over this daemon's share of the rate")
	}
	var out []Replica
	token := ""
	for range pagesMost {
		p, err := r.page(token)
		if err != nil {
			r.drop()
			return nil, err
		}
		out = append(out, p.Replicas...)
		if p.Next == nil || *p.Next == "" {
			sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
			return out, nil
		}
		token = *p.Next
	}
	return nil, codes.New(codes.ListRefused, "more than %d pages", pagesMost)
}

func (r *Reader) drop() {
	if r.c != nil {
		_ = r.c.Close()
		r.c = nil
	}
}

func (r *Reader) page(token string) (*page, error) {
	if r.c == nil {
		c, err := rpc.Dial(r.Addr, callTimeout)
		if err != nil {
			return nil, codes.New(codes.ListRefused, "%v", err)
		}
		r.c, r.br = c, bufio.NewReaderSize(c, 4096)
	}
	if r.Rate != nil {
		r.Rate.Reserve()
	}
	calls.Add(1)
	_ = r.c.SetDeadline(clock.Now().Add(callTimeout).Deadline())
	path := "/replicas"
	if token != "" {
		path += "?page-token=" + url.QueryEscape(token)
	}
	if _, err := r.c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + string(r.Addr) + "\r\n\r\n")); err != nil {
		return nil, codes.New(codes.ListRefused, "%v", err)
	}
	var a fasthttp.Response
	if err := a.ReadLimitBody(r.br, 8<<20); err != nil {
		return nil, codes.New(codes.ListRefused, "%v", err)
	}
	if a.ConnectionClose() {
		defer r.drop()
	}
	if a.StatusCode() != 200 {
		return nil, codes.New(codes.ListRefused, "status %d", a.StatusCode())
	}
	p := &page{}
	if err := json.Unmarshal(a.Body(), p); err != nil {
		return nil, codes.New(codes.ListRefused, "%v", err)
	}
	return p, nil
}
