package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// Members returns the instances that this instance knows, without itself.
func (s *instanceState) Members() []*wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []*wire.Member
	for _, m := range s.table.Members() {
		out = append(out, memberToWire(m, now))
	}
	return out
}

// HandleMembersRequest adds the instance that queries this one for members.
func (s *instanceState) HandleMembersRequest(req *wire.MembersRequest) {
	s.learnMembers([]*wire.Member{req.Sender})
}

// learnMembers merges what another instance knows of the members into the table.
func (s *instanceState) learnMembers(members []*wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, w := range members {
		if w == nil {
			continue
		}
		lastSeen := now.Add(-time.Duration(min(w.HeardMs, maxLastSeenMillis)) * time.Millisecond)
		if s.table.MergePeerReport(now, memberFromWire(w), lastSeen) {
			s.memberLog.Info("learned of an instance", "instance", w.Name, "data_centre", w.DataCentre, "address", w.Address)
		}
	}
}

// maxLastSeenMillis bounds the reported time since a member was last seen, in milliseconds. It is far
// above the time after which the table removes a member.
const maxLastSeenMillis = 24 * 60 * 60 * 1000

// recordHeartbeat records that the peer m sent a heartbeat at the given time or later. The peer
// counts as alive for validFor after that time. The result is false if the table does not accept
// the peer, for example because m is of an older incarnation or has left before.
func (s *instanceState) recordHeartbeat(m membership.Member, sent time.Time, validFor time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.RecordHeartbeat(m, sent, validFor) {
		return false
	}
	s.viewGate.ObservePeerIndex(m.SharedIndex)
	s.logLiveness(m.Name, time.Now())
	return true
}

// connectFailed records that the peer at the address did not answer a connection attempt that began at
// the given time.
func (s *instanceState) connectFailed(address string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, m := range s.table.Members() {
		if m.Address == address {
			s.table.MarkFailed(now, m.Name, since)
			s.logLiveness(m.Name, now)
		}
	}
}

// isAlive reports whether a member is alive. A member of another region also counts as alive if
// another instance received a heartbeat from it a short time ago.
func (s *instanceState) isAlive(m membership.Member, now time.Time) bool {
	if m.Region != s.process.Region && !m.Left && now.Sub(m.LastSeen) < membership.MaxPeerReportAge(s.table.Len()) {
		return true
	}
	return membership.IsAlive(m, now)
}

// logLiveness logs when a member becomes alive, fails or leaves.
func (s *instanceState) logLiveness(name string, now time.Time) {
	m, _ := s.table.Get(name)
	incarnation, wasAlive := s.alive[name]
	isAlive := membership.IsAlive(m, now)
	switch {
	case isAlive && (!wasAlive || incarnation != m.Incarnation):
		s.alive[name] = m.Incarnation
		s.memberLog.Info("an instance is alive", "instance", name, "data_centre", m.DataCentre, "incarnation", m.Incarnation)
	case !isAlive && wasAlive && m.Left:
		delete(s.alive, name)
		s.memberLog.Info("an instance has left", "instance", name, "data_centre", m.DataCentre)
	case !isAlive && wasAlive:
		delete(s.alive, name)
		s.memberLog.Info("an instance has failed", "instance", name, "data_centre", m.DataCentre)
	}
}

// tick updates the clock, the members and the leases as time passes.
func (s *instanceState) tick() {
	now := time.Now()
	s.clock.tick(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Tick(now)
	s.regionPeers = s.countRegionPeers(now)
	for name := range s.alive {
		s.logLiveness(name, now)
	}
	for _, b := range s.registry.Expire(now) {
		s.leaseLog.Info("a lease has expired", "server", b.Name, "data_centre", b.DataCentre)
	}
	if n := s.registry.TakeRefused(); n > 0 {
		s.leaseLog.Info("refused leases of backend servers for lack of room", "leases", n)
	}
}

// planSubscriptions returns the addresses of the peers to subscribe to.
func (s *instanceState) planSubscriptions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return membership.SubscriptionTargets(s.self(), s.table.Members(), s.process.Seeds, time.Now())
}

// heartbeatInterval returns the heartbeat interval to subscribers in the region. s.mu must be held.
func (s *instanceState) heartbeatInterval() time.Duration {
	return membership.HeartbeatInterval(s.regionPeers)
}

// currentHeartbeatInterval is like heartbeatInterval for callers that don't hold s.mu.
func (s *instanceState) currentHeartbeatInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeatInterval()
}

// countRegionPeers returns the number of live members of this region, without this instance.
func (s *instanceState) countRegionPeers(now time.Time) int {
	n := 0
	for _, m := range s.table.Members() {
		if m.Region == s.process.Region && membership.IsAlive(m, now) {
			n++
		}
	}
	return n
}

func memberToWire(m membership.Member, now time.Time) *wire.Member {
	return &wire.Member{
		Name:          m.Name,
		Address:       m.Address,
		DataCentre:    m.DataCentre,
		Region:        m.Region,
		Incarnation:   m.Incarnation,
		Control:       m.Control,
		ConfigVersion: m.ConfigVersion,
		SharedIndex:   m.SharedIndex,
		Leaving:       m.Leaving,
		Left:          m.Left,
		HeardMs:       uint64(max(0, now.Sub(m.LastSeen).Milliseconds())),
	}
}

func memberFromWire(m *wire.Member) membership.Member {
	return membership.Member{
		Name:          m.Name,
		Address:       m.Address,
		DataCentre:    m.DataCentre,
		Region:        m.Region,
		Incarnation:   m.Incarnation,
		Control:       m.Control,
		ConfigVersion: m.ConfigVersion,
		SharedIndex:   m.SharedIndex,
		Leaving:       m.Leaving,
		Left:          m.Left,
	}
}
