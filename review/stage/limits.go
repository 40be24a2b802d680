//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["limits"] = limits }

// limits: a configuration raises max-body-bytes. A request that is sent later than
// config-apply-ms after its acknowledgement, on a connection that has rested
// meanwhile, has a body that it allows.
func limits(s *stage) (int, error) {
	var err error
	if s.plat, err = newPlatform(); err != nil {
		return unplayable, err
	}
	var list []entry
	for i := 1; i <= 3; i++ {
		r, err := newStatusReplica(i, "v1", s.log)
		if err != nil {
			return unplayable, err
		}
		list = append(list, r.entry)
	}
	s.plat.set(list...)
	before, after := statusConfiguration(1), strings.Replace(statusConfiguration(1), `"version":1`, `"version":2`, 1)
	if s.trouble {
		before = strings.Replace(before, `"max-body-bytes":4194304`, `"max-body-bytes":65536`, 1)
	}
	if err := s.open(3, before); err != nil {
		return unplayable, err
	}
	var conns []*keptConn
	for i := 1; i <= 6; i++ {
		k, err := s.keep(1 + i%3)
		if err != nil {
			return unplayable, err
		}
		defer k.c.Close()
		conns = append(conns, k)
		if st, err := k.ask(s, fmt.Sprintf("%016x", 0xa0+i), 1000); st != 200 {
			return unplayable, fmt.Errorf("a short request got %d, %v", st, err)
		}
	}
	time.Sleep(time.Second)
	if s.trouble && !s.until(4*time.Second, func() bool {
		st, _ := s.order(1, "POST", "/-/configuration/replace", after, "1")
		return st == 200
	}) {
		return unplayable, fmt.Errorf("the configuration was not taken")
	}
	time.Sleep(4 * time.Second) // config-apply-ms is 2 s, a connection may rest for 12 s
	got := held
	for i, k := range conns {
		id := fmt.Sprintf("%016x", 0xb0+i)
		st, err := k.ask(s, id, 200000)
		if st == 413 {
			s.log("judge: CONFIG is broken: %s is refused with 413, as only version 1 allows", id)
			got = broken
		} else if st != 200 {
			return unplayable, fmt.Errorf("%s got %d, %v", id, st, err)
		}
		// the same on a new connection, for comparison
		n, err := s.keep(k.relay)
		if err != nil {
			return unplayable, err
		}
		if st, err := n.ask(s, fmt.Sprintf("%016x", 0xc0+i), 200000); st != 200 {
			return unplayable, fmt.Errorf("on a new connection: %d, %v", st, err)
		}
		n.c.Close()
	}
	return got, nil
}

// keptConn is a client's connection that is used again.
type keptConn struct {
	relay int
	c     net.Conn
	br    *bufio.Reader
}

func (s *stage) keep(relay int) (*keptConn, error) {
	c, err := net.Dial("tcp4", s.front(relay))
	if err != nil {
		return nil, err
	}
	return &keptConn{relay, c, bufio.NewReader(c)}, nil
}

// ask sends a request with a body of a length and tells the status that came.
func (k *keptConn) ask(s *stage, id string, length int) (int, error) {
	_ = k.c.SetDeadline(time.Now().Add(3 * time.Second))
	s.log("client: sends %s to relay %d from %v, %d bytes", id, k.relay, k.c.LocalAddr(), length)
	go func() {
		_, _ = fmt.Fprintf(k.c, "POST /status-1/2f HTTP/1.1\r\nHost: ci.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("x", length))
	}()
	r, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	s.log("client: %s is answered with %d %.80q", id, r.StatusCode, b)
	return r.StatusCode, err
}
