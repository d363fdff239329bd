package retry

import (
	"slices"
	"time"
)

const (
	// hedgeQuantile is the share of calls that end before a hedge would be sent.
	hedgeQuantile = 0.95
	// hedgeSamples is the number of latest calls of a service whose durations are kept.
	hedgeSamples = 128
	// minHedgeSamples is the number of calls that must be known before calls are hedged.
	minHedgeSamples = 20
	// minHedgeDelay is the least hedge delay. It prevents calls to very fast services from being
	// hedged because of noise in their durations.
	minHedgeDelay = 5 * time.Millisecond
	// maxServices limits the number of services whose latencies are kept.
	maxServices = 1024
)

// Latencies keeps the durations of the latest calls of each service. It is not safe for concurrent
// use.
type Latencies struct {
	services map[string]*samples
}

type samples struct {
	latest []time.Duration
	next   int
}

// NewLatencies returns an empty Latencies.
func NewLatencies() *Latencies { return &Latencies{services: make(map[string]*samples)} }

// Observe records the duration of a call.
func (l *Latencies) Observe(service string, took time.Duration) {
	s, ok := l.services[service]
	if !ok {
		if len(l.services) >= maxServices {
			return
		}
		s = &samples{}
		l.services[service] = s
	}
	if len(s.latest) < hedgeSamples {
		s.latest = append(s.latest, took)
		return
	}
	s.latest[s.next] = took
	s.next = (s.next + 1) % hedgeSamples
}

// HedgeDelay returns the time since the start of a call after which it is also sent to a second
// server, or false if there are too few samples.
func (l *Latencies) HedgeDelay(service string) (time.Duration, bool) {
	s, ok := l.services[service]
	if !ok || len(s.latest) < minHedgeSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.latest))
	d := sorted[int(hedgeQuantile*float64(len(sorted)-1))]
	return max(d, minHedgeDelay), true
}
