package instance

import (
	"sync"
	"time"
)

// patientTimer calls a function once a peer counts as silent. It is safe for concurrent use.
type patientTimer struct {
	silence *silence
	limit   time.Duration // of silence, without its grace
	call    func()

	mu        sync.Mutex
	timer     *time.Timer
	isRunning bool
}

// newPatientTimer returns a running timer with a limit, whose last part is the grace of silence.
func newPatientTimer(limit, grace time.Duration, call func()) *patientTimer {
	return startPatientTimer(&silence{limit: limit - grace, grace: grace, heard: time.Now()}, call)
}

func startPatientTimer(s *silence, call func()) *patientTimer {
	t := &patientTimer{silence: s, limit: s.limit, call: call, isRunning: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.limit, t.check)
	return t
}

// Reset restarts the timer with its limit.
func (t *patientTimer) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silence.hear(time.Now(), t.limit)
	t.isRunning = true
	t.timer.Reset(t.limit)
}

// Stop stops the timer and reports whether the peer had not been found silent before.
func (t *patientTimer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasRunning := t.isRunning
	t.isRunning = false
	t.timer.Stop()
	return wasRunning
}

// check handles the end of the timer.
func (t *patientTimer) check() {
	if t.isSilent() {
		t.call()
	}
}

// isSilent ends the timer if the peer counts as silent, and otherwise sets it to the time of the next check.
func (t *patientTimer) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isRunning {
		return false
	}
	isSilent, next := t.silence.check(time.Now())
	t.isRunning = !isSilent
	if !isSilent {
		t.timer.Reset(next)
	}
	return isSilent
}
