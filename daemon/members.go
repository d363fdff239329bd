package daemon

import (
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// Members returns the instances that this instance knows.
func (s *shared) Members() []*wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []*wire.Member
	for _, m := range s.table.Members() {
		out = append(out, toWire(m, now))
	}
	return out
}

// HandleMembersRequest takes the instance that asks for members.
func (s *shared) HandleMembersRequest(req *wire.MembersRequest) {
	s.learn([]*wire.Member{req.Sender})
}

// learn takes over what another instance knows of others.
func (s *shared) learn(members []*wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, w := range members {
		if w == nil {
			continue
		}
		heard := now.Add(-time.Duration(min(w.HeardMs, maxHeardMillis)) * time.Millisecond)
		if s.table.MergePeerReport(now, fromWire(w), heard) {
			s.memberLog.Info("learned of an instance", "instance", w.Name, "data_centre", w.DataCentre, "address", w.Address)
		}
	}
}

// maxHeardMillis is an age at which a member is forgotten for certain.
const maxHeardMillis = 24 * 60 * 60 * 1000

// hear takes a sign of life of a peer and reports false when its sender is not a member.
func (s *shared) hear(m membership.Member, sent time.Time, alive time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.RecordHeartbeat(m, sent, alive) {
		return false
	}
	s.gate.ObservePeerIndex(m.SharedIndex)
	s.logChange(m.Name, time.Now())
	return true
}

// failed takes that the peer at the address gave no answer to a connection tried since then.
func (s *shared) failed(address string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, m := range s.table.Members() {
		if m.Address == address {
			s.table.MarkFailed(now, m.Name, since)
			s.logChange(m.Name, now)
		}
	}
}

// isAlive reports whether a member is alive, of other regions also by what others heard.
func (s *shared) isAlive(m membership.Member, now time.Time) bool {
	if m.Region != s.process.Region && !m.Left && now.Sub(m.LastSeen) < membership.MaxPeerReportAge(s.table.Len()) {
		return true
	}
	return membership.IsAlive(m, now)
}

// logChange logs when a member has become alive, failed or left.
func (s *shared) logChange(name string, now time.Time) {
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

// tick lets time pass for members and leases.
func (s *shared) tick() {
	now := time.Now()
	s.clock.tick(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Tick(now)
	s.peersOfRegion = s.countPeers(now)
	for name := range s.alive {
		s.logChange(name, now)
	}
	for _, b := range s.registry.Expire(now) {
		s.leaseLog.Info("a lease has run out", "server", b.Name, "data_centre", b.DataCentre)
	}
}

// plan returns the addresses to subscribe to.
func (s *shared) plan() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return membership.SubscriptionTargets(s.self(), s.table.Members(), s.process.Seeds, time.Now())
}

// beatInterval returns how often this instance sends to its subscribers in the region. The
// mutex is held.
func (s *shared) beatInterval() time.Duration { return membership.HeartbeatInterval(s.peersOfRegion) }

// currentInterval is beatInterval for callers without the mutex.
func (s *shared) currentInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beatInterval()
}

// countPeers returns the number of members of the own region that have not failed.
func (s *shared) countPeers(now time.Time) int {
	n := 0
	for _, m := range s.table.Members() {
		if m.Region == s.process.Region && membership.IsAlive(m, now) {
			n++
		}
	}
	return n
}

func toWire(m membership.Member, now time.Time) *wire.Member {
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

func fromWire(m *wire.Member) membership.Member {
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
