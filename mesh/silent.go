package mesh

import (
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
)

// maxLinesPerSecond bounds the lines about reported states, as the states of many servers may change at once.
const maxLinesPerSecond = 8

// mergeServers merges the servers in a heartbeat of the control instance at the address, and reports
// whether there is a change. The caller holds the lock.
//
// A control instance calls a server silent also when it has only lost the control instance that receives
// the server's announcements. While this instance is connected to that one, it withholds the silence and
// merges only the announcement.
func (m *Mesh) mergeServers(now time.Time, address string, servers []*wire.AnnouncedServer) bool {
	changed := false
	if leftOut := m.reportedStateLog.Begin(time.Duration(now.UnixNano())); leftOut > 0 {
		m.options.Log.Info("control instances reported other states of more backend servers", "left_out", leftOut)
	}
	for _, s := range servers {
		a := instance.AnnouncementFromWire(s)
		before, isKnown := m.directory.Get(a.ID)
		if a.State == discovery.StateSilent && a.HeardBy != address && m.hears(a.HeardBy) {
			m.withheld[a.ID] = a
			if isKnown && a.Incarnation == before.Incarnation && before.State == discovery.StateDraining {
				continue // reported by a build that calls draining servers silent
			}
			a.State = discovery.StateReady
			changed = m.directory.Merge(now, a) && !(isKnown && m.isQuiet(&before)) || changed
			continue
		}
		delete(m.withheld, a.ID)
		changed = m.directory.Merge(now, a) && !(isKnown && m.isQuiet(&before)) || changed
		if isKnown && a.State != before.State && m.reportedStateLog.Allows() {
			m.logReportedState(address, &a, &before)
		}
	}
	return changed
}

// logReportedState logs whether a state that the control instance at the address reports replaces another one. The
// caller holds the lock.
func (m *Mesh) logReportedState(address string, reported, before *discovery.Announcement) {
	after, _ := m.directory.Get(reported.ID)
	m.options.Log.Info("a control instance reported another state of a backend server", "address", address, "server", reported.ID,
		"state", reported.State, "incarnation", reported.Incarnation, "sequence", reported.Sequence,
		"known_state", before.State, "known_incarnation", before.Incarnation, "known_sequence", before.Sequence,
		"is_accepted", after.State == reported.State && after.Incarnation == reported.Incarnation)
}

// hears reports whether this instance is, or is connected to, a control instance. The caller holds the
// lock.
func (m *Mesh) hears(control string) bool {
	if control == "" {
		return false
	}
	_, ok := m.reportedControls[control]
	return ok || control == m.options.ControlAddress
}

// mergeWithheld merges the withheld reports about the servers of a control instance that is no longer
// connected, and reports whether there is a change. The caller holds the lock.
func (m *Mesh) mergeWithheld(now time.Time, control string) bool {
	changed := false
	for id, a := range m.withheld {
		if a.HeardBy == control {
			delete(m.withheld, id)
			changed = m.directory.Merge(now, a) || changed
		}
	}
	return changed
}
