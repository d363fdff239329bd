package mesh

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
)

// NewWatchFeed returns the feed for a new watcher.
func (m *Mesh) NewWatchFeed(first *wire.WatchRequest) instance.WatchFeed {
	f := &feed{mesh: m, name: first.Name, control: first.ControlAddress}
	m.mu.Lock()
	if f.control != "" {
		m.watchers[f.control]++
		m.notify()
	}
	m.mu.Unlock()
	f.HandleRequest(first)
	return f
}

// feed makes the beats for one watcher.
type feed struct {
	mesh    *Mesh
	name    string
	control string
	// sent is the revision of the directory that the watcher has.
	sent uint64
	// usageSent is when usage was last told; needsNoUsage says that the watcher asks for none.
	usageSent    time.Time
	needsNoUsage bool
}

const (
	// usageInterval is the time between two accounts of usage with a control instance of the
	// same data centre. At 150 new drafts a second in a data centre, 15 are not in it yet; with
	// four times as long, servers were filled to 1.2 of their memory.
	usageInterval = 100 * time.Millisecond
	// farUsageInterval is the same between data centres, whose traffic costs more.
	farUsageInterval = 250 * time.Millisecond
)

// HandleRequest takes the usage of the watcher.
func (f *feed) HandleRequest(req *wire.WatchRequest) {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.control != "" {
		return
	}
	before := m.ownSuspects()
	f.needsNoUsage = req.NeedsNoUsage
	m.setUsage(f.name, &use{running: usesFromWire(req.Running), faulty: req.Faulty})
	if !slices.Equal(before, m.ownSuspects()) {
		m.notify()
	}
}

// Next returns what has changed since the last beat.
func (f *feed) Next() *wire.WatchBeat {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &wire.WatchBeat{
		RoutingVersion: m.document.Version,
		Controls:       m.ownControls(),
		Fence:          m.fence,
		Suspects:       m.ownSuspects(),
		Gateways:       uint32(len(m.usage)),
		LeavesOutUsage: true,
		DataCentre:     m.options.DataCentre,
	}
	if now := time.Now(); f.tellsUsage() && now.Sub(f.usageSent) >= usageInterval {
		b.LeavesOutUsage = false
		b.Others = m.sumOthers(f.name)
		f.usageSent = now
	}
	for _, a := range m.directory.Since(f.sent) {
		b.Servers = append(b.Servers, instance.AnnouncementToWire(a))
	}
	f.sent = m.directory.Revision()
	return b
}

// tellsUsage reports whether the watcher has to learn the usage of the others. The caller holds
// the lock.
func (f *feed) tellsUsage() bool { return f.control == "" && !f.needsNoUsage }

// Interval is the longest time to the next beat.
func (f *feed) Interval() time.Duration {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	if f.tellsUsage() {
		return usageInterval
	}
	return instance.WatchInterval
}

// Wake returns a channel that is closed at the next change.
func (f *feed) Wake() <-chan struct{} { return f.mesh.Changed() }

// Close forgets the watcher.
func (f *feed) Close() {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setUsage(f.name, nil)
	if f.control == "" {
		return
	}
	if m.watchers[f.control]--; m.watchers[f.control] <= 0 {
		delete(m.watchers, f.control)
	}
}
