package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// stallReportTTL is how long a server's report about stalled drafts is reused for other drafts at
// the same server. The report describes the state of about 200 ms ago.
const stallsFreshFor = 100 * time.Millisecond

// stallReports asks first servers which servers stall their drafts. All drafts that are stalled at
// one server share a query, since after a crash they all ask at the same time. It is safe for
// concurrent use.
type stalls struct {
	ask func(ctx context.Context, head string) (map[string]string, error)
	// inFlight holds the queries in progress, by the address of the server.
	running singleflight.Group

	mu      sync.Mutex
	answers map[string]stallAnswer
}

type stallAnswer struct {
	byRequest map[string]string
	err       error
	at        time.Time
}

func newStalls(ask func(ctx context.Context, head string) (map[string]string, error)) *stalls {
	return &stalls{ask: ask, answers: make(map[string]stallAnswer)}
}

// stalledBy returns the address of the server that stalls a request, as its first server reports, or
// "" if there is none. If ctx ends, the query continues for other drafts that wait for it.
func (s *stalls) holdsUp(ctx context.Context, head, request string) (string, error) {
	s.mu.Lock()
	a, ok := s.answers[head]
	s.mu.Unlock()
	if ok && time.Since(a.at) < stallsFreshFor {
		return a.byRequest[request], a.err
	}
	answer := s.running.DoChan(head, func() (any, error) { return s.fetch(context.WithoutCancel(ctx), head), nil })
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case r := <-answer:
		a := r.Val.(stallAnswer)
		return a.byRequest[request], a.err
	}
}

func (s *stalls) fetch(ctx context.Context, head string) stallAnswer {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	byRequest, err := s.ask(ctx, head)
	a := stallAnswer{byRequest: byRequest, err: err, at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[head] = a
	return a
}

// removeExpired removes the reports that are too old to be reused.
func (s *stalls) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for head, a := range s.answers {
		if now.Sub(a.at) >= stallsFreshFor {
			delete(s.answers, head)
		}
	}
}
