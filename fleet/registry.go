package fleet

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

var (
	// ErrNameTaken means that another backend server is using the name.
	ErrNameTaken = errors.New("fleet: another backend server has this name")
	// ErrStale means that a newer announcement is known.
	ErrStale = errors.New("fleet: a newer announcement is known")
	// ErrFull means that the registry holds the maximum number of backend servers.
	ErrFull = errors.New("fleet: the registry is full")
)

const (
	// maxServers bounds the number of backend servers in a registry; further servers are refused.
	maxServers = 8192
	// retainFor is how long a server stays in the registry after its lease has expired, so that
	// a delayed announcement is recognised as stale.
	retainFor = time.Minute
)

// Registry holds the leases of backend servers. A server becomes unavailable when its lease
// expires, so an instance that receives no announcements stops using the server without being
// notified.
//
// A server may announce itself to several instances, and each of them grants a lease. The server is
// available while any of these leases is valid; its description is that of its newest announcement.
//
// A Registry is not safe for concurrent use.
type Registry struct {
	entries map[string]*entry
	// direct holds the entries of servers that announced themselves to this instance.
	direct map[string]*entry
	// sorted holds the entries sorted by name; nil when it must be rebuilt.
	sorted []*entry
	// refused counts the leases that were refused for lack of room since TakeRefused was called.
	refused int
}

// entry is one server. It is kept for a while after its lease has expired.
type entry struct {
	server BackendServer
	// expires is the latest expiry of the leases that instances have granted to this incarnation.
	expires time.Time
	// direct is the lease of the last announcement to this instance, nil if there is none.
	direct *Lease
	// isReported means that Expire has returned the server since its lease expired.
	isReported bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: make(map[string]*entry), direct: make(map[string]*entry)}
}

// Announce renews the lease of a server that announced itself to this instance. urgent means that
// the announcement should be sent to the other instances at once. The error is ErrNameTaken,
// ErrStale or ErrFull; the announcement then has no effect.
func (r *Registry) Announce(now time.Time, s BackendServer, ttl time.Duration) (urgent bool, err error) {
	return r.AnnounceUntil(now, s, now.Add(ttl))
}

// AnnounceUntil is like Announce, with the time at which the lease expires.
func (r *Registry) AnnounceUntil(now time.Time, s BackendServer, expires time.Time) (urgent bool, err error) {
	if !now.Before(expires) {
		return false, ErrStale
	}
	if old := r.entries[s.Name]; old != nil && old.isStale(s) {
		return false, ErrStale
	}
	e, err := r.accept(now, s, expires)
	if err != nil {
		return false, err
	}
	l := &Lease{Server: s, Expires: expires, Direct: true, FirstSequence: s.Sequence}
	urgent = true
	if d := e.direct; d != nil && now.Before(d.Expires) && d.Server.SameDescription(s) {
		urgent = false
		if s.Sequence == d.Server.Sequence+1 {
			l.FirstSequence = d.FirstSequence
		}
	}
	e.direct = l
	r.direct[s.Name] = e
	return urgent, nil
}

// Merge applies a lease that another instance granted. expires must not be later than the expiry
// at that instance, so that passing a lease on never extends it. It returns the same errors as
// Announce.
func (r *Registry) Merge(now time.Time, s BackendServer, expires time.Time) error {
	if !now.Before(expires) {
		return nil
	}
	_, err := r.accept(now, s, expires)
	return err
}

// accept returns the entry for an announcement. The announcement replaces the description in the
// entry if it is the newest.
func (r *Registry) accept(now time.Time, s BackendServer, expires time.Time) (*entry, error) {
	e := r.entries[s.Name]
	if e == nil {
		return r.add(now, s, expires)
	}
	isRunning := now.Before(e.expires)
	if isSameServer(e.server, s) {
		if !isRunning && s.Sequence < e.server.Sequence {
			return nil, ErrStale
		}
		e.renew(s, expires)
		return e, nil
	}
	if isRunning && !replaces(s, e.server) {
		return nil, ErrNameTaken
	}
	return r.add(now, s, expires)
}

// isStale reports whether an announcement to this instance is older than the newest one that is
// known, or no newer than the last one to this instance.
func (e *entry) isStale(s BackendServer) bool {
	if !isSameServer(e.server, s) {
		return false
	}
	return s.Sequence < e.server.Sequence || e.direct != nil && s.Sequence <= e.direct.Server.Sequence
}

func (e *entry) renew(s BackendServer, expires time.Time) {
	if s.Sequence >= e.server.Sequence {
		e.server = s
	}
	if expires.After(e.expires) {
		e.expires = expires
	}
	e.isReported = false
}

func isSameServer(a, b BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address
}

// replaces reports whether server s takes over the name from server old, which still has a lease.
// The newer incarnation wins; between equal incarnations the lower address wins, so that all
// instances make the same choice.
func replaces(s, old BackendServer) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Address < old.Address
}

func (r *Registry) add(now time.Time, s BackendServer, expires time.Time) (*entry, error) {
	if _, ok := r.entries[s.Name]; !ok && len(r.entries) >= maxServers {
		r.removeExpired(now)
		if len(r.entries) >= maxServers {
			r.refused++
			return nil, ErrFull
		}
	}
	e := &entry{server: s, expires: expires}
	r.entries[s.Name] = e
	r.sorted = nil
	return e, nil
}

// TakeRefused returns how many leases were refused for lack of room since the previous call.
func (r *Registry) TakeRefused() int {
	n := r.refused
	r.refused = 0
	return n
}

// byName returns the entries sorted by name.
func (r *Registry) byName() []*entry {
	if r.sorted != nil {
		return r.sorted
	}
	r.sorted = make([]*entry, 0, len(r.entries))
	for _, e := range r.entries {
		r.sorted = append(r.sorted, e)
	}
	slices.SortFunc(r.sorted, func(a, b *entry) int { return cmp.Compare(a.server.Name, b.server.Name) })
	return r.sorted
}

// remove removes an entry.
func (r *Registry) remove(name string) {
	delete(r.entries, name)
	r.sorted = nil
}

func (r *Registry) removeExpired(now time.Time) {
	for name, e := range r.entries {
		if !now.Before(e.expires) {
			r.remove(name)
		}
	}
}

// Expire returns the servers whose last lease has expired since the previous call, sorted by name.
func (r *Registry) Expire(now time.Time) []BackendServer {
	var expired []BackendServer
	for name, e := range r.entries {
		if now.Before(e.expires) {
			continue
		}
		if !e.isReported {
			e.isReported = true
			expired = append(expired, e.server)
		}
		if now.Sub(e.expires) >= retainFor {
			r.remove(name)
		}
	}
	slices.SortFunc(expired, compareNames)
	return expired
}

// Available returns the servers that may be given new work, sorted by name.
func (r *Registry) Available(now time.Time) []BackendServer {
	entries := r.byName()
	servers := make([]BackendServer, 0, len(entries))
	for _, e := range entries {
		if now.Before(e.expires) && !e.server.Leaving {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// Leases returns all leases that have not expired, sorted by server name.
func (r *Registry) Leases(now time.Time) []Lease {
	var leases []Lease
	for _, e := range r.byName() {
		if now.Before(e.expires) {
			leases = append(leases, Lease{Server: e.server, Expires: e.expires, Direct: e.isDirect(now)})
		}
	}
	return leases
}

func (e *entry) isDirect(now time.Time) bool {
	return e.direct != nil && now.Before(e.direct.Expires)
}

// Direct returns the leases that this instance granted, with the descriptions that the servers
// announced to this instance, sorted by server name.
func (r *Registry) Direct(now time.Time) []Lease {
	var leases []Lease
	for name, e := range r.direct {
		if r.entries[name] != e || !e.isDirect(now) {
			delete(r.direct, name)
			continue
		}
		leases = append(leases, *e.direct)
	}
	slices.SortFunc(leases, compareLeases)
	return leases
}

// DirectServer returns the server as it last announced itself to this instance, or false if the
// lease from this instance has expired.
func (r *Registry) DirectServer(now time.Time, name string) (BackendServer, bool) {
	e, ok := r.entries[name]
	if !ok || !e.isDirect(now) {
		return BackendServer{}, false
	}
	return e.direct.Server, true
}

func compareNames(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) }

func compareLeases(a, b Lease) int { return compareNames(a.Server, b.Server) }
