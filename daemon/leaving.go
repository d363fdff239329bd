package daemon

import (
	"slices"
	"time"
)

// Leaving returns the names of the backend servers that report that they are leaving or that are being
// drained.
func (s *instanceState) Leaving() []string {
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
