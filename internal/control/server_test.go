package control

import (
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

// silence is a net on which nobody ever answers.
type silence struct{}

func (silence) Ask(_ ids.Node, _ consensus.Msg, d clock.Span) (consensus.Msg, bool) {
	clock.Sleep(d)
	return consensus.Msg{}, false
}

func cutOff(t *testing.T, disk bool) *Server {
	acc := consensus.NewAcceptor()
	acc.Use(consensus.Volatile{})
	r := consensus.Roster{Num: 1, Seat: []ids.Node{"a", "b", "c"}}
	if disk {
		if err := acc.Found(r, nil); err != nil {
			t.Fatal(err)
		}
	} else if err := acc.Adopt(r); err != nil {
		t.Fatal(err)
	}
	k := consensus.New("a", acc, silence{}, feed.NewHub())
	if !disk {
		k.Self = "d"
	}
	k.Disk, k.Decider = disk, Decide
	return &Server{Keeper: k, Zones: map[string]string{"z": ""}}
}

func ask(s *Server, method, path, base, body string) (int, string, clock.Span) {
	var x fasthttp.RequestCtx
	x.Request.Header.SetMethod(method)
	x.Request.SetRequestURI(path)
	x.Request.SetBodyString(body)
	if base != "" {
		x.Request.Header.Set("Base-Version", base)
	}
	begun := clock.Now()
	s.Handle(&x)
	return x.Response.StatusCode(), string(x.Response.Header.Peek("Retry-After")), clock.Since(begun)
}

// Without a majority nothing is answered that hangs on the state, good or bad,
// and soon; what hangs on the text alone is answered at once.
func TestCutSide(t *testing.T) {
	w := concurrency.NewWorld(1)
	w.Died = func(_ *concurrency.Process, what any, stack string) { t.Error(what, stack) }
	w.Run(func() { cutSide(t) })
}

func cutSide(t *testing.T) {
	const replace, modify = "/-/configuration/replace", "/-/configuration/modify"
	for _, disk := range []bool{true, false} {
		s := cutOff(t, disk)
		for range 2 { // it finds that it is cut off
			ask(s, "GET", "/-/configuration/retrieve", "", "")
		}
		for _, c := range []struct{ method, path, base, body string }{
			{"POST", replace, "0", `{"version":1}`},
			{"POST", replace, "7", `{"version":1}`}, // another base than the one known here
			{"POST", replace, "0", `{"version":1,"route-table":[{"name":"a","service":"none"}]}`},
			{"POST", modify, "0", `{"version":1}`},
			{"GET", "/-/configuration/retrieve", "", ""},
			{"POST", "/-/evacuation/z/initiate", "", ""},
			{"POST", "/-/evacuation/z/terminate", "", ""},
		} {
			is := is.New(t)
			st, again, took := ask(s, c.method, c.path, c.base, c.body)
			is.Equal(st, 503)
			is.True(again != "")
			is.True(took < 600*clock.Millisecond)
		}
		for _, c := range []struct{ path, base, body string }{
			{replace, "", `{"version":1}`},
			{replace, "0", `{"version":1`},
			{replace, "0", `{}`},
			{modify, "0", `{"version":"x"}`},
			{modify, "0", `{"upsert":{}}`},
		} {
			is := is.New(t)
			st, _, took := ask(s, "POST", c.path, c.base, c.body)
			is.Equal(st, 400)
			is.True(took < 100*clock.Millisecond)
		}
	}
}

type nobody struct{}

func (nobody) Ask(ids.Node, consensus.Msg, clock.Span) (consensus.Msg, bool) {
	return consensus.Msg{}, false
}

// newServer is a server over a keeper that has the only seat.
func newServer(t *testing.T) (*Server, net.Listener) {
	acc := consensus.NewAcceptor()
	acc.Use(consensus.Volatile{})
	k := consensus.New("a", acc, nobody{}, feed.NewHub())
	k.Decider = Decide
	k.Pauses = &consensus.Pauses{}
	if err := acc.Found(consensus.Roster{Num: 1, Seat: []ids.Node{"a"}}, nil); err != nil {
		t.Fatal(err)
	}
	l, err := rpc.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Keeper: k, Zones: map[string]string{"z": "r"}}
	s.Serve(l)
	t.Cleanup(s.Stop)
	return s, l
}

func (s *Server) zone() string {
	a := s.Keeper.Change(ids.Evacuation("z"), &consensus.Order{Query: true}, clock.Now().Add(5*clock.Second))
	return string(a.Val)
}

const initiate = "POST /-/evacuation/z/initiate HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

func dial(t *testing.T, l net.Listener) *net.TCPConn {
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

func say(t *testing.T, c net.Conn, what string) string {
	if _, err := c.Write([]byte(what)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 4096)
	n, err := c.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(b[:n])
}

// An order on a connection that was there before the process stood still is not
// carried out, nor is one that may have waited to be accepted.
func TestOrderBeforePause(t *testing.T) {
	is := is.New(t)
	s, l := newServer(t)
	old := dial(t, l)
	is.True(strings.HasPrefix(say(t, old, "GET /-/unknown HTTP/1.1\r\nHost: h\r\n\r\n"), "HTTP/1.1 404"))
	s.Keeper.Pauses.Beat()
	clock.Sleep(600 * clock.Millisecond) // nothing shows that it runs
	for _, c := range []net.Conn{old, dial(t, l)} {
		a := say(t, c, initiate)
		is.True(strings.HasPrefix(a, "HTTP/1.1 503") && strings.Contains(a, `"code":316`))
		is.True(strings.Contains(a, "Connection: close") && strings.Contains(a, "Retry-After"))
		is.Equal(s.zone(), "")
	}
	clock.Sleep(310 * clock.Millisecond)
	is.True(strings.HasPrefix(say(t, dial(t, l), initiate), "HTTP/1.1 200"))
	is.Equal(s.zone(), "on")
}

// An order whose client has closed its connection is not carried out.
func TestOrderOfNobody(t *testing.T) {
	is := is.New(t)
	s, _ := newServer(t)
	s.Keeper.Pauses = nil
	l, err := rpc.Listen("127.0.0.1:0")
	is.NoErr(err)
	for _, gone := range []bool{true, false} {
		c := dial(t, l)
		in, err := l.Accept()
		is.NoErr(err)
		if gone {
			is.NoErr(c.Close())
		}
		for i := 0; gone && i < 5000 && !rpc.Gone(in); i++ {
			clock.Sleep(clock.Millisecond)
		}
		is.Equal(rpc.Gone(in), gone)
		var q fasthttp.Request
		q.Header.SetMethod("POST")
		q.SetRequestURI("/-/evacuation/z/initiate")
		x := &fasthttp.RequestCtx{}
		x.Init2(in, nil, false)
		q.CopyTo(&x.Request)
		s.Handle(x)
		is.Equal(x.Response.StatusCode() == 200, !gone)
		is.Equal(s.zone() == "on", !gone)
	}
}
