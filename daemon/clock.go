package daemon

import (
	"sync/atomic"
	"time"
)

// clock is the monotonic clock of one instance, as other processes see it: milliseconds
// from 1 at its start.
type clock struct {
	started time.Time
	ticked  atomic.Int64 // the reading at the last tick
	thawed  atomic.Int64 // the reading when a pause was last noticed
}

func newClock(now time.Time) *clock {
	c := &clock{started: now}
	c.ticked.Store(c.read(now))
	return c
}

// read returns the reading at a time.
func (c *clock) read(t time.Time) int64 { return t.Sub(c.started).Milliseconds() + 1 }

// at returns the time of a reading, which is never after now.
func (c *clock) at(reading uint64, now time.Time) time.Time {
	if reading == 0 {
		return c.started
	}
	if reading > uint64(c.read(now)) {
		return now
	}
	return c.started.Add(time.Duration(reading-1) * time.Millisecond)
}

const (
	// pauseThreshold is the time between two ticks above which the process was frozen.
	pauseThreshold = 700 * time.Millisecond
	// thawTime is how long after a pause messages may still come that were sent before it.
	thawTime = time.Second
)

// tick is called often.
func (c *clock) tick(now time.Time) {
	c.isThawing(now)
	c.ticked.Store(c.read(now))
}

// isThawing reports whether the process was frozen a moment ago, so that what it reads may
// have waited for long.
func (c *clock) isThawing(now time.Time) bool {
	r := c.read(now)
	if r-c.ticked.Load() > pauseThreshold.Milliseconds() {
		c.thawed.Store(r)
		return true
	}
	thawed := c.thawed.Load()
	return thawed > 0 && r-thawed < thawTime.Milliseconds()
}
