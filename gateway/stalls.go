package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// stallsFreshFor is for how long an answer about stalled drafts is used for the others at the
// same server. Servers answer what held some 200 ms ago.
const stallsFreshFor = 100 * time.Millisecond

// stalls asks first servers what holds up drafts, once for all drafts that wait there at a time:
// after a loss they all ask at once. It is safe for concurrent use.
type stalls struct {
	ask func(ctx context.Context, head string) (map[string]string, error)
	// running are the questions that are under way, by the address of the server.
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

// holdsUp returns the address of the server that holds up a request at its first server; "" if
// none does. The question goes on for the others if ctx ends.
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

// forget drops the answers that are no longer used.
func (s *stalls) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for head, a := range s.answers {
		if now.Sub(a.at) >= stallsFreshFor {
			delete(s.answers, head)
		}
	}
}
