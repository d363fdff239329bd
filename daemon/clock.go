package daemon

import (
	"sync/atomic"
	"time"
)

// clock is the monotonic clock of one instance in the form that is sent to other processes:
// milliseconds, beginning with 1 at the start. It also detects pauses of the process.
type clock struct {
	started   time.Time
	lastTick  atomic.Int64 // reading at the last tick
	lastPause atomic.Int64 // reading when a pause was last detected; 0 if never
}

func newClock(now time.Time) *clock {
	c := &clock{started: now}
	c.lastTick.Store(c.read(now))
	return c
}

// read returns the reading at time t.
func (c *clock) read(t time.Time) int64 { return t.Sub(c.started).Milliseconds() + 1 }

// timeOf returns the time of a reading, limited to the range from the start to now.
func (c *clock) timeOf(reading uint64, now time.Time) time.Time {
	if reading == 0 {
		return c.started
	}
	if reading > uint64(c.read(now)) {
		return now
	}
	return c.started.Add(time.Duration(reading-1) * time.Millisecond)
}

const (
	// pauseThreshold is the time between two ticks above which the process counts as paused.
	pauseThreshold = 700 * time.Millisecond
	// pauseRecovery is how long after a pause the process may still read messages that were sent before
	// or during it.
	pauseRecovery = time.Second
)

// tick records that the process runs. It must be called more often than every pauseThreshold.
func (c *clock) tick(now time.Time) {
	c.resumedRecently(now)
	c.lastTick.Store(c.read(now))
}

// resumedRecently reports whether the process was paused a moment ago. Messages that it reads then
// may have waited for a long time.
func (c *clock) resumedRecently(now time.Time) bool {
	r := c.read(now)
	if r-c.lastTick.Load() > pauseThreshold.Milliseconds() {
		c.lastPause.Store(r)
		return true
	}
	paused := c.lastPause.Load()
	return paused > 0 && r-paused < pauseRecovery.Milliseconds()
}
