package relay

import (
	"net"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/pool"
	"spoolswitch/internal/quota"
	"spoolswitch/internal/routing"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/telemetry"
)

// Relay takes connections of clients and serves them.
type Relay struct {
	View   *View
	Fleet  *routing.Fleet
	Budget *routing.Budget
	// Current tells whether what the relay knows may be acted upon.
	Current func() bool
	// Tell has other relays told that a record has drifted.
	Tell func(routing.Drift)

	// Tokens has what requests of tenants with limits spend; nil where nobody keeps to limits.
	Tokens *quota.Pump
	// KeepersSilent, if set, is for how long no keeper that was asked for tokens has answered.
	KeepersSilent func() clock.Span

	// Meter counts the lengths that pass through, if pools are planned.
	Meter *pool.Meter

	// BodiesMost bounds the bytes of clients' bodies that are held at once.
	BodiesMost int64

	// newsTimeout, if set, tells how long a request may be held for the first news.
	newsTimeout func(*Request) clock.Span

	senders *concurrency.Pool
	queue   *Queue
	bodies  int64
	sizes   routing.Sizes
	draws   draws
	mu      sync.Mutex
	leaving bool
	closing bool
	// leftFrom is when the leaving began, intakeEnd when a relay that leaves takes
	// its last request, graceEnd when it ends what is still under way.
	leftFrom, intakeEnd, graceEnd clock.Tick
	running                       map[*Request]bool
	idles                         map[*Client]bool
	open                          int
	connectionsMost               int
}

// NewRelay makes a relay that holds at most most connections of clients.
func NewRelay(v *View, b *routing.Budget, senders, queue, most int) *Relay {
	return &Relay{View: v, Fleet: v.Fleet, Budget: b, senders: concurrency.NewPool(senders, queue), queue: &Queue{Most: queue}, idles: map[*Client]bool{}, running: map[*Request]bool{}, connectionsMost: most,
		Current: func() bool { return true }}
}

// Serve serves clients that come in at l.
func (r *Relay) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			r.mu.Lock()
			over := r.closing
			r.mu.Unlock()
			if over {
				return
			}
			clock.Sleep(5 * clock.Millisecond)
			continue
		}
		telemetry.Counter("client.connections").Add(1)
		rpc.Tune(c, 5*clock.Second)
		r.mu.Lock()
		if r.open >= r.connectionsMost {
			r.mu.Unlock()
			telemetry.CountEarlyEnd(telemetry.Closed, codes.NoConnection)
			_ = c.Close()
			continue
		}
		r.open++
		r.mu.Unlock()
		concurrency.Go(func() {
			(&Client{conn: c, relay: r}).serve()
			r.mu.Lock()
			r.open--
			r.mu.Unlock()
		})
	}
}

func (r *Relay) idle(k *Client, on bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !on {
		delete(r.idles, k)
		return true
	}
	if r.closing {
		return false
	}
	r.idles[k] = true
	return true
}

func (r *Relay) reserve(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.BodiesMost > 0 && r.bodies+n > r.BodiesMost {
		return false
	}
	r.bodies += n
	return true
}

func (r *Relay) release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies -= n
}

func (r *Relay) enter(n *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[n] = true
}

func (r *Relay) exit(n *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, n)
}

// Active is how many requests are under way.
func (r *Relay) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// openConnections is how many connections of clients there are.
func (r *Relay) openConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *Relay) retryAfter() clock.Span { return 250 * clock.Millisecond }

func (r *Relay) known() bool { return r.View.Table() != nil && r.Fleet.HasList() && r.Current() }

// Ready tells whether the platform may send new connections here.
func (r *Relay) Ready() bool {
	t := r.View.Table()
	return !r.Leaving() && t != nil && r.Fleet.HasList() && !(t.Limited && r.cutOff())
}

// cutOffAfter is how long no keeper may answer before a relay that has tenants with limits is not ready: it can
// serve them no more, and others can.
const cutOffAfter = clock.Second

// cutOff tells whether the relay cannot reach any keeper that grants tokens.
func (r *Relay) cutOff() bool { return r.KeepersSilent != nil && r.KeepersSilent() > cutOffAfter }
