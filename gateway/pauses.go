package gateway

import (
	"sync"
	"time"
)

// pauseThreshold is the time between two observations after which the process counts as paused. Timers
// of a busy process are late by up to about 100 ms.
const pauseThreshold = 250 * time.Millisecond

// pauseDetector tells when this process was paused, so that the pause isn't taken for silence of the
// backend servers. sinceResumed must be called at least once in idleCheckInterval. It is safe for
// concurrent use.
type pauseDetector struct {
	mu         sync.Mutex
	observedAt time.Time
	resumedAt  time.Time
}

// sinceResumed records that the process runs, and returns the time since it was last paused.
func (p *pauseDetector) sinceResumed(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observedAt.IsZero() {
		p.observedAt = now
	}
	if now.Sub(p.observedAt) > pauseThreshold {
		p.resumedAt = now
	}
	if now.After(p.observedAt) {
		p.observedAt = now
	}
	return now.Sub(p.resumedAt)
}
