package retry

import "time"

// SharedBudget is what all instances of a deployment together may retry for one service: in any window,
// Ratio for each request, and Reserve besides.
type SharedBudget struct {
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

const (
	// storedShare is the part of an instance's share of the reserve that its budget can hold at once.
	// The rest is refilled during a window, so that both together stay within the share.
	storedShare = 0.8
	// shareSettleTime is how long the number of instances must not have grown before an instance that
	// was just started gets retries from the reserve. Instances that start together learn of each other
	// within a second.
	shareSettleTime = 2 * time.Second
	// shareHoldTime is how long a smaller number of instances must be reported before the shares grow: the
	// other instances may only be cut off.
	shareHoldTime = time.Minute
)

// SetShare limits the budgets to one share of the shared budget among the given number of instances, at
// least 1. With refills false, only requests add retries.
func (b *Budgets) SetShare(a SharedBudget, instances int, refills bool) {
	share := a.Reserve / float64(max(1, instances))
	b.ratio = a.Ratio
	b.capacity = max(1, storedShare*share) // below 1 there would never be a retry
	b.refillPerSecond = 0
	if refills && a.Window > 0 {
		b.refillPerSecond = max(0, share-b.capacity) / a.Window.Seconds()
	}
	// A budget begins empty: before a restart the instance may have spent its share.
	b.initial = 0
}

// Shares is the number of instances among which a shared budget is divided, as this instance knows it. A larger
// number holds at once. It is not safe for concurrent use.
type Shares struct {
	count       int
	grownAt     time.Time
	fewer       int
	fewerSince  time.Time
	hasReported bool
}

// Update records the number of instances that is reported now, and returns the number to use and
// whether it has settled, so that the reserve may be used.
func (s *Shares) Update(now time.Time, reported int) (count int, isSettled bool) {
	switch {
	case !s.hasReported || reported > s.count:
		s.count, s.grownAt, s.hasReported = reported, now, true
		s.fewer = 0
	case reported == s.count:
		s.fewer = 0
	case reported > s.fewer:
		// Of the numbers reported during the hold time, the largest counts.
		if s.fewer == 0 {
			s.fewerSince = now
		}
		s.fewer = reported
	}
	if s.fewer > 0 && now.Sub(s.fewerSince) >= shareHoldTime {
		s.count, s.fewer = s.fewer, 0
	}
	return s.count, now.Sub(s.grownAt) >= shareSettleTime
}
