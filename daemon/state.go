package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

// shared is what the duties of one instance share. Its mutex is held only for short reads
// and updates, never during I/O.
type shared struct {
	process     settings.Process
	incarnation uint64
	log         logr.Logger // of views
	memberLog   logr.Logger
	leaseLog    logr.Logger
	facts       *facts
	clock       *clock
	pulse       *pulse
	// views holds views in the form in which they are sent.
	views *viewCache

	// reading is held while a configuration is read, and guards reader.
	reading sync.Mutex
	reader  *settings.SharedConfigReader

	mu       sync.Mutex
	started  time.Time
	registry *fleet.Registry
	table    *membership.Table
	gate     *membership.ViewGate
	view     replica.View
	intent   settings.SharedConfig
	// confirmedAt is the last time at which a quorum is known to have stood behind the view,
	// zero before the first.
	confirmedAt time.Time
	leaving     bool
	left        bool
	// alive holds the incarnations of the members that were alive at the last look.
	alive map[string]uint64
	// peersOfRegion is the number of live members of the region at the last tick.
	peersOfRegion int
}

func newShared(p settings.Process, incarnation uint64, log logr.Logger) *shared {
	now := time.Now()
	beats := newPulse()
	return &shared{
		process:     p,
		incarnation: incarnation,
		log:         log.WithName("config"),
		memberLog:   log.WithName("membership"),
		leaseLog:    log.WithName("fleet"),
		facts:       newFacts(p.Name, incarnation, beats.ring),
		clock:       newClock(now),
		pulse:       beats,
		views:       newViewCache(),
		started:     now,
		reader:      settings.NewSharedConfigReader(),
		registry:    fleet.NewRegistry(),
		table:       membership.NewTable(p.Name),
		gate:        membership.NewViewGate(now),
		alive:       make(map[string]uint64),
	}
}

// Available returns the servers that may be given new work.
func (s *shared) Available() []fleet.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := s.registry.Available(time.Now())
	if len(s.view.Drains) == 0 {
		return servers
	}
	return slices.DeleteFunc(servers, func(b fleet.BackendServer) bool {
		_, draining := s.view.Drains[b.Name]
		return draining
	})
}

// Intent returns the configuration in force.
func (s *shared) Intent() settings.SharedConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intent
}

// Self describes this instance to the others.
func (s *shared) Self() *wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return toWire(s.self(), time.Now())
}

func (s *shared) self() membership.Member {
	return membership.Member{
		Name:          s.process.Name,
		Address:       s.process.Advertise,
		DataCentre:    s.process.DataCentre,
		Region:        s.process.Region,
		Incarnation:   s.incarnation,
		Control:       s.process.IsControl(),
		ConfigVersion: s.view.Config.Version,
		SharedIndex:   s.view.Index,
		Leaving:       s.leaving,
		Left:          s.left,
		LastSeen:      time.Now(),
	}
}

// setLeaving says that the instance takes no new callers.
func (s *shared) setLeaving() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.pulse.ring()
}

// setLeft says that the instance has ended.
func (s *shared) setLeft() {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	s.pulse.ring()
}

// notReady reports why the instance should get no new callers, or "".
func (s *shared) notReady() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return "the instance is leaving"
	case s.view.Config.Version == 0:
		return "no configuration is in force yet"
	case !s.gate.IsOpen(time.Now(), s.view.Index, !s.confirmedAt.IsZero()):
		return "the configuration may be older than that of the other instances"
	case time.Since(s.started) < s.serverLease():
		// Every backend server that is available renews its lease within this time, so a new
		// instance has heard of all of them after it.
		return "the leases of backend servers are being collected"
	}
	return ""
}
