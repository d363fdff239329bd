package control

import (
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/bootclock"
)

// pauseTicks is the minimum number of ticks between two calls of advance that counts as a pause
// of the process. In a shorter time a loop may only have been late: for its disk, or for a CPU quota.
const pauseTicks = 8 * electionTicks

// clock converts elapsed time to ticks of the node. It includes the time during which the process
// was paused or the machine was suspended.
type clock struct {
	last time.Duration
}

func (c *clock) start(now time.Duration) { c.last = now }

// advance advances the node's clock by the time since the last call. After a pause of the process it
// returns the length of the pause, otherwise 0. The caller runs the node's timers once it has handled what waits.
func (c *clock) advance(n *consensus.Node) time.Duration { return c.advanceTo(n, bootclock.Now()) }

func (c *clock) advanceTo(n *consensus.Node, now time.Duration) time.Duration {
	ticks := int((now - c.last) / tickInterval)
	c.last += time.Duration(ticks) * tickInterval
	if ticks >= pauseTicks {
		n.ResumeAfterPause(ticks)
		return time.Duration(ticks) * tickInterval
	}
	n.Elapse(ticks)
	return 0
}

// timeOf returns when the node's clock had reached a tick, or earlier, as bootclock.Now counts; 0 for tick 0.
func (c *clock) timeOf(n *consensus.Node, tick uint64) time.Duration {
	if tick == 0 {
		return 0
	}
	return c.last - time.Duration(n.Now()-tick)*tickInterval
}
