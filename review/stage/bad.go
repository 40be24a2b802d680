//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

func number(name string, other int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return other
}

func init() {
	cases["bad"] = bad
	cases["forget"] = forget
}

// bad: an order brings in a version half of whose answers are failures. No request
// may be sent to it later than rollback-ms after its 50th bad answer.
func bad(s *stage) (int, error) { return s.bringIn(4, s.trouble, 0) }

// forget: the same on one route. In trouble all keepers are killed at once when
// the version has given a few bad answers, and are back within a second.
func forget(s *stage) (int, error) {
	kill := int64(0)
	if s.trouble {
		kill = int64(number("KILLAT", forgetAt))
	}
	return s.bringIn(1, true, kill)
}

// contact is contact-ms.
const contact = 3 * time.Second

// forgetAt is after how many bad answers the keepers are killed.
const forgetAt = 9

// bringIn has an order bring in a version, a bad one or not. If kill is not 0, all
// keepers are killed after so many bad answers.
func (s *stage) bringIn(routes int, bad bool, kill int64) (int, error) {
	relays, perS := number("RELAYS", 3), number("PERS", 60)
	var err error
	s.extra = "exposure-share = 0.1\nexposure-slack = 50\nrollback-ms = 5000\n"
	if s.plat, err = newPlatform(); err != nil {
		return unplayable, err
	}
	var olds, both []entry
	var news []*statusReplica
	for i := 1; i <= 6; i++ {
		version, log := "v1", (func(string, ...any))(nil)
		if i > 3 {
			version, log = "v2", s.log
		}
		r, err := newStatusReplica(i, version, log)
		if err != nil {
			return unplayable, err
		}
		both = append(both, r.entry)
		if i > 3 {
			if bad {
				r.share.Store(int64(number("SHARE", badShare)))
			}
			news = append(news, r)
		} else {
			olds = append(olds, r.entry)
		}
	}
	s.plat.set(olds...)
	if err := s.open(relays, statusConfiguration(routes)); err != nil {
		return unplayable, err
	}
	stop, got := make(chan struct{}), &answers{}
	defer close(stop)
	go s.statusTraffic(stop, perS, relays, routes, got)
	time.Sleep(3 * time.Second)
	s.log("clients until the order: %v", got)
	s.plat.set(both...)
	if st, _ := s.order(1, "POST", "/-/rollouts/initiate", rolloutOrder, ""); st != 200 {
		return unplayable, fmt.Errorf("the order was not taken")
	}
	ordered := time.Now()
	var fifty time.Time
	ran := func() (n, failed int64) {
		for _, r := range news {
			n, failed = n+r.runs.Load(), failed+r.failed.Load()
		}
		return n, failed
	}
	// before is how many bad answers came before the core was last unsettled.
	var late, last, before int64
	// settled is when the core is settled again.
	var settled time.Time
	state, read := "", time.Now()
	for time.Since(ordered) < 32*time.Second {
		time.Sleep(50 * time.Millisecond)
		n, failed := ran()
		if kill > 0 && failed >= kill {
			kill = 0
			if err := s.killCore(failed); err != nil {
				return unplayable, err
			}
			settled, fifty = time.Now().Add(contact), time.Time{}
		}
		if time.Now().Before(settled) {
			before = failed
		}
		if failed-before >= 50 && fifty.IsZero() {
			fifty = time.Now()
			s.log("judge: the 50th bad answer has been given (since the core was last unsettled)")
		}
		if !fifty.IsZero() && time.Since(fifty) > 5500*time.Millisecond {
			late += n - last
		}
		last = n
		if time.Since(read) < 300*time.Millisecond {
			continue
		}
		read = time.Now()
		if now := s.rollout(1); now != "" && now != state {
			state = now
			s.log("judge: %s %.1f s after the order; v2 ran %d so far; clients got %v", state, time.Since(ordered).Seconds(), n, got)
			if state == "completed" {
				s.plat.set(both[3:]...) // the old replicas stop
			}
		}
	}
	n, failed := ran()
	s.log("judge: at the end %s; v2 ran %d and failed %d; clients got %v since", state, n, failed, got)
	if late > 0 {
		s.log("judge: EXPOSURE is broken: %d requests were sent to the bad version later than rollback-ms after its 50th bad answer", late)
		return broken, nil
	}
	if !bad && state != "completed" {
		return unplayable, fmt.Errorf("the good version is %s", state)
	}
	return held, nil
}

// killCore kills all keepers at once and starts them again within a second.
func (s *stage) killCore(failed int64) error {
	s.log("after %d bad answers all keepers are killed", failed)
	for i := 1; i <= 3; i++ {
		s.signal(fmt.Sprintf("keeper-%d", i), syscall.SIGKILL)
	}
	time.Sleep(700 * time.Millisecond)
	for i := 1; i <= 3; i++ {
		if err := s.startKeeper(i, false); err != nil {
			return err
		}
	}
	return nil
}
