package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// stallReportTTL is how long a server's report about stalled drafts is reused for other drafts at
// the same server. The report describes the state of about 200 ms ago.
const stallReportTTL = 100 * time.Millisecond

// stallReports asks first servers which servers stall their drafts. All drafts that are stalled at
// one server share a query, since after a crash they all ask at the same time. It is safe for
// concurrent use.
type stallReports struct {
	query func(ctx context.Context, head string) (map[string]string, error)
	// inFlight holds the queries in progress, by the address of the server.
	inFlight singleflight.Group

	mu      sync.Mutex
	reports map[string]stallReport
}

type stallReport struct {
	byRequest map[string]string
	err       error
	at        time.Time
}

func newStallReports(query func(ctx context.Context, head string) (map[string]string, error)) *stallReports {
	return &stallReports{query: query, reports: make(map[string]stallReport)}
}

// stalledBy returns the address of the server that stalls a request, as the request's first server
// reports, or "" if no server stalls it. If ctx ends, the query continues for other drafts that
// wait for it.
func (s *stallReports) stalledBy(ctx context.Context, head, request string) (string, error) {
	s.mu.Lock()
	a, ok := s.reports[head]
	s.mu.Unlock()
	if ok && time.Since(a.at) < stallReportTTL {
		return a.byRequest[request], a.err
	}
	result := s.inFlight.DoChan(head, func() (any, error) { return s.fetch(context.WithoutCancel(ctx), head), nil })
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case r := <-result:
		a := r.Val.(stallReport)
		return a.byRequest[request], a.err
	}
}

func (s *stallReports) fetch(ctx context.Context, head string) stallReport {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	byRequest, err := s.query(ctx, head)
	a := stallReport{byRequest: byRequest, err: err, at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[head] = a
	return a
}

// removeExpired removes the reports that are too old to be reused.
func (s *stallReports) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for head, a := range s.reports {
		if now.Sub(a.at) >= stallReportTTL {
			delete(s.reports, head)
		}
	}
}
