package dispatch

import (
	"sync"
	"time"
)

// quorumGate refuses non-idempotent requests at once while no quorum answers.
type quorumGate struct {
	mu     sync.Mutex
	closed bool
	// since is when the first of the requests began to wait that have had no answer since the
	// last answer, zero when there is none.
	since time.Time
}

func (g *quorumGate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed
}

// missed notes a request that waited from start to now without an answer. Callers with short
// deadlines count together.
func (g *quorumGate) missed(start, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() || start.Before(g.since) {
		g.since = start
	}
	if now.Sub(g.since) >= beginTimeout {
		g.closed = true
	}
}

// answered notes that a quorum has answered.
func (g *quorumGate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
	g.since = time.Time{}
}
