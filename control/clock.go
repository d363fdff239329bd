package control

import (
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"golang.org/x/sys/unix"
)

// pauseTicks is the minimum number of ticks between two calls of advance that counts as a pause
// of the process.
const pauseTicks = 5

// clock converts elapsed time to ticks of the node. It includes the time during which the process
// was paused or the machine was suspended.
type clock struct {
	last time.Duration
}

func (c *clock) start() { c.last = timeSinceBoot() }

// advance ticks the node for the time since the last call. After a pause of the process it
// returns the length of the pause, otherwise 0.
func (c *clock) advance(n *consensus.Node) time.Duration {
	ticks := int((timeSinceBoot() - c.last) / tickInterval)
	c.last += time.Duration(ticks) * tickInterval
	if ticks >= pauseTicks {
		n.ResumeAfterPause(ticks)
		return time.Duration(ticks) * tickInterval
	}
	for range ticks {
		n.Tick()
	}
	return 0
}

func timeSinceBoot() time.Duration {
	var ts unix.Timespec
	// The error is ignored, because every kernel that Go supports has CLOCK_BOOTTIME.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}
