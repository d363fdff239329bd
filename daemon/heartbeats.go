package daemon

import (
	"context"
	"sync"
	"time"
)

const (
	// minHeartbeatGap is the minimum time between two heartbeats, so that many changes at once are
	// sent in few heartbeats.
	minHeartbeatGap = 20 * time.Millisecond
	// heartbeatSlack is how much later than its interval a heartbeat may be sent.
	heartbeatSlack = 100 * time.Millisecond
)

// heartbeatScheduler decides when this instance sends its next heartbeat.
type heartbeatScheduler struct {
	// regional wakes the feeds to subscribers of the region at every heartbeat. urgent wakes the
	// other feeds, and only for changes that must be known at once.
	regional *broadcast
	urgent   *broadcast
	// requested signals that a heartbeat should be sent now. It holds at most one signal, since one
	// heartbeat carries all changes.
	requested chan struct{}
}

func newHeartbeatScheduler() *heartbeatScheduler {
	return &heartbeatScheduler{regional: newBroadcast(), urgent: newBroadcast(), requested: make(chan struct{}, 1)}
}

// sendNow requests a heartbeat without waiting for the interval.
func (h *heartbeatScheduler) sendNow() {
	select {
	case h.requested <- struct{}{}:
	default:
	}
}

// run wakes the feeds at every interval and on request, until ctx ends.
func (h *heartbeatScheduler) run(ctx context.Context, interval func() time.Duration) error {
	for {
		timer := time.NewTimer(interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			h.regional.wakeAll()
		case <-h.requested:
			timer.Stop()
			h.regional.wakeAll()
			h.urgent.wakeAll()
			sleepFor(ctx, minHeartbeatGap)
		}
	}
}

// broadcast wakes all goroutines that wait for the next call of wakeAll.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

// wakeAll wakes all waiting goroutines.
func (b *broadcast) wakeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// wait returns a channel that is closed by the next call of wakeAll.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}
