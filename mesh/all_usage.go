package mesh

import "maps"

// AllUsage returns the usage of all instances that watch this one, by backend server.
func (m *Mesh) AllUsage() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.usageTotals)
}
