package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/membership"
)

// strangerAfter is how long after its start an instance takes a dispatcher that it has never
// heard of for gone.
const strangerAfter = 5 * time.Second

// IsDown reports whether that start of an instance has ended or fallen silent. An instance
// that is only silent may still dispatch, so this never frees a key by itself.
func (s *shared) IsDown(d ledger.Dispatcher) bool {
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
	return now.Sub(started) > strangerAfter
}
