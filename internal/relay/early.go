package relay

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/response"
	"spoolswitch/internal/telemetry"
)

// progress is how far a request has come, for those that look on from outside of
// the thread that runs it.
type progress struct {
	deadline clock.Tick
	route    string
	sends    int
	begun    bool
}

func (n *Request) note(change func(p *progress)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.progress)
}

// endedEarly counts and logs that the relay ended the answer early.
func (n *Request) endedEarly(how telemetry.Ending, cause codes.Code) {
	n.mu.Lock()
	p := n.progress
	n.mu.Unlock()
	end := telemetry.EarlyEnd{
		How: how, Cause: cause, Request: string(n.attemptID), Age: clock.Since(n.begun),
		Details: []any{"route", p.route, "sends", p.sends, "answer-begun", p.begun},
	}
	if p.deadline != 0 {
		end.Left = clock.Until(p.deadline)
	}
	telemetry.EndedEarly(end)
}

// undelivered reports an answer that its client did not take.
func (n *Request) undelivered() {
	cause := codes.ClientLeft
	if n.client.stalled {
		cause = codes.ClientStalled
	}
	n.endedEarly(telemetry.Abandoned, cause)
}

// turnAway answers a request that has not been read to its end, and ends the
// connection.
func (k *Client) turnAway(head *httpmessage.Request, code codes.Code, begun clock.Tick) {
	id := head.Field(httpmessage.AttemptID)
	answer := response.Of(code, "").For(id).Last().To(head.Method)
	if answer.Status == 503 {
		answer = answer.Later(k.relay.retryAfter())
	}
	telemetry.EndedEarly(telemetry.EarlyEnd{How: telemetry.Refused, Cause: code, Request: string(id), Age: clock.Since(begun)})
	k.write(answer.Append(nil))
	k.linger()
}
