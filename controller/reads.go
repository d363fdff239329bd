package controller

import (
	"context"
	"sync"
	"time"
)

// readInterval is the shortest time between the begins of two reads.
const readInterval = 50 * time.Millisecond

// sharedReads lets callers share reads, so that any number of them holds few results. A read that began before a caller
// asked may be stale: the caller waits for the next one, which doesn't wait for others to end.
type sharedReads struct {
	read func() ([]byte, error)

	mu    sync.Mutex
	next  *sharedRead // has not begun; nil if nobody waits for it
	begun time.Time   // when the last read began
}

type sharedRead struct {
	done chan struct{}
	text []byte
	err  error
}

// get returns the result of a read that begins after the call. It must not be changed.
func (s *sharedReads) get(ctx context.Context) ([]byte, error) {
	r := s.join()
	select {
	case <-r.done:
		return r.text, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns the next read.
func (s *sharedReads) join() *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
		time.AfterFunc(time.Until(s.begun.Add(readInterval)), s.begin)
	}
	return s.next
}

// begin carries out the next read.
func (s *sharedReads) begin() {
	s.mu.Lock()
	r := s.next
	s.next, s.begun = nil, time.Now()
	s.mu.Unlock()
	r.text, r.err = s.read()
	close(r.done)
}
