// Package schedule runs tasks by cron-like calendars. The time of day is all that a
// calendar can go by, so nothing that has to hold may hang on one.
package schedule

import (
	"github.com/robfig/cron/v3"

	"spoolswitch/internal/clock"
)

// Calendar says when a task is due.
type Calendar struct {
	s    cron.Schedule
	next clock.Moment
	day  clock.Moment
	at   clock.Tick
}

const stepped = clock.Minute

// Parse reads a calendar of five fields, or one like @daily.
func Parse(s string) (*Calendar, error) {
	x, err := cron.ParseStandard(s)
	if err != nil {
		return nil, err
	}
	return &Calendar{s: x}, nil
}

// Due tells whether the task is due now. After a step of the time of day the
// next time is reckoned anew, so that a step makes it early or late once.
func (c *Calendar) Due(day clock.Moment) bool {
	now := clock.Now()
	first := c.next.IsZero()
	if !first {
		off := day.Sub(c.day) - now.Sub(c.at)
		if off > stepped || off < -stepped {
			first = true
		}
	}
	c.day, c.at = day, now
	if first {
		c.next = c.s.Next(day)
		return false
	}
	if day.Before(c.next) {
		return false
	}
	c.next = c.s.Next(day)
	return true
}
