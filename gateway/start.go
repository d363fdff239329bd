package gateway

import (
	"context"
	"time"
)

const (
	// tableWait bounds how long a request waits for the first routing document; the wait is also at
	// most half of the time that the caller waits. If all instances restart, a new instance gets
	// the document within 0.6 to 1.0 s.
	tableWait = 900 * time.Millisecond
	// tablePollInterval is the time between two checks for the document.
	tablePollInterval = 10 * time.Millisecond
)

// awaitTable returns the current view. If it has no routing document yet, or one that this instance has not used yet
// and that may be older than the one in force elsewhere, awaitTable waits for a limited time. timeLeft is how long
// the caller waits; 0 means not stated.
func (g *Gateway) awaitTable(ctx context.Context, timeLeft time.Duration) *view {
	v := g.view.Load()
	if g.mayUse(v) {
		return v
	}
	wait := tableWait
	if timeLeft > 0 {
		wait = min(wait, timeLeft/2)
	}
	poll(ctx, tablePollInterval, wait, func() bool {
		v = g.view.Load()
		return g.mayUse(v)
	})
	return v
}

// poll calls isDone at an interval until it returns true, the wait is over or ctx ends.
func poll(ctx context.Context, interval, wait time.Duration, isDone func() bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if isDone() {
				return
			}
		}
	}
}
