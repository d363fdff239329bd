package admission

import "time"

const (
	// blockedPause is how long nothing starts after a Blocked, so that servers aren't asked at every Tick.
	blockedPause = 40 * time.Millisecond
	// blockedMemory is how long after a Blocked the pool is taken to have no more room than what ran then.
	blockedMemory = 500 * time.Millisecond
)

// block notes that the servers have no room beside the requests that run.
func (p *pool) block(now time.Time) {
	p.isHeld = true
	p.blockedAt = now
	p.runningWhenBlocked = p.running + p.othersRunning
}

// wasBlocked reports whether a request was blocked within blockedMemory.
func (p *pool) wasBlocked(now time.Time) bool { return isWithin(now, p.blockedAt, blockedMemory) }

// release ends the pause after a Blocked if it has passed.
func (p *pool) release(now time.Time) {
	p.isHeld = p.isHeld && isWithin(now, p.blockedAt, blockedPause)
}

// isWithin reports whether at was at most limit ago. A time in the future, which a clock that was set back leaves,
// doesn't count.
func isWithin(now, at time.Time, limit time.Duration) bool {
	age := now.Sub(at)
	return !at.IsZero() && age >= 0 && age < limit
}

// capacity returns the number of requests that all servers can run, as far as it is known: the forecast, or what
// ran when the servers had no more room.
func (p *pool) capacity(now time.Time) float64 {
	slots := p.forecast.Slots
	if slots > 0 && p.wasBlocked(now) {
		slots = min(slots, max(1, p.runningWhenBlocked))
	}
	return float64(slots)
}
