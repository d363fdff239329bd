package daemon

import (
	"slices"
	"time"
)

// Leaving returns the backend servers that are leaving, by their own word or by a drain.
func (s *shared) Leaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, l := range s.registry.Leases(time.Now()) {
		_, draining := s.view.Drains[l.Server.Name]
		if l.Server.Leaving || draining {
			out = append(out, l.Server.Name)
		}
	}
	slices.Sort(out)
	return out
}
