package dispatch

import (
	"sync"
	"time"
)

// quorumGate refuses non-idempotent requests immediately while no quorum answers.
type quorumGate struct {
	mu     sync.Mutex
	closed bool
	// waitingSince is the start of the first request that failed since the last success, or
	// zero if there is none.
	waitingSince time.Time
}

func (g *quorumGate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed
}

// recordFailure records a request that waited from start to now without an answer. The gate closes
// once beginTimeout has passed since the start of the first such request, so that several requests
// with short deadlines can close it together.
func (g *quorumGate) recordFailure(start, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waitingSince.IsZero() || start.Before(g.waitingSince) {
		g.waitingSince = start
	}
	if now.Sub(g.waitingSince) >= beginTimeout {
		g.closed = true
	}
}

// recordSuccess records that a quorum has answered.
func (g *quorumGate) recordSuccess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
	g.waitingSince = time.Time{}
}
