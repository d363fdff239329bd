package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/membership"
)

// unknownInstanceTimeout is how long this instance waits after its own start before it reports an
// undiscovered instance as down. Until then, it may just not have discovered that instance yet.
const unknownInstanceTimeout = 5 * time.Second

// IsDown reports whether the given incarnation of an instance has ended or sends no heartbeats. An
// instance without heartbeats may still dispatch requests, so a true result alone is no reason to
// release the idempotency key of a request that it dispatched.
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
	return now.Sub(s.started) > unknownInstanceTimeout
}
