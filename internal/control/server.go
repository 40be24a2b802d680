package control

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/match"
	"spoolswitch/internal/response"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

const (
	opTimeout = 850 * clock.Millisecond
	// cutTimeout is how long an order is tried where no majority is seen: its
	// client is to go on to another daemon soon.
	cutTimeout = 450 * clock.Millisecond
	comeAgain  = 100 * clock.Millisecond
	// stopTimeout is how long calls under way are waited for when the daemon ends:
	// longer than any order takes that was begun before.
	stopTimeout = clock.Second
)

type call func(s *Server, x *fasthttp.RequestCtx, parts []string) response.Response

// Server answers operators.
type Server struct {
	Keeper *consensus.Keeper
	Zones  map[string]string
	mu     sync.Mutex
	// steps are those that a new order for a rollout goes through.
	steps []rollout.Step
	srv   *fasthttp.Server
	room  room
	// stopping is set when no more orders are begun; underWay counts the calls that
	// have no answer yet.
	stopping atomic.Bool
	underWay atomic.Int64
}

var calls = new(match.Tree[call]).
	Add("POST", "/-/configuration/replace", func(s *Server, x *fasthttp.RequestCtx, _ []string) response.Response {
		return s.change(x, false)
	}).
	Add("POST", "/-/configuration/modify", func(s *Server, x *fasthttp.RequestCtx, _ []string) response.Response {
		return s.change(x, true)
	}).
	Add("GET", "/-/configuration/retrieve", func(s *Server, _ *fasthttp.RequestCtx, _ []string) response.Response {
		return s.retrieve()
	}).
	Add("POST", "/-/evacuation/*/initiate", func(s *Server, x *fasthttp.RequestCtx, p []string) response.Response {
		return s.evacuate(x, p[0], true)
	}).
	Add("POST", "/-/evacuation/*/terminate", func(s *Server, x *fasthttp.RequestCtx, p []string) response.Response {
		return s.evacuate(x, p[0], false)
	}).
	Add("POST", "/-/rollouts/initiate", func(s *Server, x *fasthttp.RequestCtx, _ []string) response.Response {
		return s.initiate(x)
	}).
	Add("GET", "/-/rollouts/*/retrieve", func(s *Server, _ *fasthttp.RequestCtx, p []string) response.Response {
		return s.retrieveRollout(ids.Service(p[0]))
	}).
	Add("GET", "/-/ready", func(s *Server, _ *fasthttp.RequestCtx, _ []string) response.Response {
		if !s.Keeper.Sure(2 * clock.Second) {
			return response.Of(codes.NotReady, "")
		}
		return response.OK(nil)
	})

// Handle answers one call.
func (s *Server) Handle(x *fasthttp.RequestCtx) { s.handle(x) }

// Serve answers calls that come in at l.
func (s *Server) Serve(l net.Listener) {
	s.srv = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: bodyMost, ReadTimeout: 10 * clock.Second, IdleTimeout: 30 * clock.Second,
		NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 16 << 10, Concurrency: 256,
		StreamRequestBody: true, DisablePreParseMultipartForm: true, CloseOnShutdown: true, Logger: quiet{},
	}
	concurrency.Go(func() { _ = s.srv.Serve(l) })
}

// SetZones changes which zones there are.
func (s *Server) SetZones(z map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Zones = z
}

// Stop ends the answering: orders under way are finished first, and later ones are
// refused, to be sent to another keeper.
func (s *Server) Stop() {
	s.stopping.Store(true)
	if s.srv == nil {
		return
	}
	done := concurrency.NewMark()
	concurrency.Go(func() {
		_ = s.srv.Shutdown()
		done.Set()
	})
	done.Wait(stopTimeout)
	if calls := s.underWay.Load(); calls > 0 {
		telemetry.EndedEarly(telemetry.EarlyEnd{How: telemetry.BrokenOff, Cause: codes.GraceOver, Request: "control",
			Age: stopTimeout, Details: []any{"calls", calls}})
	}
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (s *Server) handle(x *fasthttp.RequestCtx) {
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	c, parts, err := calls.Find(string(x.Method()), string(x.Path()))
	if err != nil {
		response.Of(codes.Of(err), "").Fill(x)
		return
	}
	r := c(s, x, parts)
	telemetry.Counter("control." + strconv.Itoa(r.Status)).Add(1)
	if r.Status >= 500 {
		s.endedEarly(x, r.Code)
	}
	r.Fill(x)
}

func of(a consensus.Msg) response.Response {
	if a.OK {
		return response.OK(nil)
	}
	r := response.Of(a.Code, a.Text)
	if r.Status == 503 {
		r = r.Later(comeAgain)
	}
	return r
}

func (s *Server) deadline() clock.Tick {
	if s.Keeper.Cut() {
		return clock.Now().Add(cutTimeout)
	}
	return clock.Now().Add(opTimeout)
}

func (s *Server) change(x *fasthttp.RequestCtx, modify bool) response.Response {
	b, err := strconv.ParseInt(string(bytes.TrimSpace(x.Request.Header.Peek("Base-Version"))), 10, 64)
	if err != nil || b < 0 {
		return response.Of(codes.BadFields, "Base-Version is missing or no number")
	}
	n := length(x)
	if n > bodyMost {
		return response.Of(codes.BodyTooLarge, "").Last()
	}
	if !s.room.take(n) {
		return response.Of(codes.QueueFull, "too many orders in hand").Later(comeAgain).Last()
	}
	defer s.room.give(n)
	o := &consensus.Order{Modify: modify, Base: ids.Version(b)}
	if o.Body, err = body(x); err != nil {
		return response.Of(codes.Of(err), err.Error()).Last()
	}
	if err := configuration.Legible(o.Body); err != nil {
		return response.Of(codes.Of(err), err.Error())
	}
	return s.order(x, ids.Configuration, o)
}

func accepted(x *fasthttp.RequestCtx) clock.Tick {
	if o, ok := x.Conn().(rpc.Other); ok {
		return o.Accepted()
	}
	return clock.Of(x.ConnTime())
}

// order has an order carried out for a client that surely waits for it: it was
// sent after the last pause of this process, and the connection is open.
func (s *Server) order(x *fasthttp.RequestCtx, key ids.Key, o *consensus.Order) response.Response {
	deadline := s.deadline()
	if !s.Keeper.Pauses.Vouched(accepted(x)) || rpc.Gone(x.Conn()) {
		return response.Of(codes.Unvouched, "").Later(comeAgain).Last()
	}
	if s.stopping.Load() {
		return leaving()
	}
	return of(s.Keeper.Change(key, o, deadline))
}

// leaving refuses what would outlast the daemon.
func leaving() response.Response {
	return response.Of(codes.Leaving, "").Later(comeAgain).Last()
}

func (s *Server) retrieve() response.Response {
	if s.stopping.Load() {
		return leaving()
	}
	a := s.Keeper.Change(ids.Configuration, &consensus.Order{Query: true}, s.deadline())
	if !a.OK {
		return of(a)
	}
	st, err := configuration.Decode(a.Val)
	if err != nil {
		return response.Of(codes.Of(err), "")
	}
	if st.Version == 0 {
		return response.Of(codes.Nothing, "")
	}
	return response.OK(st.JSON)
}

func (s *Server) evacuate(x *fasthttp.RequestCtx, zone string, on bool) response.Response {
	s.mu.Lock()
	_, ok := s.Zones[zone]
	s.mu.Unlock()
	if !ok {
		return response.Of(codes.NoZone, zone)
	}
	return s.order(x, ids.Evacuation(ids.Zone(zone)), &consensus.Order{On: on})
}
