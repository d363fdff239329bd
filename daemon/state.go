package daemon

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// shared is what the duties of one instance share. Its mutex is held only for short reads
// and updates, never during I/O.
type shared struct {
	process     settings.Process
	incarnation uint64
	log         logr.Logger
	facts       *facts

	mu       sync.Mutex
	registry *fleet.Registry
	table    *membership.Table
	view     replica.View
	viewAt   time.Time
	intent   settings.Intent
	leaving  bool
}

func newShared(p settings.Process, incarnation uint64, log logr.Logger) *shared {
	return &shared{
		process:     p,
		incarnation: incarnation,
		log:         log,
		facts:       newFacts(p.Name, p.DataCentre, incarnation),
		registry:    fleet.NewRegistry(),
		table:       membership.NewTable(p.Name),
	}
}

// Announced renews the lease of a backend server.
func (s *shared) Announced(b fleet.BackendServer) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := s.serverLease()
	s.registry.Announce(time.Now(), b, ttl)
	return ttl
}

// defaultServerLease applies until a configuration is in force.
const defaultServerLease = 2 * time.Second

func (s *shared) serverLease() time.Duration {
	if s.intent.Limits.ServerLease > 0 {
		return s.intent.Limits.ServerLease
	}
	return defaultServerLease
}

// Available returns the servers that may be given new work.
func (s *shared) Available() []fleet.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.BackendServer
	for _, b := range s.registry.Available(time.Now()) {
		if _, draining := s.view.Drains[b.Name]; !draining {
			out = append(out, b)
		}
	}
	return out
}

// Intent returns the configuration in force.
func (s *shared) Intent() settings.Intent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intent
}

// View returns the view in force.
func (s *shared) View() replica.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// offerView puts a view in force unless one as new is.
func (s *shared) offerView(v replica.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewAt = time.Now()
	if v.Index <= s.view.Index {
		return
	}
	intent, err := parseDocument(v, s.process.DataCentre)
	if err != nil {
		s.log.Error(err, "an accepted configuration can't be read", "version", v.Config.Version)
		return
	}
	s.view = v
	s.intent = intent
	s.log.Info("put a view in force", "index", v.Index, "config_version", v.Config.Version)
}

func parseDocument(v replica.View, dataCentre string) (settings.Intent, error) {
	base := settings.File{Name: "base.ini", Text: v.Config.Base}
	overlay := settings.File{Name: dataCentre + ".ini", Text: v.Config.Overlays[dataCentre]}
	in, err := settings.ParseIntent(base, overlay)
	return in, eris.Wrap(err, "daemon: parse configuration")
}

// Self describes this instance to the others.
func (s *shared) Self() *wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self()
}

func (s *shared) self() *wire.Member {
	return &wire.Member{
		Name:          s.process.Name,
		Address:       s.process.Advertise,
		DataCentre:    s.process.DataCentre,
		Incarnation:   s.incarnation,
		ConfigVersion: s.view.Config.Version,
		SharedIndex:   s.view.Index,
		Leaving:       s.leaving,
	}
}

// Members returns the instances that this instance knows.
func (s *shared) Members() []*wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members()
}

func (s *shared) members() []*wire.Member {
	now := time.Now()
	var out []*wire.Member
	for _, m := range s.table.Members() {
		out = append(out, toWire(m, now))
	}
	return out
}

// Exchanged takes what another instance sent.
func (s *shared) Exchanged(req *wire.ExchangeRequest) {
	if req.Sender.GetDataCentre() == s.process.DataCentre {
		s.facts.received(time.Now(), req.Notices)
	}
	s.facts.receivedUsage(time.Now(), req.Sender.GetName(), req.Usage)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.merge(now, req.Sender, req.Members)
	for _, l := range req.Leases {
		var b fleet.BackendServer
		if json.Unmarshal(l.Announcement, &b) == nil {
			s.registry.Merge(now, b, time.Duration(l.RemainingMs)*time.Millisecond)
		}
	}
}

// responded takes the answer of another instance.
func (s *shared) responded(resp *wire.ExchangeResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(time.Now(), resp.Responder, resp.Members)
}

func (s *shared) merge(now time.Time, sender *wire.Member, others []*wire.Member) {
	if sender != nil {
		sender.HeardMs = 0
		s.table.Merge(fromWire(sender, now))
	}
	for _, m := range others {
		s.table.Merge(fromWire(m, now))
	}
	s.table.Expire(now)
	s.registry.Expire(now)
}

// exchangeRequest returns what this instance tells the others: itself, the members it knows
// and the leases that it granted itself.
func (s *shared) exchangeRequest() *wire.ExchangeRequest {
	now := time.Now()
	notices := s.facts.outgoing(now)
	usage := s.facts.outgoingUsage(now, membership.MaxUsage)
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &wire.ExchangeRequest{Sender: s.self(), Members: s.members(), Notices: notices, Usage: usage}
	for _, l := range s.registry.Leases(now) {
		if !l.Direct {
			continue
		}
		// BackendServer holds only plain values, which always encode.
		data, _ := json.Marshal(l.Server)
		req.Leases = append(req.Leases, &wire.Lease{
			Announcement: data,
			Sequence:     l.Server.Sequence,
			RemainingMs:  uint64(l.Expires.Sub(now).Milliseconds()),
		})
	}
	return req
}

// addresses returns where to find the other instances.
func (s *shared) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{s.process.Advertise: true}
	var out []string
	add := func(a string) {
		if a != "" && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, m := range s.table.Members() {
		add(m.Address)
	}
	for _, a := range s.process.Seeds {
		add(a)
	}
	return out
}

func (s *shared) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
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
	}
	return ""
}

func toWire(m membership.Member, now time.Time) *wire.Member {
	return &wire.Member{
		Name:          m.Name,
		Address:       m.Address,
		DataCentre:    m.DataCentre,
		Incarnation:   m.Incarnation,
		ConfigVersion: m.ConfigVersion,
		SharedIndex:   m.SharedIndex,
		Leaving:       m.Leaving,
		HeardMs:       uint64(now.Sub(m.Heard).Milliseconds()),
	}
}

func fromWire(m *wire.Member, now time.Time) membership.Member {
	return membership.Member{
		Name:          m.Name,
		Address:       m.Address,
		DataCentre:    m.DataCentre,
		Incarnation:   m.Incarnation,
		ConfigVersion: m.ConfigVersion,
		SharedIndex:   m.SharedIndex,
		Leaving:       m.Leaving,
		Heard:         now.Add(-time.Duration(m.HeardMs) * time.Millisecond),
	}
}
