package mesh

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"golang.org/x/sync/errgroup"
)

const (
	// fetchBacklog bounds the control instances that are asked for a routing document.
	fetchBacklog = 16
	// minRetry and maxRetry bound the pause before a control instance is dialled again; the
	// longest is well under the shortest contact time of a deployment (3 s).
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// maxFollowed bounds the control instances that are watched at once.
	maxFollowed = 32
)

// Run watches every control instance that is known, until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runFetches(ctx) })
	followed := make(map[string]context.CancelFunc)
	for ctx.Err() == nil {
		changed := m.Changed()
		m.follow(ctx, g, followed)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return g.Wait()
}

// follow starts a duty for each new control instance and ends those of forgotten ones.
func (m *Mesh) follow(ctx context.Context, g *errgroup.Group, followed map[string]context.CancelFunc) {
	known := make(map[string]bool)
	for _, address := range m.Controls() {
		known[address] = true
		if _, ok := followed[address]; ok || len(followed) >= maxFollowed {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		followed[address] = cancel
		g.Go(func() error {
			m.watch(watchCtx, address)
			return nil
		})
	}
	for address, cancel := range followed {
		if !known[address] {
			cancel()
			delete(followed, address)
		}
	}
}

// watch keeps a watch of one control instance open until ctx ends.
func (m *Mesh) watch(ctx context.Context, address string) {
	retry := minRetry
	wasUp := false
	for ctx.Err() == nil {
		w := &watcher{mesh: m, address: address}
		err := m.options.Dialer.Watch(ctx, address, w)
		m.lost(address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errLost
		}
		if w.beats > 0 || wasUp {
			m.options.Log.Info("lost a control instance", "address", address, "beats", w.beats, "reason", err.Error())
		}
		wasUp = w.beats > 0
		if wasUp {
			retry = minRetry
		}
		sleep(ctx, retry)
		retry = min(maxRetry, 2*retry)
	}
}

// watcher is one watch of one control instance.
type watcher struct {
	mesh    *Mesh
	address string
	beats   int
}

// Request describes this instance and its usage.
func (w *watcher) Request() *wire.WatchRequest {
	m := w.mesh
	running := m.running()
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.WatchRequest{
		Name:           m.options.Name,
		ControlAddress: m.options.ControlAddress,
		DataCentre:     m.options.DataCentre,
		Running:        usesToWire(running),
		Faulty:         m.faulty,
		NeedsNoUsage:   !m.takesUsageOf(w.address),
	}
}

// Interval is the longest time to the next request.
func (w *watcher) Interval() time.Duration {
	m := w.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.centres[w.address] == m.options.DataCentre {
		return usageInterval
	}
	return farUsageInterval
}

// Wake returns a channel that is closed when this instance's faulty servers change.
func (w *watcher) Wake() <-chan struct{} {
	w.mesh.mu.Lock()
	defer w.mesh.mu.Unlock()
	return w.mesh.faultyChanged
}

// Received merges a beat.
func (w *watcher) Received(address string, b *wire.WatchBeat) {
	if w.beats == 0 {
		w.mesh.options.Log.Info("reached a control instance", "address", address, "servers", len(b.Servers), "routing", b.RoutingVersion)
	}
	w.beats++
	w.mesh.received(address, b)
}

// runFetches gets newer routing documents, one at a time.
func (m *Mesh) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-m.fetches.Items():
			if err := m.fetch(ctx, address); err != nil && ctx.Err() == nil {
				m.options.Log.Info("could not fetch the routing document", "address", address, "reason", err.Error())
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
