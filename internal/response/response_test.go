package response

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
)

func TestAppend(t *testing.T) {
	is := is.New(t)
	b := Of(codes.QueueFull, "").For([]byte("id1")).Later(250 * clock.Millisecond).Last().Append(nil)
	var r fasthttp.Response
	is.NoErr(r.Read(bufio.NewReader(bytes.NewReader(b))))
	is.Equal(r.StatusCode(), 503)
	is.Equal(string(r.Header.Peek("Attempt-Id")), "id1")
	is.Equal(string(r.Header.Peek("Retry-After")), "0.250")
	is.True(r.ConnectionClose())
	is.True(strings.Contains(string(r.Body()), `"code":209`))
}

// A promise that nothing ran is made by few codes, never by one of what may have.
func TestStatuses(t *testing.T) {
	is := is.New(t)
	for c := range codes.All() {
		s := Status(c)
		is.True(s >= 200 && s < 600)
	}
	for _, c := range []codes.Code{codes.ReplicaBroke, codes.PastDeadline} {
		s := Status(c)
		is.True(s == 502 || s == 504)
	}
}
