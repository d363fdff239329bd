package daemon

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
)

const (
	// retryAfterFull is when a caller should come back to a full instance.
	retryAfterFull = time.Second
	// retryAfterLeaving is when a caller should come back, to find another instance.
	retryAfterLeaving = time.Second
)

// admitter counts the requests in flight and refuses what is above the limits.
type admitter struct {
	mu      sync.Mutex
	counts  map[string]int
	total   int
	leaving bool
	idle    chan struct{}
}

func newAdmitter() *admitter {
	return &admitter{counts: make(map[string]int), idle: make(chan struct{})}
}

// Admit takes a request in, or refuses it at once.
func (a *admitter) Admit(w settings.Workspace) (func(), *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, &outcome.Error{
			Outcome:    outcome.NotRun,
			Code:       outcome.CodeLeaving,
			Message:    "the instance is leaving",
			RetryAfter: retryAfterLeaving,
		}
	}
	if a.counts[w.Name] >= w.MaxInFlight {
		return nil, &outcome.Error{
			Outcome:    outcome.NotRun,
			Code:       outcome.CodeOverloaded,
			Message:    "the workspace has its most requests in flight",
			RetryAfter: retryAfterFull,
		}
	}
	a.counts[w.Name]++
	a.total++
	var once sync.Once
	return func() { once.Do(func() { a.release(w.Name) }) }, nil
}

func (a *admitter) release(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[workspace]--
	if a.counts[workspace] == 0 {
		delete(a.counts, workspace)
	}
	a.total--
	a.signalIdle()
}

// InFlight returns the number of requests in flight.
func (a *admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// leave returns a channel that is closed once no request is in flight.
func (a *admitter) leave() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.signalIdle()
	return a.idle
}

func (a *admitter) signalIdle() {
	if !a.leaving || a.total > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}
