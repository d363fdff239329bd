package delivery

import "time"

const (
	// assumedBytes is taken for the size of a document of which no part has come: a part, or a patch.
	assumedBytes = 64 << 10
	// checkInterval is the time between two looks at the rates of fetches in flight.
	checkInterval = 50 * time.Millisecond
	// minTrialPause is the pause after a trial. It doubles with each one for the same document, so that many
	// instances whose links are all narrow don't double much.
	minTrialPause = 125 * time.Millisecond
	// slowMemory is how long a peer that was slower than another one is asked after others, and isn't tried.
	slowMemory = 10 * time.Second
)

// Part is what has come of a document with a part.
type Part struct {
	// IsNew is false if the part was already there.
	IsNew bool
	// Have are the bytes of the document that are there with the part, of Size.
	Have, Size int
}

// fetch is the state of a fetch in flight from a peer.
type fetch struct {
	// version was named by the peer when the fetch was begun.
	version     uint64
	isCancelled bool
	// isTrial is set while it isn't decided whether the fetch is faster than the one that it may overtake, and
	// hasOvertaken after that was decided.
	isTrial, hasOvertaken bool
	lastProgress          time.Time
	// at are the bytes of the document that were there when the call in flight began, and received those that have
	// come since.
	at, received int
	meter        meter
}

func (s *peer) isSlow(now time.Time) bool {
	return !s.slowAt.IsZero() && now.Sub(s.slowAt) < slowMemory
}

// end returns when the fetch from a peer ends at its present rate, and false if the rate isn't known.
func (p *Plan) end(now time.Time, s *peer) (time.Time, bool) {
	rate, ok := s.fetch.meter.rate(now)
	size := p.size
	if size <= s.fetch.at {
		size = s.fetch.at + assumedBytes
	}
	const never = 3600 // seconds
	left := max(0, size-s.fetch.at-s.fetch.received)
	seconds := min(never, float64(left)/max(rate, 1))
	return now.Add(time.Duration(seconds * float64(time.Second))), ok
}

// first returns the fetch that makes progress and is expected to end first, except that from one peer, or nil. ok is
// false if the rate of one of them isn't known.
func (p *Plan) first(now time.Time, except *peer) (first *peer, end time.Time, ok bool) {
	ok = true
	for _, s := range p.peers {
		if s == except || !s.isMoving(now) {
			continue
		}
		at, isKnown := p.end(now, s)
		ok = ok && isKnown
		if first == nil || at.Before(end) || at.Equal(end) && s.address < first.address {
			first, end = s, at
		}
	}
	return first, end, ok
}

// trial returns the peer whose fetch is a trial, or nil.
func (p *Plan) trial() *peer {
	for _, s := range p.peers {
		if s.isInFlight() && s.fetch.isTrial {
			return s
		}
	}
	return nil
}

// overtaker returns a peer that is asked beside the fetches that make progress, since these are expected to end later
// than after half of the time within which documents have to be in force, or nil. The other half is for finding a
// faster peer, and for its fetch. There is at most one trial at a time, and each is as long as it takes to measure
// its rate.
func (p *Plan) overtaker(now time.Time) *peer {
	if p.applyTime == 0 || now.Before(p.nextTrial) || p.trial() != nil {
		return nil
	}
	slow, end, ok := p.first(now, nil)
	if slow == nil || !ok || !end.After(p.behindSince.Add(p.applyTime/2)) {
		return nil
	}
	s := p.next(now)
	if s == nil || s.hasFailed(now) || s.isSlow(now) || s.version < slow.fetch.version {
		return nil
	}
	return s
}

// decideTrial ends the slower one of a trial and the fetch beside it once both rates are known, and returns its
// address, or "".
func (p *Plan) decideTrial(now time.Time) string {
	trial := p.trial()
	if trial == nil {
		return ""
	}
	other, otherEnd, isOtherKnown := p.first(now, trial)
	end, isKnown := p.end(now, trial)
	switch {
	case other == nil:
		trial.fetch.isTrial = false
		return ""
	case !trial.isMoving(now):
		trial.fail(now)
		return p.endTrial(now, trial, trial)
	case !isKnown || !isOtherKnown:
		return ""
	case end.Before(otherEnd):
		return p.endTrial(now, trial, other)
	default:
		return p.endTrial(now, trial, trial)
	}
}

// endTrial cancels the loser of a trial.
func (p *Plan) endTrial(now time.Time, trial, loser *peer) string {
	trial.fetch.isTrial = false
	trial.fetch.hasOvertaken = trial != loser
	loser.fetch.isCancelled = true
	loser.slowAt = now
	p.trialPause = max(minTrialPause, 2*p.trialPause)
	p.nextTrial = now.Add(p.trialPause)
	return loser.address
}
