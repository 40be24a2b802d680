package metrics

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/response"
	"spoolswitch/internal/rpc"
)

const (
	scrapersMost = 8
	idleTimeout  = 30 * clock.Second
)

// Endpoint is where the figures are served: a port and a path.
type Endpoint struct {
	Port int
	Path string
}

// ParseEndpoint reads an endpoint from text of the form PORT/PATH.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, ok := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if !ok || path == "" || err != nil || number < 1 || number > 65535 {
		return Endpoint{}, codes.New(codes.BadSettings, "metrics: %q is not of the form PORT/PATH", text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Serve answers scrapers at the endpoint on a machine's address until the
// listener that it returns is closed.
func Serve(ip string, at Endpoint, role string, gauges func() []Gauge) (net.Listener, error) {
	listener, err := rpc.Listen(ids.Addr(fmt.Sprintf("%s:%d", ip, at.Port)))
	if err != nil {
		return nil, codes.New(codes.BadSettings, "metrics: %v", err)
	}
	server := &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, IdleTimeout: idleTimeout, Concurrency: scrapersMost,
		Handler: func(x *fasthttp.RequestCtx) { handle(x, at.Path, role, gauges) },
	}
	concurrency.Go(func() { _ = server.Serve(listener) })
	return listener, nil
}

func handle(x *fasthttp.RequestCtx, path, role string, gauges func() []Gauge) {
	if string(x.Path()) != path {
		response.Of(codes.NoCall, "").Fill(x)
		return
	}
	if !x.IsGet() && !x.IsHead() {
		response.Of(codes.BadMethod, "").Fill(x)
		return
	}
	text, err := Text(role, gauges())
	if err != nil {
		response.Of(codes.NotReady, err.Error()).Fill(x)
		return
	}
	x.SetContentType(ContentType)
	x.SetBody(text)
}
