package mesh

import (
	"slices"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
)

// Watched returns the feed for a new watcher.
func (m *Mesh) Watched(first *wire.WatchRequest) instance.WatchFeed {
	f := &feed{mesh: m, name: first.Name, control: first.ControlAddress}
	m.mu.Lock()
	if f.control != "" {
		m.watchers[f.control]++
		m.notify()
	}
	m.mu.Unlock()
	f.Received(first)
	return f
}

// feed makes the beats for one watcher.
type feed struct {
	mesh    *Mesh
	name    string
	control string
	// sent is the revision of the directory that the watcher has.
	sent uint64
}

// Received takes the usage of the watcher.
func (f *feed) Received(req *wire.WatchRequest) {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.control != "" {
		return
	}
	before := m.ownSuspects()
	m.usage[f.name] = &use{running: usesFromWire(req.Running), faulty: req.Faulty}
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
		Others:         usesToWire(m.sumOthers(f.name)),
		Suspects:       m.ownSuspects(),
		Gateways:       uint32(len(m.usage)),
	}
	for _, a := range m.directory.Since(f.sent) {
		b.Servers = append(b.Servers, instance.AnnouncementToWire(a))
	}
	f.sent = m.directory.Revision()
	return b
}

// Wake returns a channel that is closed at the next change.
func (f *feed) Wake() <-chan struct{} { return f.mesh.Changed() }

// Close forgets the watcher.
func (f *feed) Close() {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.usage, f.name)
	if f.control == "" {
		return
	}
	if m.watchers[f.control]--; m.watchers[f.control] <= 0 {
		delete(m.watchers, f.control)
	}
}
