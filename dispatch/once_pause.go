package dispatch

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	pauseCheckInterval = 50 * time.Millisecond
	// pauseThreshold is the time without a tick after which the process counts as paused.
	pauseThreshold = time.Second
	// For staleWindow after a pause, any request that is read may have waited in a socket buffer
	// through the pause.
	staleWindow = time.Second
)

// pauseDetector detects that the process was paused. The age of a request that waited in a socket
// buffer through a pause is unknown: its caller may have sent it again to another instance,
// received the answer that the request was not run, and disconnected.
type pauseDetector struct {
	start time.Time
	// lastTick and resumedAt are times since start; resumedAt is 0 before the first pause.
	lastTick  atomic.Int64
	resumedAt atomic.Int64
}

func newPauseDetector() *pauseDetector { return &pauseDetector{start: time.Now()} }

// recentlyPaused reports whether a request that was just read may have waited through a pause.
func (p *pauseDetector) recentlyPaused() bool {
	now := time.Since(p.start)
	if lastTick := time.Duration(p.lastTick.Load()); lastTick > 0 && now-lastTick > pauseThreshold {
		return true
	}
	resumedAt := time.Duration(p.resumedAt.Load())
	return resumedAt > 0 && now-resumedAt < staleWindow
}

// run updates the last tick until ctx ends.
func (p *pauseDetector) run(ctx context.Context) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		now := time.Since(p.start)
		if last := time.Duration(p.lastTick.Load()); last > 0 && now-last > pauseThreshold {
			p.resumedAt.Store(int64(now))
		}
		p.lastTick.Store(int64(now))
		select {
		case <-ctx.Done():
			p.lastTick.Store(0)
			return nil
		case <-ticker.C:
		}
	}
}
