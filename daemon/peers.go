package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/membership"
)

// unknownInstanceTimeout is the time since the start of this instance after which it reports an
// instance as down that it has never discovered. Before that, it may just not have discovered it yet.
const unknownInstanceTimeout = 5 * time.Second

// IsDown reports whether the given incarnation of an instance has ended or is silent. A silent
// instance may still dispatch requests, so a true result alone is no reason to release the
// idempotency key of its request.
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
