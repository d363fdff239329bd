package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/membership"
)

// unknownInstanceTimeout is how long after its own start an instance reports a dispatcher as down that
// it has never discovered. Before that, the dispatcher may just not be discovered yet.
const unknownInstanceTimeout = 5 * time.Second

// IsDown reports whether the given incarnation of an instance has ended or is silent. A silent
// instance may still dispatch requests, so a true result alone is no reason to free a key.
func (s *instanceState) IsDown(d ledger.Dispatcher) bool {
	if d.Instance == s.process.Name {
		return d.Incarnation != s.incarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, m := range s.table.Members() {
		if m.Name == d.Instance {
			return m.Incarnation > d.Incarnation || !membership.IsAlive(m, now)
		}
	}
	started := time.Unix(0, int64(s.incarnation))
	return now.Sub(started) > unknownInstanceTimeout
}
