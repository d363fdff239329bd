package admission

import (
	"math"
	"time"
)

// places turns a limit that is no whole number into whole requests, so that the limits of all instances add up to
// the capacity: as many as the limit's whole part run at any time, and one more starts as often as the rest allows.
type places struct {
	whole int
	// credit is the part of one more request that has accrued, from -1 to 1, and accruedAt when.
	credit    float64
	accruedAt time.Time
}

// set sets the limit. A place beyond whole ones is free for the mean service time of a request divided by the rest.
// If other instances don't share the capacity, the limit is rounded up.
func (s *places) set(now time.Time, limit float64, service time.Duration) {
	limit += roundingError
	s.whole = int(limit)
	if age := now.Sub(s.accruedAt); age > 0 && !s.accruedAt.IsZero() {
		rest := limit - math.Floor(limit)
		s.credit = min(1, s.credit+rest*age.Seconds()/max(minService, service).Seconds())
	}
	s.accruedAt = now
}

// minService replaces a shorter mean service time.
const minService = 10 * time.Millisecond

// canTake reports whether one more request may run beside the number that do.
func (s *places) canTake(running int) bool {
	return running < s.whole || running == s.whole && s.credit >= 1
}

// take notes that a request starts beside the number that run, and reports whether that used up credit.
func (s *places) take(running int) bool {
	if running < s.whole {
		return false
	}
	s.credit = max(-1, s.credit-1)
	return true
}

// returnPlaces gives back the credit that the start of a request used up that found no server with room.
func (e *entry) returnPlaces() {
	if e.tookPlace {
		e.pool.places.credit = min(1, e.pool.places.credit+1)
	}
	if e.tookOfClass {
		e.class.places.credit = min(1, e.class.places.credit+1)
	}
	e.tookPlace, e.tookOfClass = false, false
}

// order returns the place in the order of classes: those with free places, then those with a part of one that is due,
// then the rest.
func (s *places) order(running int) int {
	switch {
	case running < s.whole:
		return 0
	case s.credit >= 1:
		return 1
	}
	return 2
}
