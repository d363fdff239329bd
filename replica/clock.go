package replica

import (
	"time"

	"github.com/balsamlb/balsamlb/ledger"
)

// Timestamp is the leader's time when it took a command in.
type Timestamp struct {
	// Source is one start of one control instance.
	Source string
	// Monotonic counts from the start of the source and never jumps.
	Monotonic time.Duration
	// Wall is the source's wall clock, which may be wrong.
	Wall time.Time
}

// Clock is the replicated time. It moves by what passes between two stamps of one source, so
// a wall clock that jumps does not move it, and it never runs ahead of real time: the time
// between the last stamp of one leader and the first of the next one is not counted.
type Clock struct {
	now  time.Duration
	last Timestamp
}

// advance takes a command's stamp and returns the time of the command.
func (c *Clock) advance(s Timestamp) ledger.CommandTime {
	if s.Source == "" {
		return ledger.CommandTime{Replicated: c.now}
	}
	if s.Source == c.last.Source && s.Monotonic > c.last.Monotonic {
		c.now += s.Monotonic - c.last.Monotonic
	}
	if s.Source != c.last.Source || s.Monotonic > c.last.Monotonic {
		c.last = s
	}
	return ledger.CommandTime{Replicated: c.now, Wall: s.Wall}
}
