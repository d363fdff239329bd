package daemon

import (
	"context"
	"sync"
	"time"
)

const (
	// urgentGap is the least time between two beats, so that many changes at once go into
	// few beats.
	urgentGap = 20 * time.Millisecond
	// pulseSlack is how much later than its time a beat may be sent.
	pulseSlack = 100 * time.Millisecond
)

// pulse says when the next beat is sent.
type pulse struct {
	// beat wakes the feeds to subscribers of the region, urgent only for what must be known
	// at once.
	beat   *bell
	urgent *bell
	// wanted holds one signal, since one beat sends all that has changed.
	wanted chan struct{}
}

func newPulse() *pulse {
	return &pulse{beat: newBell(), urgent: newBell(), wanted: make(chan struct{}, 1)}
}

// ring asks for a beat at once.
func (p *pulse) ring() {
	select {
	case p.wanted <- struct{}{}:
	default:
	}
}

// run rings the bells until ctx ends.
func (p *pulse) run(ctx context.Context, interval func() time.Duration) error {
	for {
		timer := time.NewTimer(interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			p.beat.ring()
		case <-p.wanted:
			timer.Stop()
			p.beat.ring()
			p.urgent.ring()
			pauseFor(ctx, urgentGap)
		}
	}
}

// bell wakes all who wait for it.
type bell struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBell() *bell { return &bell{ch: make(chan struct{})} }

// ring wakes those who wait.
func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// wait returns a channel that is closed by the next ring.
func (b *bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}
