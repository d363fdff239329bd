package instance

import (
	"sync"
	"time"
)

// patientTimer calls a function once a peer has been silent for a time. The last part of that time, the grace, begins only
// when this process has noticed that the rest has passed, so that what arrived while it was halted is handled first. It is
// safe for concurrent use.
type patientTimer struct {
	mu     sync.Mutex
	timer  *time.Timer
	limit  time.Duration
	grace  time.Duration
	silent func()
	// due is when the peer will be suspected or, if isSuspected is set, counts as silent. It is zero while the timer is
	// stopped.
	due         time.Time
	isSuspected bool
}

// newPatientTimer returns a running timer.
func newPatientTimer(limit, grace time.Duration, silent func()) *patientTimer {
	t := &patientTimer{limit: limit, grace: grace, silent: silent}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(limit - grace)
	t.timer = time.AfterFunc(limit-grace, t.check)
	return t
}

// Reset restarts the timer with its limit.
func (t *patientTimer) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due, t.isSuspected = time.Now().Add(t.limit-t.grace), false
	t.timer.Reset(t.limit - t.grace)
}

// Stop stops the timer and reports whether the peer had not been found silent before.
func (t *patientTimer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasRunning := !t.due.IsZero()
	t.due = time.Time{}
	t.timer.Stop()
	return wasRunning
}

// check handles the end of the timer.
func (t *patientTimer) check() {
	t.mu.Lock()
	wait, isSilent := t.next(time.Now())
	if wait > 0 {
		t.timer.Reset(wait)
	}
	if isSilent {
		t.due = time.Time{}
	}
	t.mu.Unlock()
	if isSilent {
		t.silent()
	}
}

// next returns the time until the next check, or whether the peer counts as silent.
func (t *patientTimer) next(now time.Time) (wait time.Duration, isSilent bool) {
	switch left := t.due.Sub(now); {
	case t.due.IsZero():
		return 0, false
	case left > 0: // restarted meanwhile
		return left, false
	case t.isSuspected:
		return 0, true
	}
	t.due, t.isSuspected = now.Add(t.grace), true
	return t.grace, false
}
