package dispatch

import (
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/cespare/xxhash/v2"
)

// InstanceLister is an optional interface of a Fleet. It lists the instances of the data centre.
type InstanceLister interface {
	// LiveInstances returns the names of the live instances, including this one.
	LiveInstances() []string
}

// serversOwnedByPeers returns the servers that are assigned to other instances for their suspect
// requests. Rendezvous hashing assigns each server to one instance, so that instances run suspects
// on different servers without coordination. An instance runs a suspect on a server that is
// assigned to another instance only if no server assigned to the instance itself is usable.
func (d *Dispatcher) serversOwnedByPeers() []string {
	lister, ok := d.fleet.(InstanceLister)
	if !ok {
		return nil
	}
	instances := lister.LiveInstances()
	var out []string
	for _, s := range d.fleet.Available() {
		if owningInstance(s, instances) != d.instance {
			out = append(out, s.Name)
		}
	}
	return out
}

func owningInstance(s fleet.BackendServer, instances []string) string {
	best := ""
	var highest uint64
	for _, name := range instances {
		if h := xxhash.Sum64String(name + "/" + s.Name); best == "" || h > highest {
			best = name
			highest = h
		}
	}
	return best
}
