//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["again"] = again }

// again: a rollout is reverted; later the operator orders the same version once
// more, now a good one, and the order is acknowledged. In trouble the keeper that
// gave the last acknowledgements was killed before that, and at the end comes the
// closing fault.
func again(s *stage) (int, error) {
	var err error
	s.extra = "exposure-share = 0.1\nexposure-slack = 50\nrollback-ms = 5000\n"
	if s.plat, err = newPlatform(); err != nil {
		return unplayable, err
	}
	var olds, news []*statusReplica
	for i := 1; i <= 6; i++ {
		version, log := "v1", (func(string, ...any))(nil)
		if i > 3 {
			version, log = "v2", s.log
		}
		r, err := newStatusReplica(i, version, log)
		if err != nil {
			return unplayable, err
		}
		if i > 3 {
			r.share.Store(badShare)
			news = append(news, r)
		} else {
			olds = append(olds, r)
		}
	}
	list := func(state string) {
		var l []entry
		for _, r := range olds {
			l = append(l, r.entry)
		}
		for _, r := range news {
			if e := r.entry; state != "" {
				e.State = state
				l = append(l, e)
			}
		}
		s.plat.set(l...)
	}
	list("")
	if err := s.open(3, statusConfiguration(1)); err != nil {
		return unplayable, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.statusTraffic(stop, 60, 3, 1, &answers{})

	// the first order: v2 is bad
	list("in_service")
	if st, _ := s.order(1, "POST", "/-/rollouts/initiate", rolloutOrder, ""); st != 200 {
		return unplayable, fmt.Errorf("the first order was not taken")
	}
	if !s.until(18*time.Second, func() bool { return s.rollout(1) == "reverted" }) {
		return unplayable, fmt.Errorf("the first order was not reverted")
	}
	time.Sleep(3 * time.Second)
	list("draining")
	time.Sleep(4 * time.Second)
	list("")
	time.Sleep(8 * time.Second) // far more than ack-ms, for which orders may be sent again
	for _, r := range news {
		r.share.Store(0)
		r.runs.Store(0)
	}

	// the second order: v2 has been mended
	if s.trouble {
		s.signal("keeper-1", syscall.SIGKILL)
		time.Sleep(time.Second)
	}
	list("in_service")
	acked := s.until(4*time.Second, func() bool {
		st, _ := s.order(2, "POST", "/-/rollouts/initiate", rolloutOrder, "")
		return st == 200
	})
	if !acked {
		return unplayable, fmt.Errorf("the second order was not acknowledged")
	}
	s.log("judge: the second order is acknowledged")
	seen := map[string]int{}
	read := func(d time.Duration, keepers ...int) {
		end := time.Now().Add(d)
		for i := 0; time.Now().Before(end); i++ {
			if st := s.rollout(keepers[i%len(keepers)]); st != "" {
				seen[st]++
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	read(1500*time.Millisecond, 2, 3)
	if s.trouble {
		if err := s.startKeeper(1, false); err != nil {
			return unplayable, err
		}
	}
	read(4*time.Second, 2, 3)
	if s.trouble {
		s.log("closing fault: all processes of the core are killed, and return within a second")
		for i := 1; i <= 3; i++ {
			s.signal(fmt.Sprintf("keeper-%d", i), syscall.SIGKILL)
		}
		time.Sleep(700 * time.Millisecond)
		for i := 1; i <= 3; i++ {
			if err := s.startKeeper(i, false); err != nil {
				return unplayable, err
			}
		}
		time.Sleep(time.Second)
	}
	read(8*time.Second, 1, 2, 3)
	runs := int64(0)
	for _, r := range news {
		runs += r.runs.Load()
	}
	s.log("judge: states read after the acknowledgement: %v; requests that reached v2 since: %d", seen, runs)
	if len(seen) == 0 {
		return unplayable, fmt.Errorf("nothing could be read back")
	}
	if seen["in_progress"]+seen["completed"] == 0 && runs == 0 {
		s.log("judge: LOST is broken: the acknowledged rollout does not exist")
		return broken, nil
	}
	return held, nil
}
