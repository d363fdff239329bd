// Package ring provides a bounded queue between two duties of a process.
package ring

import "context"

// Ring is a bounded queue. Its size is fixed; what happens when it is full is chosen by the
// sender: Offer refuses, Push waits.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, size)}
}

// Offer adds an item, or reports false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Push adds an item, waiting for room until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.slots <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.slots }

// Drain returns up to max items that are waiting, without blocking.
func (r *Ring[T]) Drain(max int) []T {
	var items []T
	for len(items) < max {
		select {
		case item := <-r.slots:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}
