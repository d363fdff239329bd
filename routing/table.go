package routing

import (
	"strings"
	"time"
)

// Table answers lookups in one document. The cost of a route lookup depends on the number of slashes
// in the path, not on the number of routes. It is safe for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	hosts    map[string]map[string]*Route
	keys     map[string]*Workspace
	services map[string]*Service
	needsKey bool
	// ranks holds the ranks of each service's requests.
	ranks map[string]map[rankKey]int
	// objectives holds the shortest objective of each service's routes.
	objectives map[string]time.Duration
}

// NewTable returns a table for a valid document, which must not be modified afterwards.
func NewTable(d *Document) *Table {
	t := &Table{
		Version:  d.Version,
		Limits:   d.Limits,
		hosts:    make(map[string]map[string]*Route),
		keys:     make(map[string]*Workspace),
		services: make(map[string]*Service, len(d.Services)),
		needsKey: len(d.Workspaces) > 0,
		ranks:    rankServices(d),

		objectives: shortestObjectives(d),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		prefixes := t.hosts[r.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.hosts[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		for _, k := range d.Workspaces[i].Keys {
			t.keys[k] = &d.Workspaces[i]
		}
	}
	return t
}

// Route returns the route with the longest matching prefix of the path, or nil. Prefixes end with a
// slash.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[host]
	for len(prefixes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if r, ok := prefixes[path[:end+1]]; ok {
			return r
		}
		path = path[:end]
	}
	return nil
}

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services calls f for each service.
func (t *Table) Services(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// NeedsKey reports whether a request on the route must carry a key. No key is needed if the document
// has no workspaces.
func (t *Table) NeedsKey(r *Route) bool { return t.needsKey && !r.Anonymous }

// Pick chooses a service of the route by weight. draw is uniformly distributed in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
