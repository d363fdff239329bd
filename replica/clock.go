package replica

import (
	"time"

	"github.com/balsamlb/balsamlb/ledger"
)

// Timestamp is the leader's time when it accepted a command.
type Timestamp struct {
	// Source identifies one start of one control instance.
	Source string
	// Monotonic is the time since the source started. It is not affected by wall clock changes.
	Monotonic time.Duration
	// Wall is the wall clock time of the source, which may be wrong.
	Wall time.Time
}

// Clock is the replicated time. It advances by the monotonic time between two timestamps of the
// same source, so wall clock jumps do not affect it. It never runs ahead of real time, because
// the time between the last timestamp of one leader and the first of the next is not counted.
type Clock struct {
	now  time.Duration
	last Timestamp
}

// advance moves the clock to a command's timestamp and returns the time of the command.
func (c *Clock) advance(t Timestamp) ledger.CommandTime {
	if t.Source == "" {
		return ledger.CommandTime{Replicated: c.now}
	}
	if t.Source == c.last.Source && t.Monotonic > c.last.Monotonic {
		c.now += t.Monotonic - c.last.Monotonic
	}
	if t.Source != c.last.Source || t.Monotonic > c.last.Monotonic {
		c.last = t
	}
	return ledger.CommandTime{Replicated: c.now, Wall: t.Wall}
}
