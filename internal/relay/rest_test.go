package relay

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/standin"
)

// resting is a client's connection on which nothing comes: each step is what
// happens before the next deadline.
type resting struct {
	net.Conn
	steps []func()
	reads int
	shut  bool
}

func (c *resting) Read([]byte) (int, error) {
	c.reads++
	if len(c.steps) == 0 {
		return 0, net.ErrClosed
	}
	c.steps[0]()
	c.steps = c.steps[1:]
	return 0, os.ErrDeadlineExceeded
}
func (c *resting) Close() error                         { c.shut = true; return nil }
func (c *resting) SetReadDeadline(t clock.Moment) error { return nil }

// A resting connection is kept as long as the longest time that any
// configuration in force since its last use allows, and no longer.
func TestRestingIsKept(t *testing.T) {
	const long, short = 10000, 2000
	for name, x := range map[string]struct {
		before, after float64
		moves         []float64
		reads         int
	}{
		"unchanged":            {short, short, []float64{short}, 1},
		"shortened":            {long, short, []float64{short, long - short - 1, 1}, 3},
		"lengthened":           {short, long, []float64{short, long - short - 1, 1}, 3},
		"a deadline too early": {short, short, []float64{short - 1, 1}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := &clock.Sim{}
			defer sim.Use()()
			sim.Move(clock.Minute)
			v := &View{Fleet: routing.NewFleet("z1", clock.Second)}
			n := ids.Version(0)
			limit := func(ms float64) {
				n++
				b, err := json.Marshal(map[string]any{"version": n, "route-table": []any{}, "service-table": []any{}, "limits": map[string]any{"idle-timeout-ms": ms}})
				is.NoErr(err)
				v.Take(consensus.Item{Key: ids.Configuration, Val: (&configuration.State{Version: n, JSON: b}).Encode()})
				is.Equal(v.Table().Version, n)
			}
			limit(x.before)
			sim.Move(clock.Minute)
			r := NewRelay(v, nil, 1, 1, 1)
			c := &resting{}
			for i, ms := range x.moves {
				c.steps = append(c.steps, func() {
					if i == 0 && x.after != x.before {
						limit(x.after)
					}
					sim.Move(clock.Ms(ms))
				})
			}
			(&Client{conn: c, relay: r}).serve()
			is.Equal(c.reads, x.reads)
			is.True(c.shut)
		})
	}
}

// Where there is no room, new connections are refused unread; those that rest
// stay and are served.
func TestRestingBeforeNew(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	g.r.mu.Lock()
	g.r.connectionsMost = 1
	g.r.mu.Unlock()
	k := standin.Call(g.addr)
	defer k.Close()
	r, err := k.Ask(host, "/unsafe/", "id1", "")
	is.NoErr(err)
	is.Equal(r.Status, 200)
	for range 3 {
		_, err := g.ask("/unsafe/", "id2")
		is.True(err != nil)
	}
	r, err = k.Ask(host, "/unsafe/", "id3", "")
	is.NoErr(err)
	is.Equal(r.Status, 200)
	is.Equal(g.arrivals(), 2)
}

// LOST: a relay that leaves waits for a request that is still being read, and
// answers it.
func TestLeaveWaitsForWhatIsRead(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	g.patient()
	k := standin.Call(g.addr)
	defer k.Close()
	k.Put("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbo")
	until(t, "the head", func() bool { return g.r.reading() })
	left := concurrency.NewMark()
	concurrency.Go(func() {
		g.r.Leave(20*clock.Second, 0)
		left.Set()
	})
	until(t, "the closing", g.r.closed)
	is.True(!left.Wait(100 * clock.Millisecond))
	k.Put("dy")
	r, err := k.Get()
	is.NoErr(err)
	is.Equal(r.Status, 200)
	is.True(r.Close)
	is.True(left.Wait(20 * clock.Second))
}

// reading tells whether a body is being read.
func (r *Relay) reading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies > 0
}

func (r *Relay) closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closing
}

// A body that does not come in time is answered: nothing ran.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	g.r.View.mu.Lock()
	g.r.View.table.Limits.HeadMs, g.r.View.table.Limits.IdleMs = 100, 100
	g.r.View.mu.Unlock()
	k := standin.Call(g.addr)
	defer k.Close()
	k.Put("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\n")
	r, err := k.Get()
	is.NoErr(err)
	is.Equal(r.Status, 408)
	is.Equal(r.ID, "a")
	is.True(r.Close)
	is.Equal(g.arrivals(), 0)
	is.True(!strings.Contains(r.Body, "201"))
}

// A request that comes while the relay knows too little is not held beyond a
// quarter of its aim.
func TestNotHeldUntried(t *testing.T) {
	is := is.New(t)
	sim := &clock.Sim{}
	defer sim.Use()()
	g := newRig(t, standin.Well)
	g.r.Current = func() bool {
		sim.Move(10 * clock.Millisecond) // each look takes some of the time
		return false
	}
	r, err := g.ask("/unsafe/", "id1", "Deadline-Ms: 60000")
	is.NoErr(err)
	is.Equal(r.Status, 503)
	is.True(clock.Now() < clock.Tick(100*clock.Millisecond)) // the aim is 400 ms
}

// What comes before the first list is held for it beyond a quarter of its aim.
func TestHeldForTheFirstList(t *testing.T) {
	is := is.New(t)
	g := newRig(t, standin.Well)
	g.holdForNews()
	listed := g.r.Fleet
	f := routing.NewFleet("z1", 300*clock.Second)
	g.r.Fleet, g.r.View.Fleet = f, f
	n := &Request{relay: g.r, Head: &httpmessage.Request{Host: "h.example", URI: "/safe/"}, begun: clock.Now().Add(-200 * clock.Millisecond)}
	is.Equal(n.newsTimeout(), newsTimeoutMost)
	g.r.Fleet = listed
	is.Equal(n.newsTimeout(), 80*clock.Millisecond) // the aim is 400 ms
	g.r.Fleet = f
	awake, done := false, concurrency.NewMark()
	concurrency.Go(func() {
		awake = n.awaitNews()
		done.Set()
	})
	is.True(!done.Wait(100 * clock.Millisecond))
	g.list("in_service")
	is.True(done.Wait(20 * clock.Second))
	is.True(awake)
}

// UNASKED: a request whose body ends short is sent to nobody.
func TestBodyCutByClient(t *testing.T) {
	for _, body := range []string{"Content-Length: 4\r\n\r\nbod", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"} {
		is := is.New(t)
		g := newRig(t, standin.Well)
		g.patient()
		k := standin.Call(g.addr)
		k.Put("POST /safe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n" + body)
		until(t, "the body", g.r.reading)
		k.Close()
		until(t, "the end", func() bool { return g.r.openConnections() == 0 })
		is.Equal(g.arrivals(), 0)
	}
}
