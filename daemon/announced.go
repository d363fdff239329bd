package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
)

// defaultServerLease applies until a configuration is in force.
const defaultServerLease = 2500 * time.Millisecond

// announcesPerLease is how often a server should announce itself while its lease runs, so
// that one lost announcement costs nothing.
const announcesPerLease = 3

func (s *shared) serverLease() time.Duration {
	if s.intent.Limits.ServerLease > 0 {
		return s.intent.Limits.ServerLease
	}
	return defaultServerLease
}

// HandleAnnouncement renews the lease of a backend server.
func (s *shared) HandleAnnouncement(a backend.Announcement) (backend.AnnounceReply, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := s.serverLease()
	reply := backend.AnnounceReply{
		LeaseMillis: ttl.Milliseconds(),
		NextMillis:  (ttl / announcesPerLease).Milliseconds(),
		Grant:       formatGrant(s.incarnation, uint64(s.clock.read(now))),
	}
	urgent, err := s.registry.AnnounceUntil(now, a.BackendServer, s.sentAt(now, a).Add(ttl))
	if err != nil {
		return reply, err
	}
	if urgent {
		s.leaseLog.Info("granted a lease", "server", a.Name, "incarnation", a.Incarnation, "leaving", a.Leaving)
		s.pulse.ring()
	}
	return reply, nil
}

// HandleRenewal renews the lease of a server that says nothing new but its load. It reports false
// when this instance has no lease of the server to renew.
func (s *shared) HandleRenewal(r backend.Renewal) (backend.AnnounceReply, bool, error) {
	s.mu.Lock()
	b, ok := s.registry.DirectServer(time.Now(), r.Name)
	s.mu.Unlock()
	if !ok || b.Incarnation != r.Incarnation {
		return backend.AnnounceReply{}, false, nil
	}
	b.Sequence = r.Sequence
	b.Load = fleet.Load{Running: r.Running, Queued: r.Queued}
	reply, err := s.HandleAnnouncement(backend.Announcement{BackendServer: b, Last: r.Last, LastAgeMillis: r.LastAgeMillis})
	return reply, true, err
}

// sentAt returns the earliest time at which the announcement can have been sent. Without an
// earlier grant of this instance to go by, an announcement that is read just after a pause
// may be of any age.
func (s *shared) sentAt(now time.Time, a backend.Announcement) time.Time {
	if reading, ok := parseGrant(s.incarnation, a.Last); ok {
		return s.clock.at(reading+a.LastAgeMillis, now)
	}
	if s.clock.isThawing(now) {
		return s.clock.started
	}
	return now
}

const grantBase = 36

// formatGrant names an answer by the incarnation of this instance and its clock.
func formatGrant(incarnation, reading uint64) string {
	return strconv.FormatUint(incarnation, grantBase) + "." + strconv.FormatUint(reading, grantBase)
}

// parseGrant returns the clock in a grant of this incarnation.
func parseGrant(incarnation uint64, grant string) (reading uint64, ok bool) {
	prefix, clock, _ := strings.Cut(grant, ".")
	if prefix != strconv.FormatUint(incarnation, grantBase) {
		return 0, false
	}
	reading, err := strconv.ParseUint(clock, grantBase, 48)
	return reading, err == nil && reading > 0
}
