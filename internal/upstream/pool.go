package upstream

import (
	"errors"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
)

// ErrMistaken says that only answers to other tries came.
var ErrMistaken = errors.New("the answer belongs to another try")

// Pool keeps the idle connections to one life of a replica.
type Pool struct {
	Addr ids.Addr
	mu   sync.Mutex
	idle []*Conn
	shut bool
	open int
}

// Open is how many connections there are.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Get finds an idle connection for a try, given by a hash of its id, or makes
// one.
func (p *Pool) Get(try uint64, timeout clock.Span) (*Conn, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.open++
			p.mu.Unlock()
			break
		}
		k := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if clock.Now() < k.until && k.quiet() && k.take(try) {
			reused.Add(1)
			return k, nil
		}
		p.Drop(k)
	}
	k, err := dial(p.Addr, timeout)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	k.take(try)
	return k, nil
}

// Drop closes a connection.
func (p *Pool) Drop(k *Conn) {
	k.Cut()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Give takes a connection back after a whole answer, or closes it if it may
// not be used again. Where the replica has not read the whole request yet, the rest is sent first:
// nothing else may come in its place.
func (p *Pool) Give(k *Conn, a *httpmessage.Response) {
	if k.spent || a.Close {
		p.Drop(k)
		return
	}
	if s := k.sending; s != nil {
		if s.afterwards(func(bool) { p.Give(k, a) }) {
			return
		}
		if _, whole := s.ended(); !whole {
			p.Drop(k)
			return
		}
	}
	if k.patient && !k.delivered() {
		concurrency.Go(func() { p.giveDelivered(k, a) })
		return
	}
	k.expectOpenWindow()
	if k.br.Buffered() > 0 {
		surplus.Add(1)
		p.Drop(k)
		return
	}
	d := idleDefault
	if a.Alive > 0 {
		d = a.Alive - idleMargin
	}
	if d <= 0 {
		p.Drop(k)
		return
	}
	k.until = clock.Now().Add(d)
	k.used++
	p.mu.Lock()
	if p.shut {
		p.mu.Unlock()
		p.Drop(k)
		return
	}
	p.idle = append(p.idle, k)
	var old []*Conn
	for len(p.idle) > 0 && clock.Now() >= p.idle[0].until {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, o := range old {
		p.Drop(o)
	}
}

// giveDelivered gives a connection back once the replica's machine has taken all that was sent on it.
func (p *Pool) giveDelivered(k *Conn, a *httpmessage.Response) {
	for clock.Now() < k.deadline {
		if k.delivered() {
			p.Give(k, a)
			return
		}
		clock.Sleep(deliveryLook)
	}
	p.Drop(k)
}

// Flush closes the idle connections: those to a replica that went silent would
// swallow what is sent on them.
func (p *Pool) Flush() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, k := range idle {
		p.Drop(k)
	}
}

// Shut closes the idle connections; those in use are closed when given back.
func (p *Pool) Shut() {
	p.mu.Lock()
	p.shut = true
	p.mu.Unlock()
	p.Flush()
}
