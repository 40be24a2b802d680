// Package response makes every answer that is the system's own.
package response

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
)

// Response is an answer of the system's own.
type Response struct {
	Status int
	Code   codes.Code
	Cause  string
	Body   []byte
	Back   clock.Span
	Close  bool
	ID     []byte
	bare   bool
}

var statuses = map[codes.Code]int{
	codes.OK: 200, codes.BadHead: 400, codes.HeadTooLarge: 431, codes.BodyTooLarge: 413, codes.HeadTooSlow: 408,
	codes.BadBody: 400, codes.NoRoute: 404, codes.NotReady: 503, codes.NoReplica: 503, codes.QueueFull: 503,
	codes.PastDeadline: 504, codes.ReplicaBroke: 502, codes.Leaving: 503, codes.GraceOver: 503, codes.NoConnection: 503, codes.BadFields: 400, codes.BadMethod: 405,
	codes.NoCall: 404, codes.Unreadable: 400, codes.NoService: 400, codes.SamePlace: 400, codes.NoWeight: 400,
	codes.NoTimeout: 400, codes.OldVersion: 400, codes.OtherVersion: 412, codes.NoZone: 404, codes.NoMajority: 503,
	codes.Nothing: 404, codes.BadItem: 400, codes.TooOld: 503, codes.Moved: 503, codes.Unvouched: 503, codes.DiskRefused: 503, codes.NotVoting: 503, codes.PeerLost: 503,
	codes.UnknownChange: 404, codes.BadRollout: 400, codes.RolloutUnderWay: 409, codes.NoRollout: 404, codes.MayBeRepeat: 503, codes.SharedKey: 400, codes.UnknownKey: 401, codes.OverLimit: 429, codes.LimitUnknown: 503,
}

// Status is the status that goes with a code.
func Status(c codes.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return 500
}

// Of makes the result of a code.
func Of(c codes.Code, cause string) Response {
	if cause == "" {
		cause = c.String()
	}
	return Response{Status: Status(c), Code: c, Cause: cause}
}

// OK makes a result with a JSON body.
func OK(b []byte) Response { return Response{Status: 200, Body: b} }

// Later asks the client to come back after d.
func (r Response) Later(d clock.Span) Response {
	r.Back = d
	return r
}

// Last says that the connection ends with this answer.
func (r Response) Last() Response {
	r.Close = true
	return r
}

// For names the try that is answered.
func (r Response) For(id []byte) Response {
	r.ID = id
	return r
}

// To says which method is answered: the answer to a HEAD has no body.
func (r Response) To(method string) Response {
	r.bare = method == "HEAD"
	return r
}

type cause struct {
	Code  int    `json:"code"`
	Cause string `json:"cause"`
}

func (r Response) body() []byte {
	if r.Body != nil || r.Code == codes.OK {
		return r.Body
	}
	b, err := json.Marshal(cause{int(r.Code), r.Cause})
	if err != nil {
		return nil
	}
	return b
}

func retry(d clock.Span) string {
	return strconv.FormatFloat(float64(d)/float64(clock.Second), 'f', 3, 64)
}

// Append writes the whole answer behind b.
func (r Response) Append(b []byte) []byte {
	body := r.body()
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(r.Status)...)
	if len(body) > 0 {
		b = append(b, "\r\nContent-Type: application/json"...)
	}
	if len(r.ID) > 0 {
		b = append(append(b, "\r\nAttempt-Id: "...), r.ID...)
	}
	if r.Back > 0 {
		b = append(append(b, "\r\nRetry-After: "...), retry(r.Back)...)
	}
	if r.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	if r.bare {
		return b
	}
	return append(b, body...)
}

// Fill puts the answer into a call that fasthttp serves.
func (r Response) Fill(x *fasthttp.RequestCtx) {
	x.SetStatusCode(r.Status)
	if b := r.body(); len(b) > 0 {
		x.SetContentType("application/json")
		x.SetBody(b)
	}
	if r.Back > 0 {
		x.Response.Header.Set("Retry-After", retry(r.Back))
	}
	if r.Close {
		x.SetConnectionClose()
	}
}
