package mesh

import (
	"time"

	"github.com/go-logr/logr"
)

// AgeMonitor logs when the age of the routing document exceeds a bound, and when it no longer does. It is not safe
// for concurrent use.
type AgeMonitor struct {
	Bound time.Duration
	Log   logr.Logger
	// isOutdated and isUnknown are what was logged last.
	isOutdated, isUnknown bool
}

// Observe logs a change, if there is one. A document that isn't expected to be confirmed, or that isn't known yet,
// exceeds nothing.
func (a *AgeMonitor) Observe(c Confirmation) {
	if isUnknown := c.InForce > 0 && !c.IsExpected; isUnknown != a.isUnknown {
		a.isUnknown = isUnknown
		a.Log.Info("whether control instances confirm routing documents has changed", "confirm", !isUnknown, "version", c.InForce)
	}
	age, isConfirmed := c.Age()
	isOutdated := c.InForce > 0 && c.IsExpected && !c.IsWithin(a.Bound, c.InForce)
	if isOutdated == a.isOutdated {
		return
	}
	a.isOutdated = isOutdated
	state := []any{"version", c.InForce, "newest_heard_of", c.Newest, "confirmed", isConfirmed, "bound_ms", a.Bound.Milliseconds()}
	if isConfirmed {
		state = append(state, "by", c.By, "age_ms", age.Milliseconds())
	}
	if isOutdated {
		a.Log.Info("the routing document may be outdated: nobody has confirmed it within the bound", state...)
		return
	}
	a.Log.Info("the routing document is confirmed again, or no confirmation is expected", state...)
}
