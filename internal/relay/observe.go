package relay

import (
	"net/http"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/rollout"
	"spoolswitch/internal/routing"
)

// observeBegin takes note of how soon the first event of a stream came.
func (n *Request) observeBegin(rep *routing.Rep) {
	n.relay.Fleet.Answered(rep, &n.ask, rollout.Outcome{}, routing.Timing{Took: n.began.Sub(n.sent), Streaming: true})
}

// observe takes note of what the ending of a try says of the version of its replica. A
// request that was not sent says nothing, nor does one that the relay gave up.
func (n *Request) observe(rep *routing.Rep, e ending) {
	streaming := n.route.Class == configuration.Streaming
	begun := n.sent != 0 && n.began >= n.sent
	outcome := rollout.Outcome{Begun: begun && streaming}
	timing := routing.Timing{Streaming: streaming}
	if begun && e == answered {
		n.relay.Fleet.Held(&n.ask, clock.Since(n.sent))
	}
	switch e {
	case answered:
		if outcome.Begun {
			return
		}
		outcome.Slow = n.status == http.StatusGatewayTimeout
		if begun {
			timing.Took = n.began.Sub(n.sent)
		}
	case failed, malformed, cutShort, mistaken, unbacked, unheard:
		outcome.Failed = true
	case turnedAway:
		outcome.Refused = true
	case pastDeadline, deserted:
		if n.sent == 0 || begun && e == deserted {
			return
		}
		outcome.Slow = e == pastDeadline
		if !begun {
			timing.Took, timing.Waiting = clock.Since(n.sent), true
		}
	default:
		return
	}
	n.relay.Fleet.Answered(rep, &n.ask, outcome, timing)
}
