package mesh

// forgetGateways removes what a disconnected control instance has reported about the number of gateways. The last report
// is kept, since gateways that have lost all control instances are not alone: they go on sharing what they share. The
// caller holds the lock.
func (m *Mesh) forgetGateways(address string) {
	if _, ok := m.reportedGateways[address]; ok && len(m.reportedGateways) == 1 {
		m.keptGateways = address
		return
	}
	delete(m.reportedGateways, address)
	delete(m.reportedRanks, address)
}

// dropKeptGateways removes the report that was kept, once the control instance at the address reports. The caller holds
// the lock.
func (m *Mesh) dropKeptGateways(address string) {
	if kept := m.keptGateways; kept != "" && kept != address {
		delete(m.reportedGateways, kept)
		delete(m.reportedRanks, kept)
	}
	m.keptGateways = ""
}
