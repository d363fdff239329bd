package mesh

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/reachability"
)

// SetReachability replaces what this instance says about backend servers, and sends it to the control
// instances at once.
func (m *Mesh) SetReachability(r reachability.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reachability.Equal(r) {
		return
	}
	m.reachability = r
	m.reportAtOnce()
}

// reachabilityFromWire returns what a watcher says about servers.
func reachabilityFromWire(req *wire.WatchRequest) reachability.Report {
	return reachability.Report{Unresponsive: req.Faulty, Unreached: req.Unreached, Answering: req.Answering, IsCutOff: req.IsCutOff}
}

// Doubts returns the servers that other gateways can't reach, with when this instance learned so. The map must
// not be modified.
func (m *Mesh) Doubts() map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.doubtedSince
}

// AnsweringOthers reports whether a server that some gateways can't reach answers others.
func (m *Mesh) AnsweringOthers(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.reportedDoubts {
		if slices.Contains(d.answering, id) {
			return true
		}
	}
	return false
}

// reportedDoubts is what a control instance reports about servers that some gateways can't reach.
type reportedDoubts struct{ doubted, answering []string }

func (d reportedDoubts) equal(other reportedDoubts) bool {
	return slices.Equal(d.doubted, other.doubted) && slices.Equal(d.answering, other.answering)
}

// updateDoubts replaces the doubts that a control instance reports; empty ones are removed. It reports whether
// they have changed. The caller holds the lock.
func (m *Mesh) updateDoubts(now time.Time, address string, d reportedDoubts) bool {
	if m.reportedDoubts[address].equal(d) {
		return false
	}
	if len(d.doubted) == 0 {
		delete(m.reportedDoubts, address)
	} else {
		m.reportedDoubts[address] = d
	}
	since := make(map[string]time.Time)
	for _, reported := range m.reportedDoubts {
		for _, id := range reported.doubted {
			since[id] = now
		}
	}
	for id, at := range m.doubtedSince {
		if _, isDoubted := since[id]; isDoubted {
			since[id] = at
		}
	}
	m.doubtedSince = since
	return true
}

// allUnresponsive returns the servers that this instance's watchers or other control instances
// report as unresponsive. The caller holds the lock.
func (m *Mesh) allUnresponsive() map[string]bool {
	out := make(map[string]bool)
	for _, id := range m.unresponsiveHere {
		out[id] = true
	}
	for _, reported := range m.reportedUnresponsive {
		for _, id := range reported {
			out[id] = true
		}
	}
	return out
}

// updateUnresponsive weighs the watchers' reports after one of them has changed, and reports whether the
// watchers have to be told. Only the reports of gateways count, not those of watching control instances. The
// caller holds the lock.
func (m *Mesh) updateUnresponsive() bool {
	unresponsive := m.doubts.Unresponsive(m.knownGateways())
	here := reportedDoubts{doubted: m.doubts.Doubted(), answering: m.doubts.Answering()}
	m.logCutOff()
	if slices.Equal(unresponsive, m.unresponsiveHere) && here.equal(m.doubtsHere) {
		return false
	}
	m.unresponsiveHere, m.doubtsHere = unresponsive, here
	return true
}

// logCutOff logs when none, some or most of the gateways have begun to be cut off from all backend servers. The number
// of these also changes with each gateway that connects or disconnects. The caller holds the lock.
func (m *Mesh) logCutOff() {
	cutOff, gateways := m.doubts.CutOff(), len(m.watcherReports)
	if share := newCutOffShare(m.loggedCutOff, cutOff, gateways); share != m.loggedCutOff {
		m.loggedCutOff = share
		m.options.Log.Info("gateways are cut off from all backend servers", "cut_off", cutOff, "gateways", gateways)
	}
}
