//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { cases["replace"] = replace }

// catchUp is catch-up-s, and a little more.
const catchUp = 4200 * time.Millisecond

// apart is the time from one removal to the next.
const apart = 2 * time.Second

// replace: two machines of the core are replaced in order, in their zones: the new
// ones first, and the old ones leave for good, one after the other, once the new ones
// have had catch-up-s. What was acknowledged must be readable.
func replace(s *stage) (int, error) {
	var err error
	if s.plat, err = newPlatform(); err != nil {
		return unplayable, err
	}
	r, err := newStatusReplica(1, "v1", s.log)
	if err != nil {
		return unplayable, err
	}
	s.plat.set(r.entry)
	if err := s.open(2, statusConfiguration(1)); err != nil {
		return unplayable, err
	}
	change := func(version, keeper int) bool {
		body := fmt.Sprintf(`{"version":%d,"upsert":{"route-table":[{"name":"r-status-1","authority":"ci.example","path-prefix":"/status-1/","route-class":"safe","timeout-ms":%d,"target-ms":300,"priority":2,"service":"status-api","max-attempts":2}]}}`, version, 1500+version)
		return s.until(4*time.Second, func() bool {
			st, _ := s.order(keeper, "POST", "/-/configuration/modify", body, fmt.Sprint(version-1))
			return st == 200
		})
	}
	if !change(2, 3) {
		return unplayable, fmt.Errorf("the first change was not acknowledged")
	}
	live := []int{1, 2, 3}
	acked := 2
	if s.trouble {
		for fresh := 4; fresh <= 5; fresh++ {
			if err := s.startKeeper(fresh, false); err != nil {
				return unplayable, err
			}
		}
		time.Sleep(catchUp)
		for old := 1; old <= 2; old++ {
			s.leave(fmt.Sprintf("keeper-%d", old))
			live = append(live[1:], old+3)
			time.Sleep(apart)
		}
	} else {
		time.Sleep(catchUp + 2*apart)
	}
	// recovery-s is 12, and all other times of the site are shorter
	read, begun := 0, time.Now()
	for n := 0; time.Since(begun) < 30*time.Second && read < 6; n++ {
		st, body := s.order(live[n%len(live)], "GET", "/-/configuration/retrieve", "", "")
		var v struct {
			Version int `json:"version"`
		}
		if st == 200 && json.Unmarshal([]byte(body), &v) == nil {
			if v.Version < acked {
				s.log("judge: CONFIG is broken: version %d is read, %d was acknowledged", v.Version, acked)
				return broken, nil
			}
			read++
		}
		time.Sleep(500 * time.Millisecond)
	}
	if read == 0 {
		s.log("judge: CONFIG is broken: what was acknowledged does not come, at any daemon, for %.0f s", time.Since(begun).Seconds())
		return broken, nil
	}
	s.log("judge: read back %d times, the first %v after the last removal at the latest", read, time.Since(begun).Round(time.Second))
	if !change(3, live[0]) {
		s.log("judge: a further change is not acknowledged")
	}
	return held, nil
}

// leave stops a machine for good: SIGTERM, and what was on its disk is gone.
func (s *stage) leave(name string) {
	s.mu.Lock()
	c := s.procs[name]
	delete(s.procs, name)
	s.mu.Unlock()
	_ = c.Process.Signal(syscall.SIGTERM)
	s.log("%s gets SIGTERM, and leaves for good", name)
	_ = c.Wait()
	_ = os.RemoveAll(s.dir + "/" + name)
}
