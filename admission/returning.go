package admission

import (
	"slices"
	"time"
)

// maxReturning bounds the refused callers that are remembered.
const maxReturning = 4096

// returning is a caller that was refused and asked to come back.
type returning struct {
	// arrivedFirst is when its request first arrived.
	arrivedFirst time.Time
	// until is when it may come back, and forgetAt when it is no longer expected to.
	until, forgetAt time.Time
}

// expectReturn remembers a refused caller, so that its request takes its old place when it comes back.
func (c *Controller) expectReturn(now time.Time, e *entry, retryAfter time.Duration) {
	if e.Caller == "" || len(c.returning) >= maxReturning {
		return
	}
	until := now.Add(retryAfter)
	c.returning[e.Caller] = returning{arrivedFirst: e.arrivedFirst, until: until, forgetAt: until.Add(maxRetryAfter)}
}

// welcome returns when a new request first arrived, and how long its caller is still asked to stay away: it gets no
// place before others by repeating its request earlier. The time is 0 if it may wait or start.
func (c *Controller) welcome(now time.Time, p *pool, r *entry) (arrivedFirst time.Time, away time.Duration) {
	known, ok := c.returning[r.Caller]
	if r.Caller == "" || !ok {
		return now, 0
	}
	// A longer time would be one of a clock that was set back.
	if away = known.until.Sub(now); away > 0 && away <= maxRetryAfter && p.hasQueue(r.rank()) {
		return known.arrivedFirst, away
	}
	delete(c.returning, r.Caller)
	return known.arrivedFirst, 0
}

// hasQueue reports whether requests of a rank, or late ones, wait.
func (p *pool) hasQueue(rank int) bool {
	return slices.ContainsFunc(p.classes, func(k *class) bool { return (k.rank == rank || k.isLate()) && k.queued() > 0 })
}

// forgetReturning removes the callers that have not come back.
func (c *Controller) forgetReturning(now time.Time) {
	for caller, known := range c.returning {
		if now.After(known.forgetAt) || known.until.Sub(now) > maxRetryAfter {
			delete(c.returning, caller)
		}
	}
}
