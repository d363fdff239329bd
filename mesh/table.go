package mesh

import "github.com/balsamlb/balsamlb/routing"

// updateTable reads the routing document in force if that hasn't been done. If this build can't read it, the table before
// stays.
func (m *Mesh) updateTable() {
	m.mu.Lock()
	isOutdated, version := m.isTableOutdated, m.document.Version
	m.isTableOutdated = false
	text := m.texts.Text(version)
	m.mu.Unlock()
	if !isOutdated {
		return
	}
	d, err := m.options.Decode(text)
	if err != nil {
		m.options.Log.Error(err, "could not read an accepted routing document", "version", version)
		return
	}
	table := routing.NewTable(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.document.Version == version {
		m.table = table
	}
}
