package emulate

import (
	"cmp"
	"slices"
	"sync"
)

// queueSize is the maximum number of tokens that wait at an engine. Further ones are refused.
const queueSize = 4096

// work is a token that waits to run at a stage.
type work struct {
	session  *session
	hop      hop
	sequence uint64
}

// queue holds the waiting work of one engine, ordered by priority and then by arrival.
type queue struct {
	mu           sync.Mutex
	items        []*work
	lastSequence uint64
	wake         chan struct{}
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// add adds work to the queue. It returns false if the queue is full.
func (q *queue) add(w *work) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= queueSize {
		return false
	}
	q.lastSequence++
	w.sequence = q.lastSequence
	q.items = append(q.items, w)
	q.signal()
	return true
}

// signal wakes the engine. The channel buffers one signal, which is enough, because the engine
// takes work until the queue is empty before it waits for a signal.
func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) ready() <-chan struct{} { return q.wake }

// take removes and returns up to max items, those of the highest priority first.
func (q *queue) take(max int) []*work {
	q.mu.Lock()
	defer q.mu.Unlock()
	slices.SortFunc(q.items, func(a, b *work) int {
		return cmp.Or(cmp.Compare(b.session.open.Priority, a.session.open.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	n := min(max, len(q.items))
	batch := slices.Clone(q.items[:n])
	q.items = slices.Delete(q.items, 0, n)
	return batch
}

// removeSession removes the waiting work of a session.
func (q *queue) removeSession(s *session) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = slices.DeleteFunc(q.items, func(w *work) bool { return w.session == s })
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
