package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/interleave"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

// play is one course of things: what a few requests of clients, one after the
// other, meet at three replicas. Each step of a replica, of a connection or of a
// client is a choice; at most faults of them go wrong.
type play struct {
	t      *testing.T
	choose func(n int) int
	faults int

	sim   *clock.Sim
	r     *Relay
	conns []*far
	asked []*asked
	now   *asked
	runs  int
}

// asked is a request of a client and what became of it.
type asked struct {
	method, path, id string
	unsafe           bool
	req              *Request
	k                *near
	arrived          int
	partly           bool
	ran              []run
}

// run is a run of a request at a replica: the status and body of its answer.
type run struct {
	status int
	body   string
	sealed bool
}

// near is a client's end: what it got.
type near struct {
	net.Conn
	got  bytes.Buffer
	shut bool
	left bool
}

func (k *near) Write(b []byte) (int, error) {
	if k.shut || k.left {
		return 0, net.ErrClosed
	}
	return k.got.Write(b)
}
func (k *near) Close() error                          { k.shut = true; return nil }
func (k *near) SetWriteDeadline(t clock.Moment) error { return nil }
func (k *near) SetReadDeadline(t clock.Moment) error  { return nil }

// far is a connection to a replica, as the relay sees it.
type far struct {
	net.Conn
	p      *play
	addr   ids.Addr
	life   ids.Replica
	served []string
	due    [][]byte
	begun  bool
	shut   bool
	// partly says that a part of a request has not left, and never will.
	partly bool
}

func (c *far) Close() error                          { c.shut = true; return nil }
func (c *far) SetReadDeadline(t clock.Moment) error  { return nil }
func (c *far) SetWriteDeadline(t clock.Moment) error { return nil }

// fault takes one of the ways that may go wrong here, 0 for none.
func (p *play) fault(ways int) int {
	if p.faults == 0 {
		return 0
	}
	w := p.choose(ways + 1)
	if w > 0 {
		p.faults--
	}
	return w
}

func (p *play) leave() {
	p.now.k.left = true
	p.now.req.end(codes.ClientLeft)
}

// Quiet is asked of a resting connection: an answer too many may have come, or
// its end.
func (c *far) Quiet() bool {
	if c.shut || len(c.due) > 0 {
		return false
	}
	switch c.p.fault(2) {
	case 1:
		c.due = append(c.due, c.surplus())
	case 2:
		c.shut = true
	}
	return len(c.due) == 0 && !c.shut
}

// surplus is one more answer to the last try that was served here.
func (c *far) surplus() []byte {
	return []byte("HTTP/1.1 200 OK\r\nAttempt-Id: " + c.served[len(c.served)-1] + "\r\nReplica-Seal: s\r\nContent-Length: 7\r\n\r\nsurplus")
}

func (c *far) Write(b []byte) (int, error) {
	p := c.p
	if c.shut {
		return 0, net.ErrClosed
	}
	switch p.fault(4) {
	case 1:
		return 0, unix.ECONNRESET
	case 2: // a part leaves: the replica may run it without the rest, at any time
		c.partly, p.now.partly = true, true
		p.now.arrived++
		return len(b) - 1, unix.EPIPE
	case 3: // the address went to another
		c.life = "another"
	case 4: // a part leaves, and the replica answers without the rest
		c.partly = true
	}
	br := bufio.NewReaderSize(bytes.NewReader(b), 4096)
	q, err := httpmessage.ReadRequest(br)
	if err != nil {
		p.t.Errorf("unreadable request %q: %v", b, err)
		return 0, err
	}
	body, err := httpmessage.NewBody(br, q.Framing).ReadAll(100)
	if err != nil || q.Method != p.now.method || q.URI != p.now.path || string(body) != "body" || string(q.Field(httpmessage.AttemptID)) != p.now.id {
		p.t.Errorf("UNASKED %q, body %q: %v", b, body, err)
	}
	if c.shut {
		p.t.Error("sent on a connection that was closed")
	}
	p.now.arrived++
	c.begun = false
	c.play(q)
	c.served = append(c.served, p.now.id)
	if c.partly {
		return len(b) - 1, unix.EPIPE
	}
	return len(b), nil
}

// play makes the replica's answer, in the pieces in which it comes.
func (c *far) play(q *httpmessage.Request) {
	p := c.p
	id := "HTTP/1.1 %d X\r\nAttempt-Id: " + p.now.id + "\r\n"
	if string(q.Field(httpmessage.Expected)) != string(c.life) {
		c.put(fmt.Sprintf(id+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 421))
		return
	}
	way := 0
	if p.faults > 0 {
		way = p.choose(4)
	}
	if way == 1 {
		p.faults--
		c.put(fmt.Sprintf(id+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503))
		return
	}
	p.runs++
	x := run{200, fmt.Sprintf("run %d", p.runs), true}
	if way > 1 {
		p.faults--
		x.status = []int{500, 503}[way-2]
	}
	h := fmt.Sprintf(id+"Replica-Seal: s\r\n", x.status)
	if x.status == 200 && strings.HasPrefix(p.now.path, "/stream/") || strings.HasPrefix(p.now.path, "/resume/") && x.status == 200 {
		x.body = pieces
		p.now.ran = append(p.now.ran, x)
		from := 1
		if v := q.Field(httpmessage.LastEvent); len(v) > 0 {
			_, _ = fmt.Sscan(string(v), &from)
			from++
		}
		c.put(h + "Transfer-Encoding: chunked\r\n\r\n")
		for i := from; i <= 3; i++ {
			e := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
			c.put(fmt.Sprintf("%x\r\n%s", len(e), e[:6]), e[6:]+"\r\n")
		}
		c.put("0\r\n\r\n")
		return
	}
	p.now.ran = append(p.now.ran, x)
	if p.now.method == "HEAD" {
		c.put(h + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(x.body)))
		return
	}
	c.put(h, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(x.body), x.body[:2]), x.body[2:])
}

const pieces = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

func (c *far) put(ps ...string) {
	for _, s := range ps {
		c.due = append(c.due, []byte(s))
	}
}

func (c *far) Read(b []byte) (int, error) {
	p := c.p
	if c.shut {
		p.t.Error("read on a connection that was closed")
		return 0, net.ErrClosed
	}
	ways := 5
	if !c.begun || len(c.due) == 1 {
		ways = 6
	}
	switch p.fault(ways) {
	case 1:
		return 0, io.EOF
	case 2:
		return 0, unix.ECONNRESET
	case 3:
		return 0, unix.ETIMEDOUT
	case 4: // silence
		p.sim.Move(clock.Until(p.now.req.deadline))
		return 0, os.ErrDeadlineExceeded
	case 5:
		p.leave()
		return 0, net.ErrClosed
	case 6:
		switch n := len(c.served); {
		case c.begun: // an answer too many, with the end of this one
			c.due[0] = append(c.due[0], c.surplus()...)
		case n > 1: // the same, late, where this one is due
			c.served = c.served[:n-1]
			c.due = append([][]byte{c.surplus()}, c.due...)
			c.served = c.served[:n]
		default: // one to a try of somebody else
			c.due = append([][]byte{[]byte("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Seal: s\r\nContent-Length: 7\r\n\r\nsurplus")}, c.due...)
		}
	default:
		c.begun = true
	}
	if len(c.due) == 0 && c.partly {
		return 0, unix.ECONNRESET
	}
	if len(c.due) == 0 {
		p.sim.Move(clock.Until(p.now.req.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b, c.due[0])
	if c.due[0] = c.due[0][n:]; len(c.due[0]) == 0 {
		c.due = c.due[1:]
	}
	return n, nil
}

// Dial and Listen make a play the network of the relay.
func (p *play) Dial(a ids.Addr, _ clock.Span) (net.Conn, error) {
	if p.fault(1) > 0 {
		return nil, unix.ECONNREFUSED
	}
	c := &far{p: p, addr: a, life: ids.Replica("i-" + string(a))}
	p.conns = append(p.conns, c)
	return c, nil
}

func (p *play) Listen(ids.Addr) (net.Listener, error) { return nil, errors.ErrUnsupported }

func (p *play) ask(method, path, id string, k *near) *near {
	x := &asked{method: method, path: path, id: id, k: k, unsafe: strings.HasPrefix(path, "/unsafe/") || strings.HasPrefix(path, "/stream/")}
	p.asked = append(p.asked, x)
	p.now = x
	q, err := httpmessage.ReadRequest(bufio.NewReader(strings.NewReader(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nContent-Length: 4\r\n\r\n")))
	if err != nil {
		p.t.Fatal(err)
	}
	k.got.Reset()
	x.req = newRequest(&Client{conn: k, relay: p.r}, q, []byte("body"), clock.Now())
	x.req.run()
	p.judge(x)
	if k.shut || k.left || x.req.closeAfter {
		return &near{}
	}
	return k
}

// judge holds the rules against what the client of x got and what ran.
func (p *play) judge(x *asked) {
	bad := func(rule, what string) { p.t.Errorf("%s: %s: %+v got %q", rule, what, *x, x.k.got.String()) }
	if x.arrived > 2 {
		bad("BUDGET", "more replicas than max-attempts")
	}
	if x.unsafe && len(x.ran) > 1 {
		bad("TWICE", "ran twice")
	}
	if x.k.got.Len() == 0 {
		if !x.k.left {
			bad("LOST", "no answer")
		}
		return
	}
	br := bufio.NewReaderSize(bytes.NewReader(x.k.got.Bytes()), 4096)
	a, err := httpmessage.ReadResponse(br)
	if err != nil {
		bad("MIXED", err.Error())
		return
	}
	if string(a.Field(httpmessage.AttemptID)) != x.id {
		bad("MIXED", "another try")
	}
	sealed, stream := len(a.Field(httpmessage.Seal)) > 0, a.Chunked
	if x.method == "HEAD" {
		a.Bodiless()
	}
	var body []byte
	b, buf := httpmessage.NewBody(br, a.Framing), make([]byte, 64)
	for err == nil {
		var n int
		n, err = b.Read(buf)
		body = append(body, buf[:n]...)
	}
	whole := b.Whole()
	if whole && br.Buffered() > 0 {
		bad("MIXED", "bytes behind the answer")
	}
	if !whole && !(stream && (x.k.shut || x.k.left)) {
		bad("MIXED", "half an answer on a connection that goes on")
	}
	switch {
	case !sealed && a.Status/100 == 2:
		bad("MIXED", "no seal")
	case sealed && stream:
		if a.Status != 200 || !strings.HasPrefix(pieces, string(body)) || whole && string(body) != pieces || len(x.ran) == 0 {
			bad("ORDER", string(body))
		}
	case sealed:
		ok := false
		for _, r := range x.ran {
			ok = ok || r.status == a.Status && (r.body == string(body) || x.method == "HEAD" && len(body) == 0)
		}
		if !ok {
			bad("MIXED", "no run of this request gave that")
		}
	}
	if x.unsafe && x.partly && promises(a.Status) {
		bad("REFUSED", "a part of it has left")
	}
	if !sealed && a.Status >= 500 && a.Status != 503 && x.arrived == 0 {
		bad("FALSE END", "no replica was offered it")
	}
	if clock.Now() > x.req.begun.Add(3250*clock.Millisecond) {
		bad("HELD", "past its route's time")
	}
	if x.unsafe && promises(a.Status) && len(x.ran) > 0 {
		bad("REFUSED", "it ran")
	}
}

// Whatever goes wrong, in every order of at most mostFaults faults within two requests
// that follow one another, each client gets the answer of its own request or a
// failure that is true.
func TestEveryOrder(t *testing.T) {
	defer telemetry.Use(func(string, []any) {})()
	var routes []string
	for _, c := range []string{`"safe","name":"safe"`, `"unsafe","name":"unsafe"`, `"streaming","name":"stream"`, `"streaming","name":"resume","stream-resumption":true`} {
		name := strings.Split(c, `"`)[5]
		routes = append(routes, fmt.Sprintf(`{"authority":"h.example","path-prefix":"/%s/","timeout-ms":3000,"service":"s","max-attempts":2,"route-class":%s}`, name, c))
	}
	d, errs := configuration.Read([]byte(`{"version":1,"route-table":[` + strings.Join(routes, ",") + `],"service-table":[{"name":"s"}],"limits":{}}`))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	table := configuration.NewTable(d)
	for name, ask := range map[string]func(p *play){
		"unsafe":      func(p *play) { p.ask("POST", "/unsafe/", "y", p.ask("POST", "/unsafe/", "x", &near{})) },
		"the same id": func(p *play) { p.ask("POST", "/unsafe/", "x", p.ask("POST", "/unsafe/", "x", &near{})) },
		"safe":        func(p *play) { p.ask("POST", "/unsafe/", "y", p.ask("POST", "/safe/", "x", &near{})) },
		"head":        func(p *play) { p.ask("POST", "/unsafe/", "y", p.ask("HEAD", "/safe/", "x", &near{})) },
		"stream":      func(p *play) { p.ask("POST", "/stream/", "y", p.ask("POST", "/stream/", "x", &near{})) },
		"resumed":     func(p *play) { p.ask("POST", "/unsafe/", "y", p.ask("POST", "/resume/", "x", &near{})) },
	} {
		t.Run(name, func(t *testing.T) {
			n := interleave.Each(t, func(choose func(int) int) {
				p := &play{t: t, choose: choose, faults: mostFaults, sim: &clock.Sim{}}
				defer p.sim.Use()()
				defer rpc.Use(p)()
				f := routing.NewFleet("z1", 300*clock.Second)
				f.Relays(1)
				f.Configured(table)
				f.Listed([]discovery.Replica{{ID: "i-1", Service: "s", Addr: "1", Zone: "z1", Slots: 8, State: "in_service"},
					{ID: "i-2", Service: "s", Addr: "2", Zone: "z1", Slots: 8, State: "in_service"},
					{ID: "i-3", Service: "s", Addr: "3", Zone: "z1", Slots: 8, State: "in_service"}}, 0)
				p.r = &Relay{View: &View{Fleet: f, table: table}, Fleet: f, queue: &Queue{Most: 8}, Current: func() bool { return true },
					Budget: &routing.Budget{Ratio: 1, Slack: 100, Window: clock.Second, Shares: f.Share}}
				ask(p)
				open := map[ids.Addr]int{}
				for _, c := range p.conns {
					if !c.shut {
						open[c.addr]++
					}
				}
				for a, n := range open { // one after the other need one
					if n > 1 {
						t.Errorf("%d connections to %s are left open", n, a)
					}
				}
			})
			t.Log(n, "orders")
		})
	}
}
