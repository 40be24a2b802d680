package relay

import (
	"io"
	"strconv"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/telemetry"
	"spoolswitch/internal/upstream"
)

const (
	dialTimeout = 300 * clock.Millisecond
	holdStep    = 15 * clock.Millisecond
	holdLook    = 50 * clock.Millisecond
	plainMost   = 8 << 20
	turnedMost  = 64 << 10
	eventMost   = 1 << 20
	reachMost   = 4
	// a send with less than this part of the aim left is no offer
	offerLeast = 10
)

func (n *Request) send() {
	reach := 0
	refused := false
	for {
		if n.deserted() {
			n.closeAfter = true
			n.undelivered()
			return
		}
		if n.givenUp() {
			n.fail(codes.GraceOver)
			return
		}
		n.ask.Repeated = n.sends > 0
		if n.revoked() {
			n.fail(codes.UnknownKey)
			return
		}
		rep, err := n.pick()
		if err == nil && n.revoked() {
			n.relay.Fleet.Done(rep, routing.CutByClient)
			err = codes.New(codes.UnknownKey, "")
		}
		if err != nil {
			n.fail(codes.Of(err))
			return
		}
		if n.sends > 0 && !n.relay.Budget.Spend(n.ask.Service) {
			n.relay.Fleet.Done(rep, routing.CutByClient)
			n.fail(codes.NoReplica)
			return
		}
		if err := n.tokenForTry(); err != nil {
			n.relay.Fleet.Done(rep, routing.CutByClient)
			n.fail(codes.Of(err))
			return
		}
		before := n.sends
		e := n.try(rep)
		n.relay.Fleet.Settle(&n.ask, e.seen())
		if (e == pastDeadline || e == deserted) && n.sent != 0 && n.began < n.sent {
			n.relay.Fleet.Hung(rep, &n.ask, clock.Since(n.sent))
		}
		x := e.rule()
		n.observe(rep, e)
		n.relay.Fleet.Done(rep, x.outcome)
		switch x.proof {
		case notRun:
			refused = true
		case mayHaveRun:
			n.mayHaveRun = true
		}
		if x.proof != notRun && n.sends > before {
			n.tokenSpent = true
		}
		switch {
		case e == deserted:
			n.closeAfter = true
			n.undelivered()
			return
		case e == graceOver:
			n.fail(codes.GraceOver)
			return
		case e == pastDeadline:
			n.fail(codes.PastDeadline)
			return
		case e == tooLate:
			n.fail(codes.QueueFull)
			return
		case x.over:
			return
		case x.proof == mayHaveRun && !n.repeatable():
			n.fail(codes.ReplicaBroke)
			return
		}
		n.exclude(rep.ID)
		if n.sends == before {
			if reach++; reach >= reachMost {
				n.fail(codes.NoReplica)
				return
			}
		}
		if n.sends >= n.route.Attempts() {
			if refused && !n.mayHaveRun {
				n.fail(codes.QueueFull)
			} else {
				n.fail(codes.ReplicaBroke)
			}
			return
		}
	}
}

// repeatable tells whether the request may run once more. A stream that began
// can be taken up only behind an event that has an id.
func (n *Request) repeatable() bool {
	return n.route.Repeatable() && (!n.answerBegun || n.events.Seen)
}

func (n *Request) pick() (*routing.Rep, error) {
	h := n.relay.queue
	err := codes.New(codes.QueueFull, "%s", n.ask.Service)
	if h.Empty(n.ask.Service) {
		var rep *routing.Rep
		if rep, err = n.relay.Fleet.Choose(&n.ask); err == nil {
			return rep, nil
		}
	}
	until := n.begun.Add(min(clock.Ms(n.route.TargetMs/5), clock.Until(n.deadline)/3))
	w := h.Enter(n.ask.Service, n.rank())
	if w == nil {
		return nil, err
	}
	defer h.Leave(w)
	for clock.Now() < until && !n.givenUp() {
		if !h.First(w, min(holdLook, clock.Until(until))) {
			continue
		}
		var rep *routing.Rep
		if rep, err = n.relay.Fleet.Choose(&n.ask); err == nil {
			return rep, nil
		}
		clock.Sleep(holdStep)
	}
	return nil, err
}

func (n *Request) fail(c codes.Code) {
	c = n.endedOr(c)
	if c != codes.GraceOver && clock.Now() >= n.deadline {
		if n.mayHaveRun {
			c = codes.PastDeadline
		} else {
			c = codes.QueueFull
		}
	}
	if n.answerBegun {
		n.abort(c)
		return
	}
	if n.mayHaveRun && c != codes.PastDeadline && c != codes.GraceOver {
		c = codes.ReplicaBroke
	}
	n.refuse(c)
}

func (n *Request) try(rep *routing.Rep) ending {
	n.sent, n.status = 0, 0
	left := clock.Until(n.deadline)
	if left <= clock.Ms(n.route.TargetMs/offerLeast) {
		return tooLate
	}
	c, err := rep.Pool.Get(n.ask.Draw, min(dialTimeout, left))
	if err != nil {
		return unsent
	}
	e := n.exchange(rep, c, left)
	if n.releaseConn(c) {
		rep.Pool.Drop(c)
	}
	return e
}

// exchange sends the request on a connection and passes the answer on. The
// connection has been given back if it may be used again.
func (n *Request) exchange(rep *routing.Rep, c *upstream.Conn, left clock.Span) ending {
	if !n.holdConn(c) {
		return n.stoppedUnsent()
	}
	set := []httpmessage.Set{
		{K: httpmessage.Expected, V: string(rep.ID)},
		{K: httpmessage.DeadlineMs, V: strconv.FormatInt(max(1, int64(left/clock.Millisecond)), 10)},
		{K: httpmessage.APIKey},
		{K: httpmessage.Tenant, V: n.tenantName()},
	}
	if n.urgency != 0 && len(n.Head.Field(httpmessage.Urgency)) == 0 {
		set = append(set, httpmessage.Set{K: httpmessage.Urgency, V: strconv.Itoa(n.urgency)})
	}
	if n.answerBegun && n.events.Seen {
		set = append(set, httpmessage.Set{K: httpmessage.LastEvent, V: strconv.FormatInt(n.events.Last, 10)})
	}
	b := n.Head.Append(make([]byte, 0, len(n.Body)+1024), len(n.Body), set...)
	head := len(b)
	if !c.Send(append(b, n.Body...), head, n.deadline) {
		if n.givenUp() {
			return n.stoppedUnsent()
		}
		return unsent
	}
	n.sends++
	n.note(func(p *progress) { p.sends++ })
	sent := clock.Now()
	n.sent = sent
	n.relay.Fleet.Sent(rep, &n.ask)
	a, err := c.Response(n.attemptID)
	if err != nil {
		return n.broke(err)
	}
	n.status = a.Status
	n.relay.Fleet.Begun(rep, n.ask.Tokens)
	if v := a.Field(httpmessage.Load); len(v) > 0 {
		n.relay.Fleet.Told(rep, string(v))
	}
	if n.Head.Method == "HEAD" {
		c.Spend()
		a.Bodiless()
	}
	if v := a.Field(httpmessage.Weights); len(v) > 0 {
		n.relay.Fleet.Weights(rep, &n.ask, string(v))
	}
	e := n.sort(a)
	switch {
	case e.rule().proof == notRun:
		n.drain(rep, c, a, e)
		return e
	case !e.rule().over:
		return e
	case n.streams(a):
		return n.stream(rep, c, a, sent)
	}
	return n.pass(rep, c, a, e)
}

func (n *Request) drain(rep *routing.Rep, c *upstream.Conn, a *httpmessage.Response, e ending) {
	if a.None || c.Sending() {
		return
	}
	if _, err := c.Body(a).ReadAll(turnedMost); err == nil {
		n.give(rep, c, a, e)
	}
}

func (n *Request) pass(rep *routing.Rep, c *upstream.Conn, a *httpmessage.Response, e ending) ending {
	body, err := c.Body(a).ReadAll(plainMost)
	if err != nil {
		return n.broke(err)
	}
	if a.Status/100 == 2 {
		n.relay.Fleet.Read(rep, &n.ask, -1)
	}
	n.give(rep, c, a, e)
	n.finish()
	b := a.Append(make([]byte, 0, len(body)+512), len(body), n.closeAfter)
	if !n.client.write(append(b, body...)) {
		n.closeAfter = true
		n.undelivered()
	}
	n.began = clock.Now()
	return e
}

func (n *Request) finish() {
	if n.relay.Leaving() || n.Head.Close {
		n.closeAfter = true
	}
}

var resumed = telemetry.Counter("stream.resumed")

func (n *Request) stream(rep *routing.Rep, c *upstream.Conn, a *httpmessage.Response, sent clock.Tick) ending {
	body := c.Body(a)
	skip := int64(-1)
	if n.answerBegun {
		resumed.Add(1)
		if n.events.Seen {
			skip = n.events.Last
		}
	}
	n.events.Cut()
	defer n.written(n.events.N)
	buf := make([]byte, 4096)
	var out []byte
	judged := false
	for {
		m, err := body.Read(buf)
		if m > 0 {
			ev := n.events.Add(buf[:m], skip)
			if !judged && len(ev) > 0 {
				judged = true
				n.began = clock.Now()
				n.observeBegin(rep)
				n.judge(rep, clock.Since(sent))
			}
			out = out[:0]
			if n.events.Held() > eventMost {
				return malformed
			}
			if !n.answerBegun && len(ev) > 0 {
				n.finish()
				out = a.Append(out, -1, n.closeAfter)
				n.answerBegun = true
				n.note(func(p *progress) { p.begun = true })
			}
			if len(ev) > 0 {
				out = chunk(out, ev)
				if !n.client.write(out) {
					n.closeAfter = true
					return deserted
				}
			}
			continue
		}
		if err == io.EOF && body.Whole() && !n.events.Left() {
			n.give(rep, c, a, answered)
			out = out[:0]
			if !n.answerBegun {
				n.finish()
				out = a.Append(out, -1, n.closeAfter)
				n.answerBegun = true
			}
			if !n.client.write(append(out, "0\r\n\r\n"...)) {
				n.closeAfter = true
				n.undelivered()
			}
			return answered
		}
		if err == nil {
			continue
		}
		return n.broke(err)
	}
}

func (n *Request) written(before int64) {
	m, t := n.relay.Meter, n.relay.View.Table()
	if m == nil || t == nil || n.began == 0 || n.events.N <= before+1 {
		return
	}
	if s := t.Services[n.ask.Service]; s != nil && s.Engine != nil {
		m.Written(n.ask.Service, n.ask.Weight, (n.events.N-before-1)*int64(max(1, s.Engine.StepSize)), clock.Since(n.began))
	}
}

func (n *Request) judge(rep *routing.Rep, took clock.Span) {
	if m := n.relay.Meter; m != nil {
		m.Read(n.ask.Service, n.ask.Weight, n.ask.Promise.Unread, took)
	}
	if d, ok := n.relay.Fleet.Read(rep, &n.ask, took); ok && n.relay.Tell != nil {
		n.relay.Tell(d)
	}
}

// give hands a connection back whose answer was read to its end.
func (n *Request) give(rep *routing.Rep, c *upstream.Conn, a *httpmessage.Response, e ending) {
	if e.rule().reuse && n.releaseConn(c) {
		rep.Pool.Give(c, a)
	}
}

func chunk(b, p []byte) []byte {
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return append(b, "\r\n"...)
}
