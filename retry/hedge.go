package retry

import (
	"slices"
	"time"
)

const (
	// hedgeQuantile is the share of calls that end before a hedge would be sent.
	hedgeQuantile = 0.95
	// hedgeSamples is the number of latest calls that are looked at.
	hedgeSamples = 128
	// minHedgeSamples is how many calls must be known before any is hedged.
	minHedgeSamples = 20
	// minHedgeDelay keeps very fast services from hedging on noise.
	minHedgeDelay = 5 * time.Millisecond
	// maxServices bounds the services whose latencies are kept.
	maxServices = 1024
)

// Latencies remembers how long the latest calls of each service took.
type Latencies struct {
	services map[string]*latencies
}

type latencies struct {
	latest []time.Duration
	next   int
}

// NewLatencies returns an empty Latencies.
func NewLatencies() *Latencies { return &Latencies{services: make(map[string]*latencies)} }

// Answered notes the time of a call.
func (l *Latencies) Answered(service string, took time.Duration) {
	s, ok := l.services[service]
	if !ok {
		if len(l.services) >= maxServices {
			return
		}
		s = &latencies{}
		l.services[service] = s
	}
	if len(s.latest) < hedgeSamples {
		s.latest = append(s.latest, took)
		return
	}
	s.latest[s.next] = took
	s.next = (s.next + 1) % hedgeSamples
}

// HedgeDelay returns the time after which a call is sent to a second server, or false when
// too little is known.
func (l *Latencies) HedgeDelay(service string) (time.Duration, bool) {
	s, ok := l.services[service]
	if !ok || len(s.latest) < minHedgeSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.latest))
	d := sorted[int(hedgeQuantile*float64(len(sorted)-1))]
	return max(d, minHedgeDelay), true
}
