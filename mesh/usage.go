package mesh

import (
	"maps"
	"slices"

	"github.com/balsamlb/balsamlb/instance/wire"
)

// Usage is the work that passes through one backend server.
type Usage struct {
	Server string
	// Drafts counts all drafts, Heads only those whose path starts at the server.
	Drafts int
	Heads  int
	// TokenLayers is the memory that the drafts are predicted to need, in tokens times layers.
	TokenLayers int
}

// watcherReport is the latest report of one watcher.
type watcherReport struct {
	feed         *feed // that received the report
	number       uint64
	usage        []Usage
	unresponsive []string
}

// SetLocalUsage sets the function that returns this instance's usage, which is sent to the
// control instances. It must be called before Run.
func (m *Mesh) SetLocalUsage(usage func() []Usage) { m.localUsage = usage }

// SetUnresponsive replaces the servers that are unresponsive to this instance, and sends them to
// the control instances at once.
func (m *Mesh) SetUnresponsive(servers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Equal(m.unresponsive, servers) {
		return
	}
	m.unresponsive = servers
	m.reportAtOnce()
}

// Gateways returns the largest number of gateways that a control instance reports, at least 1.
func (m *Mesh) Gateways() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownGateways()
}

// knownGateways is Gateways for a caller that holds the lock.
func (m *Mesh) knownGateways() int {
	n := 1
	for _, g := range m.reportedGateways {
		n = max(n, g)
	}
	return n
}

// Rank returns this gateway's place, from 0, among the gateways that the control instance reports that
// knows most of them, and their number. The rank is -1 if it isn't known.
func (m *Mesh) Rank() (rank, gateways int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank, gateways = -1, 1
	for address, n := range m.reportedGateways {
		r, ok := m.reportedRanks[address]
		if ok && r >= 0 && (n > gateways || n == gateways && (rank < 0 || r < rank)) {
			rank, gateways = r, n
		}
	}
	return rank, gateways
}

// rankOf returns the place, from 1, of a watcher among those that have sent a report, or 0 if it has sent
// none. The caller holds the lock.
func (m *Mesh) rankOf(name string) uint32 {
	if m.watcherNames == nil {
		m.watcherNames = slices.Sorted(maps.Keys(m.watcherReports))
	}
	i, ok := slices.BinarySearch(m.watcherNames, name)
	if !ok {
		return 0
	}
	return uint32(i + 1)
}

// PeerUsage returns the other instances' usage by backend server. The map must not be modified.
func (m *Mesh) PeerUsage() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerUsage
}

// mergePeerUsage merges the usage that the control instances report. Each control instance reports
// the sum over its watchers. For each server the largest sum is used, since only a part of the
// gateways may watch a control instance. The caller holds the lock.
func (m *Mesh) mergePeerUsage() {
	sums := make(map[string]Usage)
	for _, reported := range m.reportedUsage {
		for _, u := range reported {
			if u.TokenLayers >= sums[u.Server].TokenLayers {
				sums[u.Server] = u
			}
		}
	}
	m.peerUsage = sums
}

// acceptsUsageFrom reports whether peer usage is accepted from a control instance. It is accepted
// only from control instances of this data centre, since traffic within a data centre is cheap. If
// no such control instance is connected, it is accepted from all. The caller holds the lock.
func (m *Mesh) acceptsUsageFrom(address string) bool {
	if m.dataCentres[address] == m.options.DataCentre {
		return true
	}
	for _, centre := range m.dataCentres {
		if centre == m.options.DataCentre {
			return false
		}
	}
	return true
}

// unresponsiveReports is the number of gateways that must report a server as unresponsive before all
// gateways avoid the server, since a single gateway may itself be cut off. If there is only one
// gateway, its report is enough.
const unresponsiveReports = 2

// unresponsiveToWatchers returns the sorted servers that enough of this control instance's watchers
// report as unresponsive. Only the reports of gateways count, not those of watching control
// instances. unresponsiveReports of them are needed, or one if there is a single gateway. The caller
// holds the lock.
func (m *Mesh) unresponsiveToWatchers() []string {
	var out []string
	needed := min(unresponsiveReports, max(len(m.watcherReports), m.knownGateways()))
	for id, n := range m.unresponsiveCounts {
		if n >= needed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
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

// setWatcherReport replaces the report of a watcher; nil removes it. It reports whether the number of
// reports or the servers reported as unresponsive have changed. The totals are updated incrementally,
// so that the cost of a heartbeat doesn't grow with the number of watchers. The caller holds the lock.
func (m *Mesh) setWatcherReport(name string, u *watcherReport) bool {
	var unresponsiveBefore, unresponsive []string
	old := m.watcherReports[name]
	if old != nil {
		m.addToTotals(old.usage, -1)
		unresponsiveBefore = old.unresponsive
	}
	if u == nil {
		delete(m.watcherReports, name)
	} else {
		m.watcherReports[name] = u
		m.addToTotals(u.usage, 1)
		unresponsive = u.unresponsive
	}
	isSameCount := (old == nil) == (u == nil)
	if !isSameCount {
		m.shared.common = nil // contains the number of reports
		m.watcherNames = nil
	}
	if isSameCount && slices.Equal(unresponsiveBefore, unresponsive) {
		return false
	}
	m.countUnresponsive(unresponsiveBefore, -1)
	m.countUnresponsive(unresponsive, 1)
	return true
}

// countUnresponsive adds reports of unresponsive servers to the counts, or subtracts them if sign is
// -1. The caller holds the lock.
func (m *Mesh) countUnresponsive(servers []string, sign int) {
	for _, id := range servers {
		if m.unresponsiveCounts[id] += sign; m.unresponsiveCounts[id] == 0 {
			delete(m.unresponsiveCounts, id)
		}
	}
}

// addToTotals adds usage to the totals, or subtracts it if sign is -1.
func (m *Mesh) addToTotals(usage []Usage, sign int) {
	for _, r := range usage {
		s := m.usageTotals[r.Server]
		s.Server = r.Server
		s.Drafts += sign * r.Drafts
		s.Heads += sign * r.Heads
		s.TokenLayers += sign * r.TokenLayers
		if s.Drafts == 0 && s.Heads == 0 && s.TokenLayers == 0 {
			delete(m.usageTotals, r.Server)
			continue
		}
		m.usageTotals[r.Server] = s
	}
}

// usageExcept returns the usage of all watchers but one, by server, for a watcher of an older release,
// which can't subtract its own. The caller holds the lock.
func (m *Mesh) usageExcept(excluded string) []*wire.DraftUse {
	excludedUsage := make(map[string]Usage)
	if u := m.watcherReports[excluded]; u != nil {
		for _, r := range u.usage {
			excludedUsage[r.Server] = r
		}
	}
	out := make([]*wire.DraftUse, 0, len(m.usageTotals))
	for id, total := range m.usageTotals {
		subtract := excludedUsage[id]
		other := Usage{
			Server:      id,
			Drafts:      total.Drafts - subtract.Drafts,
			Heads:       total.Heads - subtract.Heads,
			TokenLayers: total.TokenLayers - subtract.TokenLayers,
		}
		if other.Drafts > 0 || other.TokenLayers > 0 {
			out = append(out, usageToWire(other))
		}
	}
	return out
}

// subtractUsage subtracts a watcher's own usage from the usage of all watchers.
func subtractUsage(all []*wire.DraftUse, own []Usage) []*wire.DraftUse {
	ownUsage := make(map[string]Usage, len(own))
	for _, u := range own {
		ownUsage[u.Server] = u
	}
	out := all[:0]
	for _, total := range all {
		u := ownUsage[total.Server]
		total.Drafts -= min(total.Drafts, uint32(max(0, u.Drafts)))
		total.Heads -= min(total.Heads, uint32(max(0, u.Heads)))
		total.TokenLayers -= min(total.TokenLayers, uint64(max(0, u.TokenLayers)))
		if total.Drafts > 0 || total.TokenLayers > 0 {
			out = append(out, total)
		}
	}
	return out
}

func usageListFromWire(ws []*wire.DraftUse) []Usage {
	out := make([]Usage, 0, len(ws))
	for _, w := range ws {
		out = append(out, Usage{Server: w.Server, Drafts: int(w.Drafts), Heads: int(w.Heads), TokenLayers: int(w.TokenLayers)})
	}
	return out
}

func usageListToWire(usage []Usage) []*wire.DraftUse {
	out := make([]*wire.DraftUse, 0, len(usage))
	for _, u := range usage {
		out = append(out, usageToWire(u))
	}
	return out
}

func usageToWire(u Usage) *wire.DraftUse {
	return &wire.DraftUse{Server: u.Server, Drafts: uint32(max(0, u.Drafts)), Heads: uint32(max(0, u.Heads)), TokenLayers: uint64(max(0, u.TokenLayers))}
}
