package mesh

import (
	"maps"
	"slices"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/cespare/xxhash/v2"
)

// maxRelays bounds the instances that a control instance names to one that needs them. maxLocalRelays of them
// are in its data centre, if there are as many.
const (
	maxRelays      = 8
	maxLocalRelays = 5
)

// relayReport is what an instance says about requests that are passed on.
type relayReport struct {
	// address is where it takes requests of others, or empty.
	address    string
	dataCentre string
	// isNeeded means that it has requests that it can't serve itself.
	isNeeded bool
}

// SetRelaying tells the control instances where this instance takes requests of others, or, if the address is
// empty, that it takes none, and whether it needs others to take its own.
func (m *Mesh) SetRelaying(address string, isNeeded bool) {
	r := relayReport{address: address, dataCentre: m.options.DataCentre, isNeeded: isNeeded}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relaying == r {
		return
	}
	isUrgent := m.relaying.isNeeded != isNeeded || address == ""
	m.relaying = r
	if isUrgent {
		m.reportAtOnce()
	}
}

// Relays returns the instances that take this instance's requests, by name. There are none unless it has said
// that it needs them.
func (m *Mesh) Relays() []relay.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	byName := make(map[string]relay.Instance)
	for _, relays := range m.reportedRelays {
		for _, r := range relays {
			byName[r.Name] = r
		}
	}
	out := make([]relay.Instance, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}

// relaysFor returns the instances that take the requests of a watcher, if it needs them. Watchers begin at
// different places of the list, so that they share all instances. The caller holds the lock.
func (m *Mesh) relaysFor(name string) []*wire.RelayInstance {
	needs := m.watcherReports[name]
	if needs == nil || !needs.relay.isNeeded {
		return nil
	}
	takers := m.relayTakers()
	var local, remote []*wire.RelayInstance
	start := int(xxhash.Sum64String(name) % uint64(max(1, len(takers))))
	for i := range takers {
		taker := takers[(start+i)%len(takers)]
		switch {
		case taker.Name == name:
		case taker.DataCentre == needs.relay.dataCentre:
			local = append(local, taker)
		default:
			remote = append(remote, taker)
		}
	}
	local = local[:min(len(local), max(maxLocalRelays, maxRelays-len(remote)), maxRelays)]
	return append(local, remote[:min(len(remote), maxRelays-len(local))]...)
}

// relayTakers returns the watchers that take requests of others, by name. The caller holds the lock.
func (m *Mesh) relayTakers() []*wire.RelayInstance {
	if m.takers != nil {
		return m.takers
	}
	m.takers = make([]*wire.RelayInstance, 0, len(m.watcherReports))
	for _, name := range slices.Sorted(maps.Keys(m.watcherReports)) {
		if r := m.watcherReports[name]; r.takesRequests() {
			m.takers = append(m.takers, &wire.RelayInstance{Name: name, Address: r.relay.address, DataCentre: r.relay.dataCentre})
		}
	}
	return m.takers
}

// takesRequests reports whether the watcher takes requests of others.
func (r *watcherReport) takesRequests() bool {
	return r != nil && r.relay.address != "" && !r.servers.IsCutOff
}

// isSameTaker reports whether relayTakers has the same entry for two reports of a watcher, either of which may be nil.
func isSameTaker(a, b *watcherReport) bool {
	return a.takesRequests() == b.takesRequests() &&
		(!a.takesRequests() || a.relay.address == b.relay.address && a.relay.dataCentre == b.relay.dataCentre)
}

func relaysFromWire(ws []*wire.RelayInstance) []relay.Instance {
	out := make([]relay.Instance, 0, len(ws))
	for _, w := range ws {
		out = append(out, relay.Instance{Name: w.Name, Address: w.Address, DataCentre: w.DataCentre})
	}
	return out
}
