package telemetry

import (
	"strconv"

	"golang.org/x/time/rate"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
)

// Ending is the way in which a daemon ended an answer or a connection early.
type Ending string

const (
	// Refused is a complete answer of the daemon's own in place of the one asked for.
	Refused Ending = "refused"
	// BrokenOff is a connection closed before its answer was complete.
	BrokenOff Ending = "broken-off"
	// Abandoned is an answer given up because its caller had left.
	Abandoned Ending = "abandoned"
	// Closed is a connection closed while no request was under way on it.
	Closed Ending = "closed"
)

// EarlyEndPrefix begins the names of the counters of early ends; the ending and
// the number of the cause follow.
const EarlyEndPrefix = "early."

// EarlyEnd describes an answer that a daemon ended before it was complete.
type EarlyEnd struct {
	How   Ending
	Cause codes.Code
	// Request identifies the request for its caller.
	Request string
	// Age is the time since the request was read, Left the time until its
	// deadline; a negative Left is the time by which the deadline was passed.
	Age, Left clock.Span
	// Details are further names and values for the log line.
	Details []any
}

const (
	earlyLinesPerSecond = 50
	earlyLinesBurst     = 200
)

var (
	earlyLines     = rate.NewLimiter(earlyLinesPerSecond, earlyLinesBurst)
	earlyLinesLeft = Counter("log.early-lines-left-out")
)

// CountEarlyEnd counts an early end of a connection without logging it.
func CountEarlyEnd(how Ending, cause codes.Code) {
	Counter(EarlyEndPrefix + string(how) + "." + strconv.Itoa(int(cause))).Add(1)
}

// EndedEarly counts an early end by its cause and logs it. Answers that are broken
// off are always logged; lines on the others are limited in rate, and those left
// out are counted.
func EndedEarly(end EarlyEnd) {
	CountEarlyEnd(end.How, end.Cause)
	limited := end.How != BrokenOff && other.Load() == nil
	if limited && !earlyLines.Allow() {
		earlyLinesLeft.Add(1)
		return
	}
	line := append([]any{
		"how", string(end.How), "cause", int(end.Cause), "meaning", end.Cause.String(), "request", end.Request,
		"age", end.Age.Round(clock.Millisecond), "left", end.Left.Round(clock.Millisecond),
	}, end.Details...)
	if end.How == BrokenOff {
		Trouble("answer ended early", line...)
		return
	}
	State("answer ended early", line...)
}
