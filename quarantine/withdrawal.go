package quarantine

import (
	"slices"
	"time"
)

// Returned records that an incarnation is available again after its lease had run out. Its crashes
// that were presumed until now are withdrawn, also if another instance reports them later; those that
// are certain are not. It returns the fingerprints whose records have changed.
func (t *Tracker) Returned(now time.Time, c Crash) []Fingerprint {
	t.remember(now, c)
	t.history.remove(c)
	for _, r := range t.runs {
		if r.Server == c.Server && r.Incarnation == c.Incarnation {
			r.crashHandled = false
		}
	}
	var changed []Fingerprint
	for f, r := range t.records {
		if r.withdraw(c, now) {
			changed = append(changed, f)
		}
		if len(r.crashes) == 0 {
			delete(t.records, f)
		}
	}
	slices.Sort(changed)
	return changed
}

// remember keeps the time of a return for as long as findings from before may arrive.
func (t *Tracker) remember(now time.Time, c Crash) {
	oldest := c
	for o, at := range t.returned {
		if now.Sub(at) > TTL {
			delete(t.returned, o)
		} else if first, ok := t.returned[oldest]; !ok || at.Before(first) {
			oldest = o
		}
	}
	if _, ok := t.returned[c]; !ok && len(t.returned) >= maxRecords {
		delete(t.returned, oldest)
	}
	t.returned[c] = latest(t.returned[c], now)
}

// isWithdrawn reports whether the incarnation has returned since the crash was presumed.
func (t *Tracker) isWithdrawn(c PresumedCrash) bool {
	at, ok := t.returned[c.Crash]
	return ok && !c.At.After(at)
}

// Presumed returns the crashes of all records that are not certain.
func (t *Tracker) Presumed(now time.Time) []PresumedCrash {
	var out []PresumedCrash
	for _, r := range t.records {
		for _, c := range r.crashes {
			if !c.isCertain && now.Before(c.expires) {
				out = append(out, c.PresumedCrash)
			}
		}
	}
	return out
}
