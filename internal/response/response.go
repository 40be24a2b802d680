// Package response makes every answer that is the system's own.
package response

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clk"
	"spoolswitch/internal/code"
)

// Response is an answer of the system's own.
type Response struct {
	Status int
	Code   code.Code
	Cause  string
	Body   []byte
	Back   clk.Span
	Close  bool
	ID     []byte
	bare   bool
}

var statuses = map[code.Code]int{
	code.OK: 200, code.BadHead: 400, code.HeadTooLarge: 431, code.BodyTooLarge: 413, code.HeadTooSlow: 408,
	code.BadBody: 400, code.NoRoute: 404, code.NotReady: 503, code.NoReplica: 503, code.QueueFull: 503,
	code.PastDeadline: 504, code.ReplicaBroke: 502, code.Leaving: 503, code.BadFields: 400, code.BadMethod: 405,
	code.NoCall: 404, code.Unreadable: 400, code.NoService: 400, code.SamePlace: 400, code.NoWeight: 400,
	code.NoTimeout: 400, code.OldVersion: 400, code.OtherVersion: 412, code.NoZone: 404, code.NoMajority: 503,
	code.Nothing: 404, code.BadItem: 400, code.TooOld: 503, code.Moved: 503, code.Unvouched: 503, code.DiskRefused: 503, code.NotVoting: 503, code.PeerLost: 503,
	code.UnknownChange: 404,
}

// Status is the status that goes with a code.
func Status(c code.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return 500
}

// Of makes the result of a code.
func Of(c code.Code, cause string) Response {
	if cause == "" {
		cause = c.String()
	}
	return Response{Status: Status(c), Code: c, Cause: cause}
}

// OK makes a result with a JSON body.
func OK(b []byte) Response { return Response{Status: 200, Body: b} }

// Later asks the client to come back after d.
func (r Response) Later(d clk.Span) Response {
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
	if r.Body != nil || r.Code == code.OK {
		return r.Body
	}
	b, err := json.Marshal(cause{int(r.Code), r.Cause})
	if err != nil {
		return nil
	}
	return b
}

func retry(d clk.Span) string {
	return strconv.FormatFloat(float64(d)/float64(clk.Second), 'f', 3, 64)
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
