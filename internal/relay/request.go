package relay

import (
	"bytes"
	"hash/fnv"
	"strconv"
	"sync"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
	"spoolswitch/internal/conf"
	"spoolswitch/internal/head"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/link"
	"spoolswitch/internal/note"
	"spoolswitch/internal/pick"
	"spoolswitch/internal/response"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

// Request is one try of a client on its way through the stages.
type Request struct {
	Head *head.Request
	Body []byte

	k        *Client
	r        *Relay
	route    *conf.Route
	begun    clk.Tick
	deadline clk.Tick
	id       []byte
	done     *spawn.Mark
	last     bool

	ask     pick.Ask
	sends   int
	urgency int
	ran     bool

	mu   sync.Mutex
	conn *link.Conn
	left bool

	sent   clk.Tick
	began  clk.Tick
	first  bool
	events head.Events
	skip   int64
}

func newRequest(k *Client, q *head.Request, body []byte, begun clk.Tick) *Request {
	return &Request{Head: q, Body: body, k: k, r: k.r, begun: begun, id: bytes.Clone(q.Field(head.AttemptID)), done: spawn.NewMark()}
}

func (n *Request) run() {
	n.last = n.Head.Close
	if !n.awake() {
		n.refuse(code.NotReady)
		return
	}
	t := n.r.View.Table()
	n.route = t.Match(n.Head.Host, n.Head.URI)
	if n.route == nil {
		n.refuse(code.NoRoute)
		return
	}
	if err := n.read(); err != nil {
		n.refuse(code.Of(err))
		return
	}
	n.r.Budget.Note(n.ask.Service)
	n.send()
}

const (
	wakeMost = 1200 * clk.Millisecond
	wakeStep = 20 * clk.Millisecond
)

// awake waits until the relay knows where to send. What comes before the first
// list is held for it: that comes soon. Where what was known is no longer
// current, it may not come back in time, and the client is told soon.
func (n *Request) awake() bool {
	d := wakeMost
	if ms, err := strconv.ParseFloat(string(n.Head.Field(head.DeadlineMs)), 64); err == nil && ms >= 0 {
		d = min(d, clk.Ms(ms/4))
	}
	if t := n.r.View.Table(); t != nil && n.r.Fleet.HasList() {
		if rt := t.Match(n.Head.Host, n.Head.URI); rt != nil && rt.TargetMs > 0 {
			d = min(d, clk.Ms(rt.TargetMs/5))
		}
	}
	for !n.r.known() {
		if clk.Since(n.begun) > d || n.deserted() {
			return false
		}
		clk.Sleep(wakeStep)
	}
	return true
}

func (n *Request) read() error {
	rt := n.route
	n.deadline = n.begun.Add(clk.Ms(rt.TimeoutMs))
	if v := n.Head.Field(head.DeadlineMs); len(v) > 0 {
		ms, err := strconv.ParseFloat(string(v), 64)
		if err != nil || ms < 0 || ms > 1e9 {
			return code.New(code.BadFields, "Deadline-Ms")
		}
		n.deadline = min(n.deadline, n.begun.Add(clk.Ms(ms)))
	}
	h := fnv.New64a()
	h.Write(n.id)
	n.ask = pick.Ask{Draw: h.Sum64(), Sticky: rt.Affinity}
	n.ask.Service = rt.Choose(float64(n.ask.Draw>>11) / (1 << 53))
	n.skip = -1
	if v := n.Head.Field(head.LastEvent); len(v) > 0 {
		id, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || id < 0 {
			return code.New(code.BadFields, "Last-Event-Id")
		}
		n.events.Last, n.events.Seen = id, true
	}
	if v := n.Head.Field(head.Tokens); len(v) > 0 {
		in, _, err := pick.ReadTokens(string(v))
		if err != nil {
			return err
		}
		n.ask.Tokens = in
		n.urgency = n.r.sizes.Urgency(n.ask.Service, in)
	}
	if rt.Affinity {
		c, err := kvindex.ReadChain(string(n.Head.Field(head.Model)), string(n.Head.Field(head.Prefix)))
		if err != nil {
			return err
		}
		n.ask.Chain = c
	}
	return nil
}

func (n *Request) refuse(c code.Code) {
	r := response.Of(c, "").For(n.id)
	if r.Status == 503 {
		if n.ran {
			r.Status = 502
		} else {
			r = r.Later(n.r.back())
		}
	}
	if r.Status == 502 || n.r.Leaving() || n.Head.Close {
		n.last = true
		r = r.Last()
	}
	note.Counter("own." + strconv.Itoa(r.Status)).Add(1)
	if !n.k.write(r.To(n.Head.Method).Append(nil)) {
		n.last = true
	}
}

func (n *Request) abort() {
	note.Counter("stream.cut").Add(1)
	n.last = true
	_ = n.k.c.Close()
}

func (n *Request) abandon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left = true
	if n.conn != nil {
		n.conn.Cut()
	}
}

func (n *Request) hold(c *link.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conn = c
	return !n.left
}

// let ends the hold on a connection; false if it had ended. From then on the
// client's leaving does not cut it.
func (n *Request) let(c *link.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.conn == c
	n.conn = nil
	return held
}

func (n *Request) deserted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.left
}

func (n *Request) not(id word.Replica) { n.ask.Not = append(n.ask.Not, id) }
