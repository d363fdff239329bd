package retry

import (
	"slices"
	"time"
)

const (
	// minEjection and maxEjection limit the time for which a failed server gets no requests.
	minEjection = 500 * time.Millisecond
	maxEjection = 30 * time.Second
	// probeTimeout is the time after which a probe without a result is given up, so that the next
	// one can be sent.
	probeTimeout = 5 * time.Second
	// forgetAfter is the time after which a failed server that was not tried again is no longer
	// tracked.
	forgetAfter = 5 * time.Minute
	// maxFailed limits the number of failed servers that are tracked.
	maxFailed = 8192
)

// failure is the state of a server that has failed.
type failure struct {
	// ejection is how long the server gets no requests after its last failure; it doubles with each
	// failure.
	ejection     time.Duration
	ejectedUntil time.Time
	// probedAt is when a probe was sent, or zero when no probe is in flight.
	probedAt time.Time
}

// Health tracks the health of servers by the results of requests. A failed server is excluded
// for some time, and then gets one probe request at a time until one succeeds. It is not safe for
// concurrent use.
type Health struct {
	failed map[string]*failure
}

// NewHealth returns a Health without failures.
func NewHealth() *Health { return &Health{failed: make(map[string]*failure)} }

// Failed records that the server gave no answer.
func (h *Health) Failed(now time.Time, server string) {
	f, ok := h.failed[server]
	if !ok {
		h.evict(now)
		f = &failure{}
		h.failed[server] = f
	}
	if now.Before(f.ejectedUntil) && f.probedAt.IsZero() {
		// The failure of a request that was sent before the first failure is not counted again.
		return
	}
	f.ejection = min(maxEjection, max(minEjection, 2*f.ejection))
	f.ejectedUntil = now.Add(f.ejection)
	f.probedAt = time.Time{}
}

// Succeeded records that the server has answered.
func (h *Health) Succeeded(server string) { delete(h.failed, server) }

// Chosen records that the server gets a request, which is a probe if the server has failed.
func (h *Health) Chosen(now time.Time, server string) {
	if f, ok := h.failed[server]; ok {
		f.probedAt = now
	}
}

// Excluded returns the names of the servers that get no requests now.
func (h *Health) Excluded(now time.Time) []string {
	var out []string
	for name, f := range h.failed {
		probing := !f.probedAt.IsZero() && now.Sub(f.probedAt) < probeTimeout
		if now.Before(f.ejectedUntil) || probing {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (h *Health) evict(now time.Time) {
	for name, f := range h.failed {
		if now.Sub(f.ejectedUntil) > forgetAfter || len(h.failed) >= maxFailed {
			delete(h.failed, name)
		}
	}
}
