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
	"spoolswitch/internal/link"
	"spoolswitch/internal/note"
	"spoolswitch/internal/pick"
	"spoolswitch/internal/result"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

// Inquiry is one try of a caller on its way through the stages.
type Inquiry struct {
	Head *head.Inquiry
	Body []byte

	k     *Caller
	r     *Relay
	route *conf.Route
	begun clk.Tick
	limit clk.Tick
	id    []byte
	done  *spawn.Mark
	last  bool

	ask     pick.Ask
	sends   int
	urgency int
	ran     bool

	mu   sync.Mutex
	conn *link.Conn
	left bool

	first  bool
	events head.Events
	skip   int64
}

func (n *Inquiry) run() {
	n.last = n.Head.Close
	n.id = bytes.Clone(n.Head.Field(head.AttemptID))
	if !n.awake() {
		n.reject(code.NotReady)
		return
	}
	t := n.r.View.Table()
	n.route = t.Match(n.Head.Host, n.Head.URI)
	if n.route == nil {
		n.reject(code.NoRoute)
		return
	}
	if err := n.read(); err != nil {
		n.reject(code.Of(err))
		return
	}
	n.r.Budget.Note(n.ask.Service)
	n.send()
}

const (
	wakeMost = 1200 * clk.Millisecond
	wakeStep = 20 * clk.Millisecond
)

func (n *Inquiry) awake() bool {
	d := wakeMost
	if ms, err := strconv.ParseFloat(string(n.Head.Field(head.LimitMs)), 64); err == nil && ms >= 0 {
		d = min(d, clk.Ms(ms/4))
	}
	for !n.r.known() {
		if clk.Since(n.begun) > d || n.deserted() {
			return false
		}
		clk.Sleep(wakeStep)
	}
	return true
}

func (n *Inquiry) read() error {
	rt := n.route
	n.limit = n.begun.Add(clk.Ms(rt.TimeoutMs))
	if v := n.Head.Field(head.LimitMs); len(v) > 0 {
		ms, err := strconv.ParseFloat(string(v), 64)
		if err != nil || ms < 0 || ms > 1e9 {
			return code.New(code.BadFields, "Deadline-Ms")
		}
		n.limit = min(n.limit, n.begun.Add(clk.Ms(ms)))
	}
	h := fnv.New64a()
	h.Write(n.id)
	n.ask = pick.Ask{Draw: h.Sum64(), Sticky: rt.Affinity}
	n.ask.Service = rt.Select(float64(n.ask.Draw>>11) / (1 << 53))
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
		c, err := pick.ReadChain(string(n.Head.Field(head.Model)), string(n.Head.Field(head.Prefix)))
		if err != nil {
			return err
		}
		n.ask.Chain = c
	}
	return nil
}

func (n *Inquiry) reject(c code.Code) {
	r := result.Of(c, "").For(n.id)
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
	if !n.k.write(r.Append(nil)) {
		n.last = true
	}
}

func (n *Inquiry) abort() {
	note.Counter("stream.cut").Add(1)
	n.last = true
	_ = n.k.c.Close()
}

func (n *Inquiry) abandon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left = true
	if n.conn != nil {
		n.conn.Cut()
	}
}

func (n *Inquiry) hold(c *link.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conn = c
	return !n.left
}

func (n *Inquiry) deserted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.left
}

func (n *Inquiry) not(id word.Replica) { n.ask.Not = append(n.ask.Not, id) }
