package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

const (
	// trialWait bounds how long a request waits for its trial before it is refused.
	trialWait = 1500 * time.Millisecond
	// trialPollInterval is the time between two looks at its claim.
	trialPollInterval = 20 * time.Millisecond
	// crashVerdictDelay is the time after a lost run within which a crash of its server is found.
	crashVerdictDelay = 2 * time.Second
)

// contentTrial is a request's claim to a trial of its content. It is safe for concurrent use.
type contentTrial struct {
	mu sync.Mutex
	// id is 0 if the request has no claim.
	id uint64
	// isSent means that the trial was sent to a server, and isOver that this run has ended.
	isSent, isOver bool
}

// errNoTrial means that a content that has crashed several servers may not be sent now.
var errNoTrial = fmt.Errorf("gateway: the content has no trial now: %w", errHeldBack)

// needsTrial reports whether the request may run in a trial only.
func (g *Gateway) needsTrial(j *job) bool {
	return !g.evidence.IsEmpty() && g.evidence.NeedsTrial(time.Now(), j.fingerprint())
}

// trialFailure returns a failure unless the request holds the claim to a trial. It claims one if needed.
func (g *Gateway) trialFailure(j *job) *failure {
	now := time.Now()
	holds, next := g.claimTrial(now, j)
	if holds {
		return nil
	}
	reason := "content " + j.fingerprint().String() + " has crashed several backend servers, and has no trial now"
	return &failure{reason: reason, err: errNoTrialNow, retryAfter: max(trialPollInterval, next.Sub(now))}
}

// claimTrial reports whether the request holds the claim to a trial of its content, and otherwise when to
// ask again. It claims one if needed.
func (g *Gateway) claimTrial(now time.Time, j *job) (holds bool, next time.Time) {
	t := &j.contentTrial
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isSent && !t.isOver {
		return false, now.Add(crashVerdictDelay)
	}
	if t.isSent {
		g.settleTrial(j, t.id)
		t.id, t.isSent, t.isOver = 0, false, false
	}
	if t.id == 0 {
		t.id = rand.Uint64() | 1
	}
	claim, next := g.evidence.ClaimTrial(now, j.fingerprint(), t.id)
	if claim == quarantine.ClaimDenied {
		t.id = 0
	}
	return claim == quarantine.ClaimHolds, next
}

// beginRun records that the request is sent to a server or to another path. It returns an error if its
// content may only run in a trial and the request has none.
func (g *Gateway) beginRun(j *job) error {
	if !g.needsTrial(j) {
		return nil
	}
	t := &j.contentTrial
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.id == 0 || t.isSent || !g.evidence.BeginTrial(time.Now(), j.fingerprint(), t.id) {
		return errNoTrial
	}
	t.isSent = true
	g.options.Log.Info("tries a content that has crashed servers", "request", j.header.ID, "content", j.fingerprint().String(), "trial", t.id)
	return nil
}

// endRun records that the run of the request has ended.
func (t *contentTrial) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isOver = t.isSent
}

// endContentTrial gives back the claim of a request that ends.
func (g *Gateway) endContentTrial(j *job) {
	t := &j.contentTrial
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.id == 0:
	case t.isSent:
		g.settleTrial(j, t.id)
	default:
		g.evidence.EndTrial(time.Now(), j.fingerprint(), t.id, true)
	}
	t.id = 0
}

// settleTrial ends a trial once it is known whether a server has crashed. A trial that has not run, or
// whose server has not crashed, doesn't count.
func (g *Gateway) settleTrial(j *job, id uint64) {
	f := j.fingerprint()
	if !j.mayHaveRun.Load() {
		g.evidence.EndTrial(time.Now(), f, id, true)
		return
	}
	time.AfterFunc(crashVerdictDelay, func() {
		j.crashes.mu.Lock()
		hasCrashed := j.crashes.hasAny
		j.crashes.mu.Unlock()
		g.evidence.EndTrial(time.Now(), f, id, !hasCrashed)
	})
}

// awaitTrial waits while the request has a claim that may hold soon.
func (g *Gateway) awaitTrial(ctx context.Context, j *job) {
	if !g.needsTrial(j) {
		return
	}
	poll(ctx, trialPollInterval, trialWait, func() bool {
		f := g.checkContent(j)
		return f == nil || !errors.Is(f.err, errNoTrialNow) || !j.contentTrial.isClaimed()
	})
}

// isClaimed reports whether the request has a claim.
func (t *contentTrial) isClaimed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id != 0 && !t.isSent
}
