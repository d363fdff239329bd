package mesh

import (
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// NewWatchFeed returns the feed for a watcher that has sent its first request.
func (m *Mesh) NewWatchFeed(first *wire.WatchRequest) instance.WatchFeed {
	f := &feed{mesh: m, name: first.Name, control: first.ControlAddress, waker: newWaker(), crashes: crashReporter{evidence: m.crashes}}
	m.mu.Lock()
	f.group = m.wakeups.join(f.waker, f.control != "")
	m.dueFeeds.add(f)
	if f.control != "" {
		m.controlFeeds[f] = true
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
	waker   *waker
	group   *wakeGroup
	// slot is the feed's place in dueFeeds.
	slot int
	// lastSent is when the last heartbeat was built. sentWatchers and sentUsage are the mesh's revisions when the last
	// ones were built that contained the number of gateways and the usage.
	lastSent                time.Time
	sentWatchers, sentUsage uint64
	// sentRevision is the directory revision up to which servers were sent to the watcher, and writtenRevision the one
	// up to which they have been written to the connection.
	sentRevision, writtenRevision uint64
	// lastUsageSent is when usage was last sent; needsNoUsage is set if the watcher declines usage.
	lastUsageSent time.Time
	needsNoUsage  bool
	// subtractsOwnUsage is set if the watcher subtracts its own usage from the sum over all watchers,
	// and includedReport is the number of its report that the sum includes.
	subtractsOwnUsage bool
	includedReport    uint64
	crashes           crashReporter
	// latestReport is the number of the watcher's latest report, and answeredReport that of the latest one when the last
	// heartbeat was built.
	latestReport, answeredReport uint64
	needsRelays                  bool
}

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
	f.latestReport = req.Report
	if f.control != "" {
		return
	}
	f.needsNoUsage, f.needsRelays = req.NeedsNoUsage, req.NeedsRelays
	f.subtractsOwnUsage = req.Report > 0
	report := &watcherReport{feed: f, number: req.Report, usage: usageListFromWire(req.Running), demand: m.reportedDemand(req), servers: reachabilityFromWire(req),
		relay: relayReport{address: req.RelayAddress, dataCentre: req.DataCentre, isNeeded: req.NeedsRelays}}
	if m.setWatcherReport(f.name, report) && m.updateUnresponsive() {
		m.broadcast()
	}
}

// Next appends the heartbeat with the changes since the previous one to buf.
func (f *feed) Next(buf []byte) ([]byte, error) {
	m := f.mesh
	now := time.Now()
	crashes, partCrashes := f.crashes.next(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	start := len(buf)
	buf, err := m.appendCommon(buf)
	if err != nil {
		return nil, err
	}
	if buf, err = m.appendServers(buf, f.sentRevision); err != nil {
		return nil, err
	}
	f.sentRevision = m.directory.Revision()
	own := &wire.WatchBeat{Crashes: crashes, PartCrashes: partCrashes, LeavesOutUsage: true, Rank: m.rankOf(f.name), Relays: m.relaysFor(f.name)}
	f.appendConfirmation(own)
	if buf, err = f.appendUsage(buf, own, now); err != nil {
		return nil, err
	}
	if buf, err = (proto.MarshalOptions{}).MarshalAppend(buf, own); err != nil {
		return nil, eris.Wrapf(err, "mesh: encode a heartbeat to %s", f.name)
	}
	f.lastSent, f.sentWatchers, f.answeredReport = now, m.watchersRevision, f.latestReport
	m.feedWork.Heartbeats++
	m.feedWork.Bytes += uint64(len(buf) - start)
	return buf, nil
}

// Sent records that the heartbeat that Next returned last has been written to the connection.
func (f *feed) Sent() {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	if f.control == "" || f.writtenRevision == f.sentRevision {
		return
	}
	f.writtenRevision = f.sentRevision
	close(f.mesh.passedOn)
	f.mesh.passedOn = make(chan struct{})
}

// appendUsage appends the shared usage if it is time to send it. It sets the fields of the watcher's
// own part of the heartbeat that concern usage. The caller holds the lock.
func (f *feed) appendUsage(buf []byte, own *wire.WatchBeat, now time.Time) ([]byte, error) {
	m := f.mesh
	if !f.sendsUsage() || now.Sub(f.lastUsageSent) < usageInterval {
		return buf, nil
	}
	if !f.subtractsOwnUsage {
		own.LeavesOutUsage, own.Others = false, m.usageExcept(f.name)
		f.lastUsageSent, f.sentUsage = now, m.usageRevision
		return buf, nil
	}
	withUsage, err := m.appendSharedUsage(buf, now)
	if err != nil {
		return nil, err
	}
	if f.includedReport == 0 {
		return buf, nil
	}
	own.LeavesOutUsage, own.IncludesReport = false, f.includedReport
	f.lastUsageSent, f.sentUsage = now, m.shared.usageRevision
	return withUsage, nil
}

// sendsUsage reports whether the watcher is sent the usage of its peers. One that has connected again is included with the
// report of one of its connections, which it can't subtract on another one. The caller holds the lock.
func (f *feed) sendsUsage() bool {
	if f.control != "" || f.needsNoUsage {
		return false
	}
	r := f.mesh.watcherReports[f.name]
	return !f.subtractsOwnUsage || r != nil && r.feed == f
}

// Interval returns the longest time to the next heartbeat. It is short while the watcher acts by the age of what it
// has heard, as in trials of contents that crash servers.
func (f *feed) Interval() time.Duration {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	if f.control != "" || f.needsRelays || !f.mesh.crashes.IsEmpty() {
		return instance.WatchInterval
	}
	return calmInterval(len(f.mesh.watcherReports))
}

// isDue reports whether a heartbeat should be sent though nothing has changed that is urgent. A report is answered
// soon, so that the age that its answer confirms of the routing document is small. The caller holds the lock.
func (f *feed) isDue(now time.Time) bool {
	m := f.mesh
	idle := now.Sub(f.lastSent)
	return f.sendsUsage() && f.sentUsage != m.usageRevision && now.Sub(f.lastUsageSent) >= usageInterval ||
		f.sentWatchers != m.watchersRevision && idle >= max(usageInterval, wakeInterval(m.wakeups.watchers)) ||
		f.answeredReport != f.latestReport && idle >= calmInterval(len(m.watcherReports))/2
}

// Wake returns a channel that is closed after the next change of the mesh.
func (f *feed) Wake() <-chan struct{} {
	f.mesh.mu.Lock()
	defer f.mesh.mu.Unlock()
	return f.waker.woken
}

// Close removes the watcher and its report.
func (f *feed) Close() {
	m := f.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeups.leave(f.group, f.waker)
	m.dueFeeds.remove(f)
	changed := false
	// A watcher may have connected again before the end of this connection was noticed.
	if r := m.watcherReports[f.name]; r != nil && r.feed == f {
		changed = m.setWatcherReport(f.name, nil) && m.updateUnresponsive()
	}
	if f.control != "" {
		delete(m.controlFeeds, f)
		changed = true
	}
	if changed {
		m.broadcast()
	}
}
