package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
)

// defaultServerLease applies until a configuration is in force, and if the configuration sets no
// lease.
const defaultServerLease = 2500 * time.Millisecond

// announcementsPerLease is the number of announcements that a server should send per lease, so that a
// lost announcement does not expire the lease.
const announcementsPerLease = 3

func (s *instanceState) serverLease() time.Duration {
	if s.config.Limits.ServerLease > 0 {
		return s.config.Limits.ServerLease
	}
	return defaultServerLease
}

// HandleAnnouncement grants or renews the lease of a backend server.
func (s *instanceState) HandleAnnouncement(a backend.Announcement) (backend.AnnounceReply, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := s.serverLease()
	reply := backend.AnnounceReply{
		LeaseMillis: ttl.Milliseconds(),
		NextMillis:  (ttl / announcementsPerLease).Milliseconds(),
		Grant:       formatGrant(s.incarnation, uint64(s.clock.read(now))),
	}
	urgent, err := s.registry.AnnounceUntil(now, a.BackendServer, s.earliestSent(now, a).Add(ttl))
	if err != nil {
		return reply, err
	}
	if urgent {
		s.leaseLog.Info("granted a lease", "server", a.Name, "incarnation", a.Incarnation, "leaving", a.Leaving)
		s.heartbeats.sendNow()
	}
	return reply, nil
}

// HandleRenewal renews the lease of a server that reports nothing new except its load. It returns false
// if this instance has no valid lease for the incarnation that the renewal names.
func (s *instanceState) HandleRenewal(r backend.Renewal) (backend.AnnounceReply, bool, error) {
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

// earliestSent returns the earliest time at which the announcement can have been sent. An
// announcement that names no earlier grant of this instance counts as sent now. Just after a pause of
// this process its age is unknown, so it then counts as sent when this instance started.
func (s *instanceState) earliestSent(now time.Time, a backend.Announcement) time.Time {
	if reading, ok := parseGrant(s.incarnation, a.Last); ok {
		return s.clock.timeOf(reading+a.LastAgeMillis, now)
	}
	if s.clock.resumedRecently(now) {
		return s.clock.started
	}
	return now
}

const grantBase = 36

// formatGrant encodes the incarnation and a clock reading of this instance. The server returns the
// grant in its next announcement, which therefore can't have been sent before that reading.
func formatGrant(incarnation, reading uint64) string {
	return strconv.FormatUint(incarnation, grantBase) + "." + strconv.FormatUint(reading, grantBase)
}

// parseGrant returns the clock reading in a grant of the given incarnation.
func parseGrant(incarnation uint64, grant string) (reading uint64, ok bool) {
	prefix, clock, _ := strings.Cut(grant, ".")
	if prefix != strconv.FormatUint(incarnation, grantBase) {
		return 0, false
	}
	reading, err := strconv.ParseUint(clock, grantBase, 48)
	return reading, err == nil && reading > 0
}
