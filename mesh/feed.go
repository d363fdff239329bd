package mesh

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
)

// NewWatchFeed returns the feed for a watcher that has sent its first request.
func (m *Mesh) NewWatchFeed(first *wire.WatchRequest) instance.WatchFeed {
	f := &feed{mesh: m, name: first.Name, control: first.ControlAddress, crashes: crashReporter{evidence: m.crashes}}
	m.mu.Lock()
	if f.control != "" {
		m.controlWatches[f.control]++
		m.broadcast()
	}
	m.mu.Unlock()
	f.HandleRequest(first)
	return f
}

// feed builds the heartbeats for one watcher.
type feed struct {
	mesh    *Mesh
	name    string // of the watcher
	control string // the watcher's address if it is a control instance, else empty
	// sentRevision is the directory revision up to which servers were sent to the watcher.
	sentRevision uint64
	// lastUsageSent is when usage was last sent; needsNoUsage is set if the watcher declines usage.
	lastUsageSent time.Time
	needsNoUsage  bool
	crashes       crashReporter
}

const (
	// usageInterval is the time between two usage reports that a gateway and a control instance of
	// the same data centre send each other. At 150 new drafts a second in a data centre, a report
	// misses up to 15 of them; at four times the interval, servers were filled to 1.2 times their
	// memory.
	usageInterval = 100 * time.Millisecond
	// remoteUsageInterval is the interval if the gateway and the control instance are in different
	// data centres, between which traffic costs more.
	remoteUsageInterval = 250 * time.Millisecond
)

// HandleRequest stores the report of the watcher. Of control instances, only the crash evidence is
// used.
func (f *feed) HandleRequest(req *wire.WatchRequest) {
	m := f.mesh
	hasEvidence := m.crashes.merge(time.Now(), req.Crashes, req.PartCrashes)
	m.mu.Lock()
	defer m.mu.Unlock()
	if hasEvidence {
		m.broadcast()
	}
	if f.control != "" {
		return
	}
	before := m.unresponsiveToWatchers()
	f.needsNoUsage = req.NeedsNoUsage
	m.setWatcherReport(f.name, &watcherReport{feed: f, usage: usageListFromWire(req.Running), unresponsive: req.Faulty})
	if !slices.Equal(before, m.unresponsiveToWatchers()) {
		m.broadcast()
	}
}

// Next returns the heartbeat with the changes since the previous one.
func (f *feed) Next() *wire.WatchBeat {
	m := f.mesh
	crashes, partCrashes := f.crashes.next(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &wire.WatchBeat{
		Crashes:        crashes,
		PartCrashes:    partCrashes,
		RoutingVersion: m.document.Version,
		Controls:       m.directControls(),
		Fence:          m.fence,
		Suspects:       m.unresponsiveToWatchers(),
		Gateways:       uint32(len(m.watcherReports)),
		LeavesOutUsage: true,
		DataCentre:     m.options.DataCentre,
	}
	if now := time.Now(); f.sendsUsage() && now.Sub(f.lastUsageSent) >= usageInterval {
		b.LeavesOutUsage = false
		b.Others = m.usageExcept(f.name)
		f.lastUsageSent = now
	}
	for _, a := range m.directory.Since(f.sentRevision) {
		b.Servers = append(b.Servers, instance.AnnouncementToWire(a))
	}
	f.sentRevision = m.directory.Revision()
	return b
}

// sendsUsage reports whether the watcher is sent the usage of its peers. The caller holds the
// lock.
func (f *feed) sendsUsage() bool { return f.control == "" && !f.needsNoUsage }

// Interval returns the longest time to the next heartbeat.
func (f *feed) Interval() time.Duration {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	if f.sendsUsage() {
		return usageInterval
	}
	return instance.WatchInterval
}

// Wake returns a channel that is closed at the next change of the mesh.
func (f *feed) Wake() <-chan struct{} { return f.mesh.Changed() }

// Close removes the watcher and its report.
func (f *feed) Close() {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.unresponsiveToWatchers()
	// A watcher may have connected again before the end of this connection was noticed.
	if r := m.watcherReports[f.name]; r != nil && r.feed == f {
		m.setWatcherReport(f.name, nil)
	}
	changed := !slices.Equal(before, m.unresponsiveToWatchers())
	if f.control != "" {
		if m.controlWatches[f.control]--; m.controlWatches[f.control] <= 0 {
			delete(m.controlWatches, f.control)
			changed = true
		}
	}
	if changed {
		m.broadcast()
	}
}
