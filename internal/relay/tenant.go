package relay

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/telemetry"
)

const (
	// tokenTimeout is the longest that a request waits for a token of its tenant, and tokenWaitPart the part of
	// the aim after which it does not wait either.
	tokenTimeout  = 150 * clock.Millisecond
	tokenWaitPart = 3
)

var (
	atLimit      = telemetry.Counter("quota.at-limit")
	limitUnknown = telemetry.Counter("quota.limit-unknown")
)

// tenantName is what a replica is told of who sent the request; nothing if nobody's key came with it.
func (n *Request) tenantName() string {
	if n.tenant == nil {
		return ""
	}
	return string(n.tenant.Name)
}

// revoked tells whether the configuration in force no longer lets the request's key in. An answer that has
// begun goes on: its request was let in.
func (n *Request) revoked() bool {
	if n.answerBegun || n.tenant == nil || n.route.Keyless {
		return false
	}
	holder := n.relay.View.Table().Holder(n.Head.Field(httpmessage.APIKey))
	return holder == nil || holder.Name != n.tenant.Name
}

// rank is the request's place among those that wait: the tenant's priority stands before the route's.
func (n *Request) rank() rank {
	r := rank{route: n.route.Priority, deadline: n.deadline}
	if n.tenant != nil {
		r.tenant = n.tenant.Priority
	}
	return r
}

// takeToken takes a token of the request's tenant, if that has a limit.
func (n *Request) takeToken() error {
	if n.tenant == nil || !n.tenant.Limited() || n.relay.Tokens == nil {
		return nil
	}
	wait := tokenTimeout
	if aim := clock.Ms(n.route.TargetMs); aim > 0 {
		wait = min(wait, aim/tokenWaitPart)
	}
	until := min(n.deadline, clock.Now().Add(wait))
	token, verdict := n.relay.Tokens.Acquire(n.tenant.Name, until)
	switch verdict {
	case quota.Granted:
		n.token, n.hasToken, n.tokenSpent = token, true, false
		return nil
	case quota.AtLimit:
		atLimit.Add(1)
		return codes.New(codes.OverLimit, "%s", n.tenant.Name)
	}
	limitUnknown.Add(1)
	return codes.New(codes.LimitUnknown, "%s", n.tenant.Name)
}

// tokenForTry makes sure that there is a token for the next try: each that may run takes one of its own.
func (n *Request) tokenForTry() error {
	if !n.hasToken || !n.tokenSpent && n.token.Valid(clock.Now()) {
		return nil
	}
	return n.takeToken()
}

// returnToken gives the token back if no replica can have run the request for it.
func (n *Request) returnToken() {
	if n.hasToken && !n.tokenSpent {
		n.relay.Tokens.Client.Unspend(n.token)
	}
}
