package gateway

import (
	"context"
	"time"
)

const (
	// tableWait is how long a request waits for the first routing document, at most half of its
	// time: a new instance gets it within 0.6 to 1.0 s when all instances were started anew.
	tableWait = 900 * time.Millisecond
	// tablePoll is the time between two looks for it.
	tablePoll = 10 * time.Millisecond
)

// awaitTable returns the view, once it has a routing document if one comes soon. timeLeft is what
// the caller has; 0: not stated.
func (g *Gateway) awaitTable(ctx context.Context, timeLeft time.Duration) *view {
	v := g.view.Load()
	if v.table != nil {
		return v
	}
	wait := tableWait
	if timeLeft > 0 {
		wait = min(wait, timeLeft/2)
	}
	poll(ctx, tablePoll, wait, func() bool {
		v = g.view.Load()
		return v.table != nil
	})
	return v
}

// poll calls isDone at an interval until it holds, the wait is over or ctx ends.
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
