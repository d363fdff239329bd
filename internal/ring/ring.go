// Package ring provides a bounded queue between goroutines.
package ring

import "context"

// Ring is a bounded queue of fixed size. It is safe for concurrent use. The sender chooses what
// happens when it is full: Offer refuses the item, Push waits.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and reports true, or reports false if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push adds an item. If the ring is full, it waits for a free slot until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Drain removes and returns up to max queued items without blocking.
func (r *Ring[T]) Drain(max int) []T {
	var items []T
	for len(items) < max {
		select {
		case item := <-r.items:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}
