// Package wakeloop runs the goroutine that carries out a pure plan.
package wakeloop

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Run calls carryOut at once, whenever wake has an element, and after the time that carryOut has returned last, if any,
// until ctx ends. It then waits for the goroutines that carryOut has started in the group.
func Run(ctx context.Context, wake <-chan struct{}, carryOut func(context.Context, *errgroup.Group) (wait time.Duration, ok bool)) error {
	g, ctx := errgroup.WithContext(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-wake:
		case <-timer.C:
		}
		if wait, ok := carryOut(ctx, g); ok {
			timer.Reset(wait)
		}
	}
}
