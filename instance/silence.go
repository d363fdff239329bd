package instance

import (
	"sync"
	"time"
)

// silenceGrace is how long a peer is suspected before it counts as silent. What arrived while this process was halted, or
// busy for long, is handled within it.
const silenceGrace = 250 * time.Millisecond

// silence decides when a peer that is expected to send messages counts as silent. It is safe for concurrent use.
type silence struct {
	mu sync.Mutex
	// limit is the time without a message after which the peer is suspected, and grace how long it then is.
	limit, grace time.Duration
	heard        time.Time
	// suspected is when check found the limit exceeded, or zero.
	suspected time.Time
}

func newSilence(now time.Time, limit time.Duration) *silence {
	return &silence{limit: limit, grace: silenceGrace, heard: now}
}

// hear records a message, and the limit from then on.
func (s *silence) hear(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard, s.limit, s.suspected = now, limit, time.Time{}
}

// check reports whether the peer counts as silent, and otherwise when to check again. The time between two checks that come
// late is not taken for the peer's silence.
func (s *silence) check(now time.Time) (isSilent bool, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := s.limit - now.Sub(s.heard); left > 0 {
		s.suspected = time.Time{}
		return false, left
	}
	if s.suspected.IsZero() {
		s.suspected = now
	}
	left := s.grace - now.Sub(s.suspected)
	return left <= 0, left
}
