package control

import (
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"golang.org/x/sys/unix"
)

// gapTicks is the time between two runs of the host from which on its clock counts as having
// stood still.
const gapTicks = 5

// clock turns the time that has passed into the node's ticks. It counts the time in which
// the process was stopped and the machine was suspended.
type clock struct {
	last time.Duration
}

func (c *clock) start() { c.last = sinceBoot() }

// advance ticks the node for the time since the last call. It returns that time if the clock
// has stood still.
func (c *clock) advance(n *consensus.Node) time.Duration {
	ticks := int((sinceBoot() - c.last) / tickInterval)
	c.last += time.Duration(ticks) * tickInterval
	if ticks >= gapTicks {
		n.ResumeAfterPause(ticks)
		return time.Duration(ticks) * tickInterval
	}
	for range ticks {
		n.Tick()
	}
	return 0
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every kernel that Go runs on.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}
