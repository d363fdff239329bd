package routing

import (
	"cmp"
	"slices"
	"time"
)

// rankKey orders requests: by the priority of their workspace, which takes precedence, then by that of their route.
// The route's priority stands for that of a workspace without one.
type rankKey struct{ workspace, route int }

func keyOf(r *Route, w *Workspace) rankKey {
	if w != nil && w.HasPriority {
		return rankKey{w.Priority, r.Priority}
	}
	return rankKey{r.Priority, r.Priority}
}

// rankServices returns the ranks that the requests of each service can have, from 0, the most urgent.
func rankServices(d *Document) map[string]map[rankKey]int {
	keys := make(map[string][]rankKey)
	for i := range d.Routes {
		r := &d.Routes[i]
		for _, s := range r.Split {
			if s.Weight <= 0 {
				continue
			}
			hasOther := r.Anonymous || len(d.Workspaces) == 0
			for j := range d.Workspaces {
				if w := &d.Workspaces[j]; w.HasPriority {
					keys[s.Service] = append(keys[s.Service], keyOf(r, w))
				} else {
					hasOther = true
				}
			}
			if hasOther {
				keys[s.Service] = append(keys[s.Service], keyOf(r, nil))
			}
		}
	}
	out := make(map[string]map[rankKey]int, len(keys))
	for service, of := range keys {
		slices.SortFunc(of, func(a, b rankKey) int {
			return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
		})
		out[service] = make(map[rankKey]int)
		for i, k := range slices.Compact(of) {
			out[service][k] = i
		}
	}
	return out
}

// IsRanked reports whether the requests of a service have different ranks: the priorities of its routes or of
// workspaces differ.
func (t *Table) IsRanked(service string) bool { return len(t.ranks[service]) > 1 }

// Rank returns the rank of a request among those of its service; 0 is the most urgent. w is nil if the request belongs
// to no workspace.
func (t *Table) Rank(service string, r *Route, w *Workspace) int {
	return t.ranks[service][keyOf(r, w)]
}

// shortestObjectives returns the shortest objective of each service's routes.
func shortestObjectives(d *Document) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for i := range d.Routes {
		r := &d.Routes[i]
		for _, s := range r.Split {
			if known, ok := out[s.Service]; r.Objective > 0 && s.Weight > 0 && (!ok || r.Objective < known) {
				out[s.Service] = r.Objective
			}
		}
	}
	return out
}

// ShortestObjective returns the shortest objective of a service's routes; 0 means that none states one.
func (t *Table) ShortestObjective(service string) time.Duration { return t.objectives[service] }
