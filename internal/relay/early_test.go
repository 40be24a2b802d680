package relay

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/standin"
	"spoolswitch/internal/telemetry"
)

// earlyLines collects the lines on answers that were ended early.
type earlyLines struct {
	mu    sync.Mutex
	lines []string
}

func collectEarlyLines(t *testing.T) *earlyLines {
	e := &earlyLines{}
	t.Cleanup(telemetry.Use(func(what string, kv []any) {
		if what != "answer ended early" {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lines = append(e.lines, fmt.Sprintln(kv...))
	}))
	return e
}

// has tells whether a line on a request names a way and a cause.
func (e *earlyLines) has(request string, how telemetry.Ending, cause codes.Code) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, line := range e.lines {
		if strings.Contains(line, "request "+request+" ") && strings.HasPrefix(line, fmt.Sprintf("how %s cause %d ", how, int(cause))) {
			return true
		}
	}
	return false
}

// neverAnswers says that a request has come, and holds it until its connection ends.
func neverAnswers(came *concurrency.Mark) standin.Play {
	return func(w net.Conn, _ standin.Got) bool {
		came.Set()
		var b [1]byte
		_, _ = w.Read(b[:])
		return false
	}
}

// Each way in which a relay ends an answer early leaves its line.
func TestEarlyEndsAreLogged(t *testing.T) {
	half := func(w net.Conn, g standin.Got) bool {
		_, _ = w.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: " + g.ID + "\r\n" + standin.Seal + "Transfer-Encoding: chunked\r\n\r\n"))
		event := standin.Event(1)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		return false
	}
	for name, x := range map[string]struct {
		play  standin.Play
		path  string
		know  bool
		how   telemetry.Ending
		cause codes.Code
	}{
		"stream broke":    {half, "/stream/", true, telemetry.BrokenOff, codes.ReplicaBroke},
		"replica full":    {standin.Full, "/unsafe/", true, telemetry.Refused, codes.NoReplica},
		"not known":       {standin.Well, "/unsafe/", false, telemetry.Refused, codes.NotReady},
		"replica is mute": {func(w net.Conn, _ standin.Got) bool { return false }, "/unsafe/", true, telemetry.Refused, codes.ReplicaBroke},
		"past its time":   {neverAnswers(concurrency.NewMark()), "/unsafe/", true, telemetry.Refused, codes.PastDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			lines := collectEarlyLines(t)
			g := newRig(t, x.play)
			g.r.Current = func() bool { return x.know }
			_, _ = g.ask(x.path, "early", "Deadline-Ms: 400")
			until(t, "the line", func() bool { return lines.has("early", x.how, x.cause) })
		})
	}
	t.Run("client left", func(t *testing.T) {
		is := is.New(t)
		lines := collectEarlyLines(t)
		in := concurrency.NewMark()
		g := newRig(t, neverAnswers(in))
		k := standin.Call(g.addr)
		k.Put("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: early\r\nContent-Length: 0\r\n\r\n")
		is.True(in.Wait(10 * clock.Second))
		k.Close()
		until(t, "the line", func() bool { return lines.has("early", telemetry.Abandoned, codes.ClientLeft) })
	})
}
