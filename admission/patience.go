package admission

import "time"

const (
	// maxReturnShare is the largest share of a route's time limit that a retry has used up: callers follow a Retry-After
	// of at most a third of their remaining time. A caller that states less than what then remains is impatient.
	maxReturnShare = 1.0 / 3
	// statementBins is the number of intervals into which the shares up to maxReturnShare are counted.
	statementBins = 64
	// minStatements is the number of first requests from which it is known what callers usually state.
	minStatements = 10
	// maxStatements is the number of statements at which all counts are halved, so that callers that change are followed.
	maxStatements = 1000
	// unusualPart is the part of first requests that may state less than what counts as usual.
	unusualPart = 1.0 / 50
	// calmFor is how long nobody must have been refused until all requests count as first ones.
	calmFor = maxRetryAfter
)

// Patience distinguishes retries from first requests by the remaining time that callers state. Callers state different
// times from the start, so a request counts as a retry only if its caller states less than callers of first requests
// do. While no request is refused nobody retries, so first requests are those that arrive then. It is not safe for concurrent use.
type Patience struct {
	counts [statementBins]int
	total  int
	// calmSince is since when nobody is refused, as far as it is known; zero means that somebody is, or that it isn't known.
	calmSince time.Time
}

// SetCalm records whether no instance refuses requests now. If that isn't known of all of them, it must be called with
// false.
func (p *Patience) SetCalm(now time.Time, isCalm bool) {
	switch {
	case !isCalm:
		p.calmSince = time.Time{}
	case p.calmSince.IsZero() || p.calmSince.After(now):
		p.calmSince = now
	}
}

// Observe records what the caller of a new request states: limit is the longest time that callers wait, and left
// the time that this one does. left is 0 if the caller states none.
func (p *Patience) Observe(now time.Time, limit, left time.Duration) {
	if p.calmSince.IsZero() || now.Sub(p.calmSince) < calmFor {
		return
	}
	if share, ok := missingShare(limit, left); ok {
		p.counts[binOf(share)]++
		p.total++
	}
	if p.total >= maxStatements {
		p.halve()
	}
}

func (p *Patience) halve() {
	p.total = 0
	for i := range p.counts {
		p.counts[i] /= 2
		p.total += p.counts[i]
	}
}

// Waited returns how long the caller of a request has waited at least before it came back; 0 means that this may be
// its first request.
func (p *Patience) Waited(limit, left time.Duration) time.Duration {
	share, ok := missingShare(limit, left)
	if !ok || p.total < minStatements {
		return 0
	}
	return time.Duration(max(0, share-p.usualShare()) * float64(limit))
}

// RecognizedAfter returns the time after which a caller that is refused now is distinguished from those of first requests, by
// at least the given time, when it comes back. It is 0 if that isn't known, or if the caller doesn't stay away so long.
func (p *Patience) RecognizedAfter(limit, left, by time.Duration) time.Duration {
	share, ok := missingShare(limit, left)
	if !ok || p.total < minStatements {
		return 0
	}
	after := time.Duration(max(0, p.usualShare()-share)*float64(limit)) + by
	if float64(after) > maxReturnShare*float64(left) {
		return 0
	}
	return after
}

// usualShare returns the share of the limit that callers of first requests leave out at most, but for unusualPart of them.
func (p *Patience) usualShare() float64 {
	beyond := p.total
	for i, n := range p.counts {
		if beyond -= n; float64(beyond) <= unusualPart*float64(p.total) {
			if i == 0 {
				return 0
			}
			return float64(i+1) * maxReturnShare / statementBins
		}
	}
	return maxReturnShare
}

// missingShare returns by what share of the limit the stated time is shorter, and false if that says nothing about
// the time before.
func missingShare(limit, left time.Duration) (float64, bool) {
	if left <= 0 || limit <= 0 || left > limit {
		return 0, false
	}
	share := float64(limit-left) / float64(limit)
	return share, share <= maxReturnShare
}

func binOf(share float64) int {
	return min(statementBins-1, int(share/maxReturnShare*statementBins))
}
