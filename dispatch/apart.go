package dispatch

import (
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/cespare/xxhash/v2"
)

// Neighbours knows the instances of the data centre.
type Neighbours interface {
	// Neighbours returns the names of those that are alive, this one included.
	Neighbours() []string
}

// notOwn returns the servers on which other instances run their suspects. Each server belongs
// to one instance, by rendezvous hashing, so that two instances never try suspects on the same
// server, without a word between them.
func (d *Dispatcher) notOwn() []string {
	n, ok := d.fleet.(Neighbours)
	if !ok {
		return nil
	}
	instances := n.Neighbours()
	var out []string
	for _, s := range d.fleet.Available() {
		if owner(s, instances) != d.instance {
			out = append(out, s.Name)
		}
	}
	return out
}

func owner(s fleet.BackendServer, instances []string) string {
	best := ""
	var most uint64
	for _, name := range instances {
		if h := xxhash.Sum64String(name + "/" + s.Name); best == "" || h > most {
			best = name
			most = h
		}
	}
	return best
}
