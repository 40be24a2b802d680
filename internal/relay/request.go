package relay

import (
	"bytes"
	"hash/fnv"
	"strconv"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/kvindex"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/response"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/telemetry"
	"spoolswitch/internal/upstream"
)

// Request is one try of a client on its way through the stages.
type Request struct {
	Head *httpmessage.Request
	Body []byte

	client *Client
	relay  *Relay
	route  *configuration.Route
	// tenant holds the request's key; nil if nobody does, or there are no tenants.
	tenant *configuration.Tenant
	// token is what the request spends of its tenant's limit, if it has one; spent says that a replica may
	// have run the request for it.
	token      quota.Token
	hasToken   bool
	tokenSpent bool
	begun      clock.Tick
	deadline   clock.Tick
	attemptID  []byte
	done       *concurrency.Mark
	closeAfter bool

	ask        routing.Ask
	sends      int
	urgency    int
	mayHaveRun bool

	mu   sync.Mutex
	conn *upstream.Conn
	// ended is why the request is given up, OK while it is not.
	ended    codes.Code
	progress progress

	// sent and began are when the last try was sent, and when its answer came; status is
	// that of the answer's head, 0 before it.
	sent        clock.Tick
	began       clock.Tick
	status      int
	answerBegun bool
	events      httpmessage.Events
	skip        int64
}

func newRequest(k *Client, q *httpmessage.Request, body []byte, begun clock.Tick) *Request {
	return &Request{Head: q, Body: body, client: k, relay: k.relay, begun: begun, attemptID: bytes.Clone(q.Field(httpmessage.AttemptID)), done: concurrency.NewMark()}
}

func (n *Request) run() {
	n.closeAfter = n.Head.Close
	if !n.awaitNews() {
		n.refuse(n.endedOr(codes.NotReady))
		return
	}
	t := n.relay.View.Table()
	n.route = t.Match(n.Head.Host, n.Head.URI)
	if n.route == nil {
		n.refuse(codes.NoRoute)
		return
	}
	if n.tenant = t.Holder(n.Head.Field(httpmessage.APIKey)); n.tenant == nil && t.Keyed && !n.route.Keyless {
		n.refuse(codes.UnknownKey)
		return
	}
	if err := n.parse(); err != nil {
		n.refuse(codes.Of(err))
		return
	}
	if !n.relay.finishes(n.begun, n.deadline) {
		n.refuse(codes.Leaving)
		return
	}
	if err := n.takeToken(); err != nil {
		n.refuse(codes.Of(err))
		return
	}
	defer n.returnToken()
	n.relay.Budget.Note(n.ask.Service)
	n.send()
}

const (
	// newsTimeoutMost is the longest that a request is held for the first news: a
	// keeper is found and feeds within about a second of the relay's start.
	newsTimeoutMost = 1200 * clock.Millisecond
	// newsPoll is the pause between two looks for the news.
	newsPoll = 20 * clock.Millisecond
)

// newsTimeout is how long the request may be held until the relay knows where to
// send. What comes before the first list is held for it: that comes soon. Where what
// was known is no longer current, it may not come back in time, and the client is
// told soon.
func (n *Request) newsTimeout() clock.Span {
	timeout := newsTimeoutMost
	if ms, err := strconv.ParseFloat(string(n.Head.Field(httpmessage.DeadlineMs)), 64); err == nil && ms >= 0 {
		timeout = min(timeout, clock.Ms(ms/4))
	}
	if t := n.relay.View.Table(); t != nil && n.relay.Fleet.HasList() {
		if rt := t.Match(n.Head.Host, n.Head.URI); rt != nil && rt.TargetMs > 0 {
			timeout = min(timeout, clock.Ms(rt.TargetMs/5))
		}
	}
	return timeout
}

// awaitNews waits until the relay knows where to send; false if that took longer than
// the request may be held, or the request was given up.
func (n *Request) awaitNews() bool {
	timeout := n.newsTimeout()
	if n.relay.newsTimeout != nil {
		timeout = n.relay.newsTimeout(n)
	}
	for !n.relay.known() {
		if clock.Since(n.begun) > timeout || n.givenUp() {
			return false
		}
		clock.Sleep(newsPoll)
	}
	return true
}

func (n *Request) parse() error {
	rt := n.route
	n.deadline = n.begun.Add(clock.Ms(rt.TimeoutMs))
	if v := n.Head.Field(httpmessage.DeadlineMs); len(v) > 0 {
		ms, err := strconv.ParseFloat(string(v), 64)
		if err != nil || ms < 0 || ms > 1e9 {
			return codes.New(codes.BadFields, "Deadline-Ms")
		}
		n.deadline = min(n.deadline, n.begun.Add(clock.Ms(ms)))
	}
	n.note(func(p *progress) { p.deadline, p.route = n.deadline, rt.Name })
	h := fnv.New64a()
	h.Write(n.attemptID)
	n.ask = routing.Ask{Draw: kvindex.Mix(h.Sum64()), Sticky: rt.Affinity, Route: rt.Name}
	n.ask.Service = rt.Service
	if len(rt.Shares) > 0 {
		n.ask.Service = rt.Choose(n.relay.draws.next(rt.Name))
	}
	n.skip = -1
	if v := n.Head.Field(httpmessage.LastEvent); len(v) > 0 {
		id, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || id < 0 {
			return codes.New(codes.BadFields, "Last-Event-Id")
		}
		n.events.Last, n.events.Seen = id, true
	}
	if v := n.Head.Field(httpmessage.Tokens); len(v) > 0 {
		in, out, err := routing.ReadTokens(string(v))
		if err != nil {
			return err
		}
		n.ask.Tokens, n.ask.Output = in, out
		n.urgency = n.relay.sizes.Urgency(n.ask.Service, in)
	}
	if rt.Affinity {
		c, err := kvindex.ReadChain(string(n.Head.Field(httpmessage.Model)), string(n.Head.Field(httpmessage.Prefix)))
		if err != nil {
			return err
		}
		n.ask.Chain = c
	}
	return nil
}

func (n *Request) refuse(c codes.Code) {
	r := response.Of(c, "").For(n.attemptID)
	switch {
	case r.Status == 503 && n.mayHaveRun:
		r.Status = 502
	case r.Status == 503 || r.Status == 429:
		r = r.Later(n.relay.retryAfter())
	}
	if r.Status == 502 || n.relay.Leaving() || n.Head.Close || c == codes.LimitUnknown && n.relay.cutOff() {
		n.closeAfter = true
		r = r.Last()
	}
	telemetry.Counter("own." + strconv.Itoa(r.Status)).Add(1)
	if r.Status >= 500 {
		n.endedEarly(telemetry.Refused, c)
	}
	if !n.client.write(r.To(n.Head.Method).Append(nil)) {
		n.closeAfter = true
	}
}

func (n *Request) abort(cause codes.Code) {
	telemetry.Counter("stream.cut").Add(1)
	n.endedEarly(telemetry.BrokenOff, cause)
	n.closeAfter = true
	_ = n.client.conn.Close()
}

// end gives the request up for a cause; the first cause stands. The replica's
// connection is closed at once.
func (n *Request) end(cause codes.Code) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended == codes.OK {
		n.ended = cause
	}
	if n.conn != nil {
		n.conn.Cut()
	}
}

func (n *Request) holdConn(c *upstream.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conn = c
	return n.ended == codes.OK
}

// releaseConn ends the hold on a connection; false if it had ended. From then on the
// client's leaving does not cut it.
func (n *Request) releaseConn(c *upstream.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.conn == c
	n.conn = nil
	return held
}

// endedOr is the cause for which the request was given up, or other if it was not.
func (n *Request) endedOr(other codes.Code) codes.Code {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended != codes.OK {
		return n.ended
	}
	return other
}

func (n *Request) givenUp() bool { return n.endedOr(codes.OK) != codes.OK }

func (n *Request) deserted() bool { return n.endedOr(codes.OK) == codes.ClientLeft }

// stoppedUnsent is the ending of a try that was given up before its head was sent.
func (n *Request) stoppedUnsent() ending {
	if n.deserted() {
		return deserted
	}
	return tooLate
}

// stopped is the ending of a try that was sent and given up.
func (n *Request) stopped() ending {
	if n.deserted() {
		return deserted
	}
	return graceOver
}

func (n *Request) exclude(id ids.Replica) { n.ask.Not = append(n.ask.Not, id) }
