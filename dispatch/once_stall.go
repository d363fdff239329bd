package dispatch

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	stallTick = 50 * time.Millisecond
	// stallLimit is the silence of the ticker after which the process counts as having been
	// stopped.
	stallLimit = time.Second
	// stallGuard is for how long after a stall a request may be one that had waited in a
	// buffer of the machine.
	stallGuard = time.Second
)

// stallWatch notices that the process was stopped for a while. A request that waited in a
// buffer meanwhile is of unknown age: its caller may have sent it again elsewhere, been told
// that it was not run, and gone.
type stallWatch struct {
	start time.Time
	// ticked and woke are times since start; woke is 0 before the first stall.
	ticked atomic.Int64
	woke   atomic.Int64
}

func newStallWatch() *stallWatch { return &stallWatch{start: time.Now()} }

// stalled reports whether a request that has just been read may have waited through a stall.
func (w *stallWatch) stalled() bool {
	now := time.Since(w.start)
	if ticked := time.Duration(w.ticked.Load()); ticked > 0 && now-ticked > stallLimit {
		return true
	}
	woke := time.Duration(w.woke.Load())
	return woke > 0 && now-woke < stallGuard
}

// run ticks until ctx ends.
func (w *stallWatch) run(ctx context.Context) error {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for {
		now := time.Since(w.start)
		if last := time.Duration(w.ticked.Load()); last > 0 && now-last > stallLimit {
			w.woke.Store(int64(now))
		}
		w.ticked.Store(int64(now))
		select {
		case <-ctx.Done():
			w.ticked.Store(0)
			return nil
		case <-ticker.C:
		}
	}
}
