package retry

import (
	"slices"
	"time"
)

const (
	// minRest and maxRest bound the time for which a failed server gets nothing.
	minRest = 500 * time.Millisecond
	maxRest = 30 * time.Second
	// probeTimeout is the time after which a probe that told nothing counts as failed.
	probeTimeout = 5 * time.Second
	// forgetAfter is the time after which a failed server that was not tried is forgotten.
	forgetAfter = 5 * time.Minute
	// maxFailed bounds the servers that are remembered.
	maxFailed = 8192
)

// failure is what is known of a server that failed.
type failure struct {
	// rest is the present time without work; it doubles with each failure.
	rest  time.Duration
	until time.Time
	// probing is when a probe was sent, zero when none is under way.
	probing time.Time
}

// Health leaves out servers that have failed, and tries each with one request at a time
// before it is used again.
type Health struct {
	failed map[string]*failure
}

// NewHealth returns a Health without failures.
func NewHealth() *Health { return &Health{failed: make(map[string]*failure)} }

// Failed notes that the server gave no answer.
func (h *Health) Failed(now time.Time, server string) {
	f, ok := h.failed[server]
	if !ok {
		h.forget(now)
		f = &failure{}
		h.failed[server] = f
	}
	if now.Before(f.until) && f.probing.IsZero() {
		// Requests that were sent before the first failure tell nothing new.
		return
	}
	f.rest = min(maxRest, max(minRest, 2*f.rest))
	f.until = now.Add(f.rest)
	f.probing = time.Time{}
}

// Succeeded notes that the server has answered.
func (h *Health) Succeeded(server string) { delete(h.failed, server) }

// Chosen notes that the server is given a request, which is a probe when it had failed.
func (h *Health) Chosen(now time.Time, server string) {
	if f, ok := h.failed[server]; ok {
		f.probing = now
	}
}

// Excluded returns the servers that get no work now, by name.
func (h *Health) Excluded(now time.Time) []string {
	var out []string
	for name, f := range h.failed {
		isProbed := !f.probing.IsZero() && now.Sub(f.probing) < probeTimeout
		if now.Before(f.until) || isProbed {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (h *Health) forget(now time.Time) {
	for name, f := range h.failed {
		if now.Sub(f.until) > forgetAfter || len(h.failed) >= maxFailed {
			delete(h.failed, name)
		}
	}
}
