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
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(tablePoll)
	defer ticker.Stop()
	for v.table == nil {
		select {
		case <-ctx.Done():
			return v
		case <-ticker.C:
			v = g.view.Load()
		}
	}
	return v
}
