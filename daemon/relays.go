package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/relay"
)

// newRelays returns how requests are passed on to other instances while this one is cut off from the backend
// servers.
func (d *Daemon) newRelays() *caller.Relays {
	return &caller.Relays{
		Name:          d.process.Name,
		DataCentre:    d.process.DataCentre,
		IsCutOff:      d.dispatcher.IsCutOff,
		Instances:     d.state.relayInstances,
		ConfigVersion: d.state.configVersion,
		NotReady:      d.state.notReady,
		Sender:        instance.NewRelayer(d.dialer),
		Chooser:       relay.NewChooser(),
	}
}

// relayInstances returns the instances of the region that may take requests of this one.
func (s *instanceState) relayInstances() (out []relay.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, m := range s.table.Members() {
		if membership.IsAlive(m, now) && !m.Leaving && m.Region == s.process.Region {
			out = append(out, relay.Instance{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	return out
}

// configVersion returns the version of the configuration in force.
func (s *instanceState) configVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Config.Version
}
