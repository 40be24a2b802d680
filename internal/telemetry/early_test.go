package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
)

// An early end leaves a line with its cause, age and time left, and a count by cause.
func TestEndedEarly(t *testing.T) {
	is := is.New(t)
	var lines []string
	defer Use(func(what string, kv []any) { lines = append(lines, what+" "+fmt.Sprintln(kv...)) })()
	for _, how := range []Ending{Refused, BrokenOff, Abandoned} {
		name := EarlyEndPrefix + string(how) + ".214"
		before := Counter(name).Get()
		EndedEarly(EarlyEnd{How: how, Cause: codes.GraceOver, Request: "id1", Age: 1500 * clock.Millisecond, Left: -clock.Second, Details: []any{"sends", 2}})
		is.Equal(Counter(name).Get(), before+1)
		line := lines[len(lines)-1]
		for _, part := range []string{string(how), "cause 214", "grace period is over", "request id1", "age 1.5s", "left -1s", "sends 2"} {
			is.True(strings.Contains(line, part))
		}
	}
}
