package controller

import (
	"context"
	"sync"
)

// sharedReads lets callers that ask at the same time share a read, so that any number of them holds one result. A read
// that began before a caller asked may be stale: the caller waits for the next one.
type sharedReads struct {
	read func() ([]byte, error)

	mu        sync.Mutex
	next      *sharedRead // has not begun; nil if nobody waits for it
	isRunning bool
}

type sharedRead struct {
	done chan struct{}
	text []byte
	err  error
}

// get returns the result of a read that begins after the call. It must not be changed.
func (s *sharedReads) get(ctx context.Context) ([]byte, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
	}
	r := s.next
	if !s.isRunning {
		s.isRunning = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.text, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run reads until nobody waits.
func (s *sharedReads) run() {
	for {
		s.mu.Lock()
		r := s.next
		s.next = nil
		s.isRunning = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		r.text, r.err = s.read()
		close(r.done)
	}
}
