package daemon

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

// instanceState is the state that the background tasks of one instance share. mu is held only for short
// reads and updates, never during I/O.
type instanceState struct {
	process     settings.Process
	incarnation uint64
	log         logr.Logger // for views
	memberLog   logr.Logger
	leaseLog    logr.Logger
	gossip      *gossip
	clock       *clock
	heartbeats  *heartbeatScheduler
	// views holds the latest views in encoded form.
	views *instance.PatchCache

	// readMu guards configReader and is held while a configuration is read.
	readMu       sync.Mutex
	configReader *settings.SharedConfigReader

	mu       sync.Mutex
	started  time.Time
	registry *fleet.Registry
	table    *membership.Table
	viewGate *membership.ViewGate
	view     replica.View
	config   settings.SharedConfig
	// confirmedAt is the last time at which a quorum is known to have confirmed the view as the
	// newest; zero before the first confirmation.
	confirmedAt time.Time
	leaving     bool
	left        bool
	// alive holds the incarnations of the members that were alive at the last check, by name.
	alive map[string]uint64
	// regionPeers is the number of live members of the region at the last tick, without this instance.
	regionPeers int
}

func newInstanceState(p settings.Process, incarnation uint64, log logr.Logger) *instanceState {
	now := time.Now()
	heartbeats := newHeartbeatScheduler()
	return &instanceState{
		process:      p,
		incarnation:  incarnation,
		log:          log.WithName("config"),
		memberLog:    log.WithName("membership"),
		leaseLog:     log.WithName("fleet"),
		gossip:       newGossip(p.Name, incarnation, heartbeats.sendNow),
		clock:        newClock(now),
		heartbeats:   heartbeats,
		views:        instance.NewPatchCache(instance.MaxPatchBases),
		started:      now,
		configReader: settings.NewSharedConfigReader(),
		registry:     fleet.NewRegistry(),
		table:        membership.NewTable(p.Name),
		viewGate:     membership.NewViewGate(now),
		alive:        make(map[string]uint64),
	}
}

// Available returns the servers that may receive new requests.
func (s *instanceState) Available() []fleet.BackendServer {
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

// Config returns the configuration in force.
func (s *instanceState) Config() settings.SharedConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Self returns the description of this instance for other instances.
func (s *instanceState) Self() *wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return memberToWire(s.self(), time.Now())
}

func (s *instanceState) self() membership.Member {
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

// setLeaving marks this instance as leaving, which turns readiness off, and notifies its peers.
func (s *instanceState) setLeaving() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.heartbeats.sendNow()
}

// setLeft marks this instance as having left, and notifies its peers.
func (s *instanceState) setLeft() {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	s.heartbeats.sendNow()
}

// hasConfig reports whether a configuration has come into force.
func (s *instanceState) hasConfig() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Config.Version > 0
}

// whyUnconfirmed returns why this instance, which has started a short time ago, may have no newest configuration, or "".
func (s *instanceState) whyUnconfirmed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unconfirmed()
}

func (s *instanceState) unconfirmed() string {
	switch {
	case s.view.Config.Version == 0:
		return "no configuration is in force yet"
	case !s.viewGate.IsOpen(time.Now(), s.view.Index, s.confirmedAt.After(s.started)):
		return "the configuration may be older than that of the other instances"
	}
	return ""
}

// notReady returns the reason why the instance should receive no new callers, or "" if it is ready.
func (s *instanceState) notReady() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return "the instance is leaving"
	case s.unconfirmed() != "":
		return s.unconfirmed()
	case time.Since(s.started) < s.serverLease():
		// Every available backend server renews its lease within this time. So a new instance knows
		// all available servers once this time has passed.
		return "the leases of backend servers are being collected"
	}
	return ""
}
