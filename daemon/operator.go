package daemon

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/trace"
)

// errNotControl is returned for calls that only control instances can answer.
var errNotControl = errors.New("daemon: the instance is not a control instance; ask one that is")

// operatorBackend answers the calls of operators with balsamctl.
type operatorBackend struct {
	state      *instanceState
	host       *control.Host // nil on an instance without a replica
	proposer   *instance.Proposer
	dispatcher *dispatch.Dispatcher
	admitter   *admitter
	lines      *trace.Recorder
}

// Lines returns the recorder of the latest log lines.
func (b *operatorBackend) Lines() *trace.Recorder { return b.lines }

// Config returns the configuration in force.
func (b *operatorBackend) Config() config.Document { return b.state.View().Config }

// History returns the configuration versions that the replica of this instance keeps.
func (b *operatorBackend) History(ctx context.Context) ([]config.Document, error) {
	if b.host == nil {
		return nil, errNotControl
	}
	var documents []config.Document
	err := b.host.Query(ctx, func(s *replica.State, _ *consensus.Node) {
		documents = slices.Clone(s.Config.Documents())
	})
	return documents, err
}

// Propose applies a command to the replicated state.
func (b *operatorBackend) Propose(ctx context.Context, c replica.Command) (replica.Result, error) {
	return b.proposer.Propose(ctx, c)
}

// Credits returns the credit counts in the replica of this instance.
func (b *operatorBackend) Credits(ctx context.Context) ([]operator.CreditCount, error) {
	if b.host == nil {
		return nil, errNotControl
	}
	var counts []operator.CreditCount
	err := b.host.Query(ctx, func(s *replica.State, _ *consensus.Node) {
		for a, n := range s.Credits.Counts() {
			counts = append(counts, operator.CreditCount{Member: a.Member, Kind: a.Kind, Count: n})
		}
	})
	slices.SortFunc(counts, func(x, y operator.CreditCount) int {
		return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.Kind, y.Kind))
	})
	return counts, err
}

// Status returns the status of the system as this instance knows it.
func (b *operatorBackend) Status(ctx context.Context) operator.Status {
	s := b.state.status()
	s.InFlight = b.admitter.InFlight()
	for i := range s.Servers {
		s.Servers[i].InFlight = b.dispatcher.InFlight(s.Servers[i].Name)
	}
	if b.host == nil {
		return s
	}
	cs, err := b.host.Status(ctx)
	if err != nil {
		return s
	}
	s.Control = controlStatus(cs)
	return s
}

func controlStatus(cs control.Status) *operator.ControlStatus {
	s := &operator.ControlStatus{
		Role:     cs.Role.String(),
		Term:     cs.Term,
		Leader:   cs.Leader,
		Commit:   cs.Commit,
		Applied:  cs.Applied,
		Snapshot: cs.Snapshot,
		Lease:    cs.Lease,
		Voting:   cs.Voting,
		Size:     cs.Membership.Size,

		Build:          cs.Levels.Build,
		Level:          uint32(cs.Levels.InForce),
		SupportedLevel: uint32(cs.Levels.Supported),
	}
	for _, h := range cs.Levels.Holds {
		s.LevelHeldBy = append(s.LevelHeldBy, h.String())
	}
	for _, v := range cs.Membership.Voters {
		s.Voters = append(s.Voters, v.ID)
	}
	for _, l := range cs.Learners {
		s.Learners = append(s.Learners, operator.LearnerStatus{Name: l.ID, Match: l.Match, CaughtUp: l.CaughtUp})
	}
	return s
}

func (s *instanceState) status() operator.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	st := operator.Status{
		Instance:      s.process.Name,
		DataCentre:    s.process.DataCentre,
		ConfigVersion: s.view.Config.Version,
		ConfigAgeMs:   s.viewAge(now).Milliseconds(),
	}
	self := operator.InstanceStatus{Name: s.process.Name, DataCentre: s.process.DataCentre, Alive: true, ConfigVersion: s.view.Config.Version}
	st.Instances = append(st.Instances, self)
	for _, m := range s.table.Members() {
		st.Instances = append(st.Instances, operator.InstanceStatus{
			Name:          m.Name,
			DataCentre:    m.DataCentre,
			Alive:         s.isAlive(m, now),
			ConfigVersion: m.ConfigVersion,
			LastSeenMs:    now.Sub(m.LastSeen).Milliseconds(),
		})
	}
	for _, l := range s.registry.Leases(now) {
		b := l.Server
		_, draining := s.view.Drains[b.Name]
		st.Servers = append(st.Servers, operator.ServerStatus{
			Name:       b.Name,
			DataCentre: b.DataCentre,
			Address:    b.Address,
			Model:      b.Model,
			From:       b.Layers.From,
			To:         b.Layers.To,
			Leaving:    b.Leaving || draining,
			LeaseMs:    l.Expires.Sub(now).Milliseconds(),

			ChecksFences:     b.ChecksFences,
			ResolvesRequests: b.ResolvesRequests,
			Version:          b.Version,
			Adapters:         b.Adapters,
			Role:             b.Role,
			Order:            b.Order,
		})
	}
	for name := range s.view.Drains {
		st.Drains = append(st.Drains, name)
	}
	slices.Sort(st.Drains)
	return st
}
