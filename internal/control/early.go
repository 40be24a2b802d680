package control

import (
	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/telemetry"
)

// endedEarly counts and logs that a call of an operator was refused or given up.
func (s *Server) endedEarly(x *fasthttp.RequestCtx, cause codes.Code) {
	age := clock.Since(clock.Of(x.Time()))
	telemetry.EndedEarly(telemetry.EarlyEnd{
		How: telemetry.Refused, Cause: cause, Request: string(x.Method()) + " " + string(x.Path()),
		Age: age, Left: opTimeout - age,
		Details: []any{"base", string(x.Request.Header.Peek("Base-Version"))},
	})
}
