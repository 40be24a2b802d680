package ctl

import (
	"bytes"
	"net"
	"strconv"
	"sync"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/keep"
	"spoolswitch/internal/match"
	"spoolswitch/internal/note"
	"spoolswitch/internal/result"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

const (
	bodyMost  = 16 << 20
	opLimit   = 900 * clk.Millisecond
	comeAgain = 100 * clk.Millisecond
)

type call func(s *Server, x *fasthttp.RequestCtx, parts []string) result.Result

// Server answers operators.
type Server struct {
	Keeper     *keep.Keeper
	Localities map[string]string
	mu         sync.Mutex
	srv        *fasthttp.Server
}

var calls = new(match.Tree[call]).
	Add("POST", "/-/configuration/replace", func(s *Server, x *fasthttp.RequestCtx, _ []string) result.Result {
		return s.change(x, false)
	}).
	Add("POST", "/-/configuration/modify", func(s *Server, x *fasthttp.RequestCtx, _ []string) result.Result {
		return s.change(x, true)
	}).
	Add("GET", "/-/configuration/retrieve", func(s *Server, _ *fasthttp.RequestCtx, _ []string) result.Result {
		return s.retrieve()
	}).
	Add("POST", "/-/evacuation/*/initiate", func(s *Server, _ *fasthttp.RequestCtx, p []string) result.Result {
		return s.evacuate(p[0], true)
	}).
	Add("POST", "/-/evacuation/*/terminate", func(s *Server, _ *fasthttp.RequestCtx, p []string) result.Result {
		return s.evacuate(p[0], false)
	}).
	Add("GET", "/-/ready", func(s *Server, _ *fasthttp.RequestCtx, _ []string) result.Result {
		if !s.Keeper.Sure(2 * clk.Second) {
			return result.Of(code.NotReady, "")
		}
		return result.OK(nil)
	})

// Serve answers calls that come in at l.
func (s *Server) Serve(l net.Listener) {
	s.srv = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: bodyMost, ReadTimeout: 10 * clk.Second, IdleTimeout: 30 * clk.Second,
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 16 << 10, Concurrency: 256,
		CloseOnShutdown: true, Logger: quiet{},
	}
	spawn.Go(func() { _ = s.srv.Serve(l) })
}

// SetLocalities changes which localities there are.
func (s *Server) SetLocalities(z map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Localities = z
}

// Stop ends the answering; calls under way are finished first.
func (s *Server) Stop() {
	if s.srv == nil {
		return
	}
	done := spawn.NewMark()
	spawn.Go(func() {
		_ = s.srv.Shutdown()
		done.Set()
	})
	done.Wait(clk.Second)
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (s *Server) handle(x *fasthttp.RequestCtx) {
	c, parts, err := calls.Find(string(x.Method()), string(x.Path()))
	if err != nil {
		result.Of(code.Of(err), "").Fill(x)
		return
	}
	r := c(s, x, parts)
	note.Counter("control." + strconv.Itoa(r.Status)).Add(1)
	r.Fill(x)
}

func of(a keep.Msg) result.Result {
	if a.OK {
		return result.OK(nil)
	}
	r := result.Of(a.Code, a.Text)
	if r.Status == 503 {
		r = r.Later(comeAgain)
	}
	return r
}

func (s *Server) change(x *fasthttp.RequestCtx, modify bool) result.Result {
	b, err := strconv.ParseInt(string(bytes.TrimSpace(x.Request.Header.Peek("Base-Version"))), 10, 64)
	if err != nil || b < 0 {
		return result.Of(code.BadFields, "Base-Version is missing or no number")
	}
	o := &keep.Order{Modify: modify, Base: word.Edition(b), Body: bytes.Clone(x.PostBody())}
	return of(s.Keeper.Change(word.Configuration, o, clk.Now().Add(opLimit)))
}

func (s *Server) retrieve() result.Result {
	a := s.Keeper.Change(word.Configuration, &keep.Order{Query: true}, clk.Now().Add(opLimit))
	if !a.OK {
		return of(a)
	}
	st, err := conf.Decode(a.Val)
	if err != nil {
		return result.Of(code.Of(err), "")
	}
	if st.Edition == 0 {
		return result.Of(code.Nothing, "")
	}
	return result.OK(st.JSON)
}

func (s *Server) evacuate(zone string, on bool) result.Result {
	s.mu.Lock()
	_, ok := s.Localities[zone]
	s.mu.Unlock()
	if !ok {
		return result.Of(code.NoLocality, zone)
	}
	return of(s.Keeper.Change(word.Evacuation(word.Locality(zone)), &keep.Order{On: on}, clk.Now().Add(opLimit)))
}
