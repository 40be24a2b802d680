package relay

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/standin"
)

const (
	// longBody is longer than what the kernel takes of a request that nobody reads, in bytes.
	longBody = 8 << 20
	// early is how many bytes of it are read before the answer.
	early = 32 << 10
)

// longAsk is a request with a long body, on a connection of its own.
func (g *rig) longAsk(path, id string, fields ...string) (standin.Reply, error) {
	k := standin.Call(g.addr)
	defer k.Close()
	k.Put(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", path, host, id, longBody,
		strings.Join(append(fields, ""), "\r\n"), strings.Repeat("x", longBody)))
	return k.Get()
}

// newEarlyRig is a rig whose replicas answer before they have read a long body.
func newEarlyRig(t *testing.T, plays ...standin.Play) (*rig, *concurrency.Mark) {
	g := newRig(t, plays...)
	g.patient()
	g.r.View.mu.Lock()
	g.r.View.table.Limits.BodyBytes = longBody
	g.r.View.mu.Unlock()
	readOn := concurrency.NewMark()
	t.Cleanup(readOn.Set)
	for _, r := range g.reps {
		r.AnswerEarly(&standin.Early{First: early, ReadOn: readOn, Within: 20 * clock.Second})
	}
	return g, readOn
}

// TWICE: a request that is answered before its body was read runs once, and its answer is passed on.
func TestAnsweredEarly(t *testing.T) {
	for name, status := range map[string]int{"well": 200, "its own failure": 500} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			play := func(w net.Conn, g standin.Got) bool { return standin.Say(w, g.ID, status, standin.Seal, "early") }
			g, readOn := newEarlyRig(t, play, play)
			r, err := g.longAsk("/unsafe/", "id1")
			is.NoErr(err)
			is.Equal(r.Status, status)
			is.Equal(r.Body, "early")
			is.True(r.Seal != "")
			is.Equal(g.arrivals(), 1)
			readOn.Set()
			first := g.reps[0]
			if len(first.Got()) == 0 {
				first = g.reps[1]
			}
			until(t, "the rest of the body", func() bool { return first.Read() == longBody })
		})
	}
}

// UNASKED: nothing else comes in the place of a body that is read later, and the connection
// serves on once it was read.
func TestReadOnLater(t *testing.T) {
	is := is.New(t)
	g, readOn := newEarlyRig(t, standin.Well)
	r, err := g.longAsk("/unsafe/", "id1")
	is.NoErr(err)
	is.Equal(r.Status, 200)
	g.reps[0].AnswerEarly(nil)
	r, err = g.ask("/unsafe/", "id2") // while the rest of the first is due
	is.NoErr(err)
	is.Equal(r.Status, 200)
	is.Equal(g.reps[0].Conns(), 2)
	due := g.reps[0].Read() + longBody - early
	readOn.Set()
	until(t, "the rest of the body", func() bool { return g.reps[0].Read() == due })
	for i := range 4 {
		r, err = g.ask("/unsafe/", fmt.Sprint("later", i))
		is.NoErr(err)
		is.Equal(r.Status, 200)
	}
	is.Equal(g.reps[0].Conns(), 2)
	is.Equal(g.arrivals(), 6)
}

// REFUSED: a request of which a part has left may have run, however its try ends.
func TestPartlySentMayHaveRun(t *testing.T) {
	never := func(net.Conn, standin.Got) bool { return true }
	for name, c := range map[string]struct {
		play                 standin.Play
		fields               []string
		status, unsafe, safe int
	}{
		"no answer until the deadline": {never, []string{"Deadline-Ms: 500"}, 504, 1, 1},
		"closed":                       {standin.Break, nil, 502, 1, 2},
		"reset":                        {standin.Reset(""), nil, 502, 1, 2},
		"turned away":                  {standin.Full, nil, 503, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, _ := newEarlyRig(t, c.play, c.play)
			r, err := g.longAsk("/unsafe/", "id1", c.fields...)
			is.NoErr(err)
			is.Equal(r.Status, c.status)
			is.Equal(g.arrivals(), c.unsafe)
			g, _ = newEarlyRig(t, c.play, c.play)
			r, err = g.longAsk("/safe/", "id1", c.fields...)
			is.NoErr(err)
			is.Equal(r.Status, c.status)
			is.Equal(g.arrivals(), c.safe)
		})
	}
}

// TWICE: a sound replica that does not read for longer than a dead machine stays silent is waited for.
func TestShutWindowIsNoSilence(t *testing.T) {
	is := is.New(t)
	slow := func(w net.Conn, g standin.Got) bool {
		clock.Sleep(1200 * clock.Millisecond) // beyond the 500 ms after which a machine counts as silent
		return standin.Well(w, g)
	}
	g, _ := newEarlyRig(t, slow, slow)
	r, err := g.longAsk("/unsafe/", "id1")
	is.NoErr(err)
	is.Equal(r.Status, 200)
	is.Equal(g.arrivals(), 1)
}
