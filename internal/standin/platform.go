package standin

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
)

// Platform is a stand-in for the platform's list.
type Platform struct {
	Addr ids.Addr
	mu   sync.Mutex
	rs   []discovery.Replica
	page int
	n    int
}

// NewPlatform starts a platform that shows page replicas a page.
func NewPlatform(page int) *Platform {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &Platform{Addr: ids.Addr(l.Addr().String()), page: page}
	concurrency.Go(func() { _ = fasthttp.Serve(l, p.handle) })
	return p
}

// Set changes the list.
func (p *Platform) Set(rs ...discovery.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rs = rs
}

// Calls is how many calls came.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.n
}

func (p *Platform) handle(x *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n++
	from, _ := strconv.Atoi(string(x.QueryArgs().Peek("page-token")))
	to := min(from+p.page, len(p.rs))
	out := map[string]any{"replicas": append([]discovery.Replica{}, p.rs[min(from, to):to]...), "next-token": nil}
	if to < len(p.rs) {
		out["next-token"] = strconv.Itoa(to)
	}
	b, _ := json.Marshal(out)
	x.SetContentType("application/json")
	x.SetBody(b)
}
