package quarantine

import (
	"slices"
	"time"
)

const (
	// trialCrashes is the number of crashes from which on a content runs only in trials, whatever else
	// may explain the crashes.
	trialCrashes = 3
	// maxTrials bounds the trials of a content that have run. One more is allowed if a content that is
	// held back was part of their crashes.
	maxTrials = 2
	// maxSentTrials bounds the trials of a content that were sent to a server, whether they have run or
	// not.
	maxSentTrials = 3
	// crashNotice is the time after a crash in which the instances have heard of it. No trial is claimed
	// before.
	crashNotice = 500 * time.Millisecond
	// claimDelay is the time between the claim of a trial and its begin: twice the time in which the
	// instances hear of each other's claims.
	claimDelay = 600 * time.Millisecond
	// claimLifetime and trialLifetime are how long a claim and a trial stand if their instance doesn't
	// report what became of them. A content that crashes servers has done so by then.
	claimLifetime = 2 * time.Second
	trialLifetime = 5 * time.Second
	// trialPause is the time until a claim that has failed is worth another.
	trialPause = time.Second
	// maxTrialRecords bounds the trials that are remembered of a content.
	maxTrialRecords = 16
)

// ContentTrial is one run of a content that has crashed trialCrashes servers. An instance claims it
// first, so that no two instances try a content at the same time, and begins it after claimDelay. Each
// is a single send to a server, so maxSentTrials bounds the sends of a content by all instances.
type ContentTrial struct {
	// ID is unique among the trials of the content. Of two claims, that with the lower ID holds.
	ID uint64
	At time.Time
	// The flags are never unset again. Void means that the trial doesn't count: it was not begun, or
	// has not run.
	HasBegun, HasEnded, Void bool
}

// isOpen reports whether a trial of the content keeps others from beginning. A crash since its begin has
// decided it, whether its instance still reports the end or not.
func (r *contentRecord) isOpen(now time.Time, t ContentTrial) bool {
	begun := t.At.Add(claimDelay)
	if t.HasBegun && slices.ContainsFunc(r.crashes, func(c ContentCrash) bool { return !c.Void && c.At.After(begun) }) {
		return false
	}
	lifetime := claimLifetime
	if t.HasBegun {
		lifetime = trialLifetime
	}
	return !t.Void && !t.HasEnded && now.Sub(t.At) < lifetime
}

// counts reports whether the trial is one of the maxTrials.
func (t ContentTrial) counts() bool { return t.HasBegun && !t.Void }

// NeedsTrial reports whether a content may run in trials only.
func (e *Evidence) NeedsTrial(now time.Time, f Fingerprint) bool {
	r, ok := e.contents[f]
	return ok && now.Sub(r.lastCrash) < TTL && e.needsTrial(now, r)
}

func (e *Evidence) needsTrial(now time.Time, r *contentRecord) bool {
	if r.count() < trialCrashes {
		return false
	}
	n := 0
	for _, c := range r.crashes {
		if !c.Void && (c.IsConfirmed || e.isPresumptionSound(now, r, c)) {
			n++
		}
	}
	return n >= trialCrashes
}

// isTried reports whether a trial of the content is open.
func (r *contentRecord) isTried(now time.Time) bool {
	return slices.ContainsFunc(r.trials, func(t ContentTrial) bool { return r.isOpen(now, t) })
}

// hasTrialLeft reports whether another trial of the content may begin.
func (e *Evidence) hasTrialLeft(now time.Time, r *contentRecord) bool {
	sent, counted, allowed := 0, r.sentTrials(), maxTrials
	for _, t := range r.trials {
		if t.HasBegun {
			sent++
		}
	}
	if counted >= maxTrials && e.hasExplainedTrial(now, r) {
		allowed++
	}
	return sent < maxSentTrials && counted < allowed
}

// sentTrials returns the number of trials that were sent and count.
func (r *contentRecord) sentTrials() int {
	n := 0
	for _, t := range r.trials {
		if t.counts() {
			n++
		}
	}
	return n
}

// isHeldBack reports whether a content has used its trials, or has more crashes than the number given and is
// in quarantine.
func (e *Evidence) isHeldBack(now time.Time, r *contentRecord, crashes int) bool {
	return r.sentTrials() >= maxTrials || r.count() > crashes && e.newVerdict(now, r.fingerprint, r) == Quarantined
}

// hasExplainedTrial reports whether a content that is held back was part of a crash since the first trial.
func (e *Evidence) hasExplainedTrial(now time.Time, r *contentRecord) bool {
	first := slices.MinFunc(r.trials, func(a, b ContentTrial) int { return a.At.Compare(b.At) })
	for _, c := range r.crashes {
		if c.Void || c.At.Before(first.At) {
			continue
		}
		for _, other := range e.byCrash[c.Crash] {
			if other != r && other.has(c.Crash) && e.isHeldBack(now, other, r.count()) {
				return true
			}
		}
	}
	return false
}

// Claim is the state of the claim of a trial.
type Claim int

// The states of a claim.
const (
	// ClaimDenied means that another trial is under way, or none is left. The ID is not used again.
	ClaimDenied Claim = iota
	// ClaimPending means that the instance must ask again later with the same ID.
	ClaimPending
	// ClaimHolds means that the trial may begin.
	ClaimHolds
)

// ClaimTrial claims a trial of a content under an ID, and returns the state of the claim and when to ask
// again.
func (e *Evidence) ClaimTrial(now time.Time, f Fingerprint, id uint64) (Claim, time.Time) {
	r, ok := e.contents[f]
	if !ok {
		return ClaimDenied, now
	}
	own := slices.IndexFunc(r.trials, func(t ContentTrial) bool { return t.ID == id })
	isRival := e.hasRival(now, r, id, own >= 0)
	switch {
	case own < 0 && now.Before(r.lastCrash.Add(crashNotice)):
		return ClaimPending, r.lastCrash.Add(crashNotice)
	case own < 0 && (isRival || !e.hasTrialLeft(now, r)):
		return ClaimDenied, now.Add(trialPause)
	case own < 0 && !e.mergeTrial(r, ContentTrial{ID: id, At: now}, true):
		return ClaimDenied, now.Add(trialPause)
	case own < 0:
		return ClaimPending, now.Add(claimDelay)
	case isRival || !r.isOpen(now, r.trials[own]) || r.trials[own].HasBegun || !e.hasTrialLeft(now, r):
		e.mergeTrial(r, ContentTrial{ID: id, At: now, Void: !r.trials[own].HasBegun}, true)
		return ClaimDenied, now.Add(trialPause)
	case now.Sub(r.trials[own].At) < claimDelay:
		return ClaimPending, r.trials[own].At.Add(claimDelay)
	default:
		return ClaimHolds, now
	}
}

// hasRival reports whether another trial keeps one with the ID from being claimed, or, if it is claimed, from
// beginning: a trial of the same content, or of one that was part of the same crashes, if either is a
// prime suspect. Prime suspects run apart from the others, so that the next crash tells them apart.
func (e *Evidence) hasRival(now time.Time, r *contentRecord, id uint64, isClaimed bool) bool {
	isInTheWay := func(x *contentRecord) bool {
		return slices.ContainsFunc(x.trials, func(t ContentTrial) bool {
			return t.ID != id && x.isOpen(now, t) && (!isClaimed || t.HasBegun || t.ID < id)
		})
	}
	return isInTheWay(r) || slices.ContainsFunc(e.sharingCrash(r), func(other *contentRecord) bool {
		return isInTheWay(other) && (e.isPrime(r) || e.isPrime(other))
	})
}

// isPrime reports whether no content that was part of the same crashes has more of them.
func (e *Evidence) isPrime(r *contentRecord) bool {
	n := r.count()
	return !slices.ContainsFunc(e.sharingCrash(r), func(other *contentRecord) bool { return other.count() > n })
}

// BeginTrial records that the content is sent to a server under a claim. It returns false if the claim
// doesn't hold.
func (e *Evidence) BeginTrial(now time.Time, f Fingerprint, id uint64) bool {
	if claim, _ := e.ClaimTrial(now, f, id); claim != ClaimHolds {
		return false
	}
	e.mergeTrial(e.contents[f], ContentTrial{ID: id, At: now, HasBegun: true}, true)
	return true
}

// EndTrial records that a trial has ended, or that it doesn't count.
func (e *Evidence) EndTrial(now time.Time, f Fingerprint, id uint64, void bool) {
	if r, ok := e.contents[f]; ok && slices.ContainsFunc(r.trials, func(t ContentTrial) bool { return t.ID == id }) {
		e.mergeTrial(r, ContentTrial{ID: id, At: now, HasEnded: true, Void: void}, true)
	}
}

// makeRoomForTrial drops claims that no longer stand if the record is full. It returns false if there are
// none, except for a trial that was sent.
func (r *contentRecord) makeRoomForTrial(t ContentTrial) bool {
	if len(r.trials) < maxTrialRecords {
		return true
	}
	r.trials = slices.DeleteFunc(r.trials, func(x ContentTrial) bool { return !x.HasBegun && !r.isOpen(t.At, x) })
	return t.HasBegun || len(r.trials) < maxTrialRecords
}

// mergeTrial adds what is known of a trial and reports whether anything has changed.
func (e *Evidence) mergeTrial(r *contentRecord, t ContentTrial, isOwn bool) bool {
	i := slices.IndexFunc(r.trials, func(x ContentTrial) bool { return x.ID == t.ID })
	isNew := i < 0
	if isNew {
		if t.Void && !t.HasBegun || !r.makeRoomForTrial(t) {
			return false
		}
		r.trials = append(r.trials, ContentTrial{ID: t.ID, At: t.At})
		i = len(r.trials) - 1
	}
	x := &r.trials[i]
	before := *x
	x.HasBegun = x.HasBegun || t.HasBegun
	x.HasEnded = x.HasEnded || t.HasEnded
	x.Void = x.Void || t.Void
	if *x == before && !isNew {
		return false
	}
	e.version++
	r.isShared = true
	e.recordChange(r, isOwn)
	return true
}
