package instance

import (
	"slices"
	"sync"

	"github.com/balsamlb/balsamlb/consensus"
)

// largeQueue holds the messages with entries or chunks for one peer, with those that are being sent. It is safe for
// concurrent use.
type largeQueue struct {
	mu     sync.Mutex
	queued []consensus.Message
	// sending are the messages that next has returned last.
	sending []consensus.Message
	// wake has an element if messages may be queued.
	wake chan struct{}
}

func newLargeQueue() *largeQueue { return &largeQueue{wake: make(chan struct{}, 1)} }

// isLarge reports whether a message has entries or a chunk.
func isLarge(m consensus.Message) bool { return len(m.Entries) > 0 || len(m.Chunk) > 0 }

// put queues a message, unless the queue is full or holds the same entries or chunk already. Messages of earlier
// terms are dropped, since the peer would refuse them.
func (q *largeQueue) put(m consensus.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queued = slices.DeleteFunc(q.queued, func(o consensus.Message) bool { return o.Term < m.Term })
	isSame := func(o consensus.Message) bool { return carriesSame(o, m) }
	if len(q.queued) >= outboxSize || slices.ContainsFunc(q.queued, isSame) || slices.ContainsFunc(q.sending, isSame) {
		return
	}
	q.queued = append(q.queued, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// carriesSame reports whether b carries nothing that a doesn't.
func carriesSame(a, b consensus.Message) bool {
	return a.Kind == b.Kind && a.Term == b.Term && a.PrevIndex == b.PrevIndex && a.PrevTerm == b.PrevTerm &&
		a.Offset == b.Offset && len(a.Entries) >= len(b.Entries)
}

// next ends the sending of the last batch and returns the next one, which is empty if nothing is queued.
func (q *largeQueue) next() []consensus.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	size, count := 0, 0
	for count < min(len(q.queued), maxStepBatch) && (count == 0 || size+largeBytes(q.queued[count]) <= maxStepBytes) {
		size += largeBytes(q.queued[count])
		count++
	}
	q.sending = slices.Clone(q.queued[:count])
	q.queued = slices.Delete(q.queued, 0, count)
	return q.sending
}

// clear drops all messages and returns them, in their order.
func (q *largeQueue) clear() []consensus.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped := append(q.sending, q.queued...)
	q.queued, q.sending = nil, nil
	return dropped
}

// largeBytes returns the size of the entries or the chunk of a message in bytes.
func largeBytes(m consensus.Message) int {
	size := len(m.Chunk)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}
