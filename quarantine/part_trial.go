package quarantine

import (
	"slices"
	"time"
)

const (
	// trialDelay is the time from the begin of a part's quarantine to its first trial. Requests that
	// were in flight have ended by then.
	trialDelay = 2 * time.Second
	// trialWindow is the time in each cycle in which an instance may begin a trial.
	trialWindow = time.Second
	// maxTrialCrashes is the number of crashes of trials after which no further one begins.
	maxTrialCrashes = 1
)

// Trials states when an instance may let a request run in spite of the quarantine of a part. Instances
// take turns, so that the crash of one trial is known before the next one.
type Trials struct {
	Cycle time.Duration
	// Phase is the begin of this instance's turn in each cycle.
	Phase time.Duration
}

// isTurn reports whether it is the instance's turn.
func (t Trials) isTurn(now time.Time) bool {
	return t.Cycle > 0 && (time.Duration(now.UnixNano())-t.Phase)%t.Cycle < trialWindow
}

// TryPart reports whether a request with the given parts of its prompt, which is held back, may run
// once to show whether the right part is in quarantine, and returns that part. That is so if other parts
// may have caused the crashes, and the request has none that was part of as many as the likeliest of
// them. Each instance tries a part once, and none does after maxTrialCrashes.
func (e *Evidence) TryPart(now time.Time, parts []Part, t Trials) (Part, bool) {
	if !t.isTurn(now) {
		return 0, false
	}
	d := e.parts.decide(now)
	for _, p := range parts {
		g := d.held[p]
		if g == nil || !g.isIn(parts) {
			continue
		}
		if !e.parts.mayTry(now, g, parts) {
			return 0, false
		}
		e.parts.parts[p].isTried = true
		return p, true
	}
	return 0, false
}

func (e *partEvidence) mayTry(now time.Time, g *partGroup, parts []Part) bool {
	from := g.from.Add(trialDelay)
	if g.rivalCrashes == 0 || now.Before(from) {
		return false
	}
	if g.crashes[len(g.crashes)-maxTrialCrashes].at.After(from) {
		return false
	}
	for _, p := range parts {
		r := e.parts[p]
		isMember := slices.Contains(g.parts, p)
		if isMember && r.isTried || !isMember && r != nil && r.open >= g.rivalCrashes {
			return false
		}
	}
	return true
}

// ReturnTrial records that a request that was let run to try the part has not run.
func (e *Evidence) ReturnTrial(p Part) {
	if r, ok := e.parts.parts[p]; ok {
		r.isTried = false
	}
}
