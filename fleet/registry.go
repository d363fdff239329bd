package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Registry holds the leases of backend servers. Availability ends by itself when a lease
// runs out, so an instance that hears nothing stops using a server without being told.
type Registry struct {
	leases map[string]Lease
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{leases: make(map[string]Lease)}
}

// Announce renews the lease of a server that announced itself to this instance.
func (r *Registry) Announce(now time.Time, s BackendServer, ttl time.Duration) {
	r.put(Lease{Server: s, Expires: now.Add(ttl), Direct: true})
}

// Merge takes over a lease that another instance granted. A lease for the same announcement
// is never prolonged, or instances could keep a dead server available by echoing it.
func (r *Registry) Merge(now time.Time, s BackendServer, remaining time.Duration) {
	if remaining > 0 {
		r.put(Lease{Server: s, Expires: now.Add(remaining)})
	}
}

func (r *Registry) put(l Lease) {
	old, ok := r.leases[l.Server.Name]
	if ok && !l.Server.isNewer(old.Server) {
		return
	}
	r.leases[l.Server.Name] = l
}

// Expire forgets the leases that have run out and returns their servers.
func (r *Registry) Expire(now time.Time) []BackendServer {
	var gone []BackendServer
	for name, l := range r.leases {
		if !now.Before(l.Expires) {
			gone = append(gone, l.Server)
			delete(r.leases, name)
		}
	}
	return gone
}

// Available returns the servers that may be given new work, by name.
func (r *Registry) Available(now time.Time) []BackendServer {
	var servers []BackendServer
	for _, l := range r.leases {
		if now.Before(l.Expires) && !l.Server.Leaving {
			servers = append(servers, l.Server)
		}
	}
	sortServers(servers)
	return servers
}

// Leases returns all leases that have not run out, by name.
func (r *Registry) Leases(now time.Time) []Lease {
	var leases []Lease
	for _, l := range r.leases {
		if now.Before(l.Expires) {
			leases = append(leases, l)
		}
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	return leases
}

func sortServers(servers []BackendServer) {
	slices.SortFunc(servers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
}
