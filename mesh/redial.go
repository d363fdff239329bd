package mesh

import (
	"errors"
	"net"
	"time"
)

const (
	// minRetry and maxRetry bound the delay before a control instance is dialled again; the
	// maximum is well below the shortest contact timeout of a deployment (3 s).
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// firstContactTime is how long after its start a process dials at minRetry while it has reached no
	// control instance: as long as the control instances may take to start after a loss of power.
	firstContactTime = 5 * time.Second
)

// watchFailure describes the end of a watch, or of an attempt to open one.
type watchFailure struct {
	err error
	// sinceStart is the time since the start of the process, and hasContact is set if it has received a
	// heartbeat of any control instance.
	sinceStart time.Duration
	hasContact bool
}

// isUnanswered reports whether no process has answered. Such an attempt costs the other machine a
// packet of its kernel at most.
func (f watchFailure) isUnanswered() bool {
	var op *net.OpError
	return errors.As(f.err, &op) && op.Op == "dial"
}

// redialDelay returns the delay before a control instance is dialled again. previous is the delay before
// the attempt that has failed, and 0 if that attempt was the first or has received a heartbeat. The delay
// doubles, except after a start, when the control instances may be about to start as well.
func redialDelay(previous time.Duration, f watchFailure) time.Duration {
	isFirstContact := !f.hasContact && f.sinceStart < firstContactTime && f.isUnanswered()
	if previous == 0 || isFirstContact {
		return minRetry
	}
	return min(maxRetry, 2*previous)
}

// describeFailure returns what redialDelay needs to know about the end of a watch.
func (m *Mesh) describeFailure(err error) watchFailure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return watchFailure{err: err, sinceStart: time.Since(m.started), hasContact: m.hasContact}
}
