package mesh

import (
	"maps"
	"slices"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/reachability"
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
	feed    *feed // that received the report
	number  uint64
	usage   []Usage
	demand  []RankDemand
	servers reachability.Report
	relay   relayReport
}

// hasSameUsage reports whether two reports of a watcher state the same usage and demand.
func (r *watcherReport) hasSameUsage(o *watcherReport) bool {
	return r.feed == o.feed && slices.Equal(r.usage, o.usage) && slices.Equal(r.demand, o.demand)
}

// SetLocalUsage sets the function that returns this instance's usage, which is sent to the
// control instances. It must be called before Run.
func (m *Mesh) SetLocalUsage(usage func() []Usage) { m.localUsage = usage }

// Gateways returns the largest number of gateways that a control instance reports, at least 1.
func (m *Mesh) Gateways() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownGateways()
}

// knownGateways is Gateways for a caller that holds the lock.
func (m *Mesh) knownGateways() int { return m.gatewayCount.gateways() }

// Rank returns this gateway's place, from 0, among the gateways that the control instance reports that
// knows most of them, and their number. The rank is -1 if it isn't known.
func (m *Mesh) Rank() (rank, gateways int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gatewayCount.rank()
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

// setWatcherReport replaces the report of a watcher; nil removes it. It reports whether the number of
// reports or what they say about servers has changed. The totals are updated incrementally, so that the
// cost of a heartbeat doesn't grow with the number of watchers. The caller holds the lock.
func (m *Mesh) setWatcherReport(name string, u *watcherReport) bool {
	old := m.watcherReports[name]
	if old == nil || u == nil || !old.hasSameUsage(u) {
		m.usageRevision++
	}
	if !isSameTaker(old, u) {
		m.takers = nil
	}
	if old != nil {
		m.addToTotals(old.usage, -1)
	}
	changed := false
	if u == nil {
		delete(m.watcherReports, name)
		changed = m.doubts.Remove(name)
	} else {
		m.watcherReports[name] = u
		m.addToTotals(u.usage, 1)
		changed = m.doubts.Set(name, u.servers)
	}
	if (old == nil) != (u == nil) {
		m.shared.common = nil // contains the number of reports
		m.watchersRevision++
		m.watcherNames = nil
		return true
	}
	return changed
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
