package control

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
)

// A keeper that ends begins no order that it might not finish: what comes on a
// connection that was there before is refused, with the time to come back, and
// changes nothing.
func TestStoppingRefusesOrders(t *testing.T) {
	const retrieve = "GET /-/configuration/retrieve HTTP/1.1\r\nHost: h\r\n\r\n"
	is := is.New(t)
	s, l := newServer(t)
	s.Keeper.Pauses = nil
	old := dial(t, l)
	is.True(strings.HasPrefix(say(t, old, "GET /-/unknown HTTP/1.1\r\nHost: h\r\n\r\n"), "HTTP/1.1 404"))
	s.stopping.Store(true)
	a := say(t, old, initiate)
	is.True(strings.HasPrefix(a, "HTTP/1.1 503"))
	is.True(strings.Contains(a, `"code":212`))
	is.True(strings.Contains(a, "Retry-After") && strings.Contains(a, "Connection: close"))
	is.Equal(s.zone(), "")
	is.True(strings.Contains(say(t, dial(t, l), retrieve), `"code":212`))
	is.Equal(s.underWay.Load(), int64(0))
}

// Orders that are begun before the end have shorter deadlines than the end waits.
func TestOrdersEndBeforeStop(t *testing.T) {
	is := is.New(t)
	is.True(opTimeout < stopTimeout)
	is.True(cutTimeout < stopTimeout)
	is.Equal(leaving().Code, codes.Leaving)
}
