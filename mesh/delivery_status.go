package mesh

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"
)

// FetchFailure is why a fetch of a routing document has failed.
type FetchFailure string

// The reasons.
const (
	// FetchRefused means that no connection was opened.
	FetchRefused FetchFailure = "refused"
	// FetchTimedOut means that a part didn't come in time.
	FetchTimedOut FetchFailure = "timed_out"
	// FetchBroken means that the connection or the call failed.
	FetchBroken FetchFailure = "broken"
	// FetchDamaged means that what came isn't the document that was announced.
	FetchDamaged FetchFailure = "damaged"
	// FetchUnreadable means that the document could not be read.
	FetchUnreadable FetchFailure = "unreadable"
)

// errUnreadable marks documents that could not be read.
var errUnreadable = errors.New("mesh: the document can't be read")

// fetchFailureOf returns the reason of an error of a fetch.
func fetchFailureOf(err error) FetchFailure {
	switch {
	case errors.Is(err, errUnreadable):
		return FetchUnreadable
	case errors.Is(err, errWrongHash), errors.Is(err, errDocumentTooLarge), errors.Is(err, errNoDocument), errors.Is(err, errWrongPart):
		return FetchDamaged
	case watchFailure{err: err}.isUnanswered():
		return FetchRefused
	case errors.Is(err, context.DeadlineExceeded):
		return FetchTimedOut
	default:
		return FetchBroken
	}
}

// DeliveryStatus says which routing document is in force, which was heard of, and what its fetches have brought.
type DeliveryStatus struct {
	InForce uint64
	// Heard is the newest version that was heard of, or that is in force, and HeardFrom who was the first to name it.
	Heard     uint64
	HeardFrom string
	// BehindFor is how long a newer version than the one in force has been known; 0 if none is.
	BehindFor time.Duration
	Failures  map[FetchFailure]uint64
	// WholeBytes and PatchBytes are the bytes of encoded documents, or parts of them, and of patches received.
	WholeBytes, PatchBytes uint64
}

// DeliveryStatus returns the state of the delivery of routing documents to this instance.
func (m *Mesh) DeliveryStatus() DeliveryStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &m.fetches
	newest, since := f.plan.Behind()
	s := DeliveryStatus{InForce: m.document.Version, Heard: max(newest.Version, m.document.Version), HeardFrom: newest.By,
		Failures: maps.Clone(f.failures), WholeBytes: f.wholeBytes, PatchBytes: f.patchBytes}
	if !since.IsZero() {
		s.BehindFor = time.Since(since)
	}
	return s
}

const (
	// maxBehind is how long a document that was heard of may be not in force before that is logged. It is
	// half of the time within which a document has to be in force by default.
	maxBehind = time.Second
	// maxAttempts bounds the fetches that the log line names: the latest ones.
	maxAttempts = 16
)

// fetchAttempt is a fetch since the document in force has been outdated.
type fetchAttempt struct {
	address string
	version uint64
	begun   time.Time
	// outcome is "" while the fetch is in flight.
	outcome string
}

// beginAttempt records the begin of a fetch. The caller holds the lock.
func (f *documentFetches) beginAttempt(now time.Time, address string, version uint64) {
	if len(f.attempts) == maxAttempts {
		f.attempts = append(f.attempts[:0], f.attempts[1:]...)
	}
	f.attempts = append(f.attempts, fetchAttempt{address: address, version: version, begun: now})
}

// endAttempt records the end of the fetch in flight from a control instance. The caller holds the lock.
func (f *documentFetches) endAttempt(now time.Time, address, outcome string) {
	for i := range f.attempts {
		if a := &f.attempts[i]; a.address == address && a.outcome == "" {
			a.outcome = fmt.Sprintf("%s after %d ms", outcome, now.Sub(a.begun).Milliseconds())
		}
	}
}

// describeAttempts returns the fetches for a log line. The caller holds the lock.
func (f *documentFetches) describeAttempts(now time.Time) []string {
	out := make([]string, 0, len(f.attempts))
	for _, a := range f.attempts {
		outcome := a.outcome
		if outcome == "" {
			outcome = fmt.Sprintf("in flight for %d ms", now.Sub(a.begun).Milliseconds())
		}
		out = append(out, fmt.Sprintf("%s version %d: %s", a.address, a.version, outcome))
	}
	return out
}

// behindMillis returns the time since then in milliseconds, 0 for the zero time.
func behindMillis(since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return time.Since(since).Milliseconds()
}

// logBehind logs once if a document that was heard of has not been in force for maxBehind, and returns when it has to be
// called again, or zero. The caller holds the lock.
func (m *Mesh) logBehind(now time.Time) time.Time {
	f := &m.fetches
	newest, since := f.plan.Behind()
	if since.IsZero() || since.Equal(f.loggedBehind) {
		return time.Time{}
	}
	if due := since.Add(maxBehind); now.Before(due) {
		return due
	}
	f.loggedBehind = since
	m.options.Log.Info("a routing document that was heard of is not in force", "version", newest.Version, "named_by", newest.By,
		"behind_ms", now.Sub(since).Milliseconds(), "in_force", m.document.Version, "asked", f.describeAttempts(now))
	return time.Time{}
}
