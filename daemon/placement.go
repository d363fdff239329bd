package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/placement"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

const (
	placementInterval = 250 * time.Millisecond
	// placementLease is longer than a leader without a quorum takes itself for one.
	placementLease = 2 * time.Second
	// placementTimeout bounds the time of an order on its way.
	placementTimeout = 3 * time.Second
	// placementSends bounds the orders that are sent at a time.
	placementSends = 16
)

// placementDuty gives orders to engines while this instance leads.
type placementDuty struct {
	shared  *shared
	host    *control.Host
	planner *placement.Planner
	log     logr.Logger
	// intents are those of the view with the index, by data centre.
	index   uint64
	intents map[string]settings.SharedConfig
	reader  *settings.SharedConfigReader
}

func newPlacementDuty(s *shared, h *control.Host, log logr.Logger) *placementDuty {
	return &placementDuty{
		reader: settings.NewSharedConfigReader(),
		shared: s,
		host:   h,
		planner: placement.New(placement.Options{
			LeaseTimeout: placementLease,
			OrderTimeout: placementTimeout,
			MaxLoads:     defaultWeightLoads,
		}),
		log: log,
	}
}

// defaultWeightLoads is the number of loads that share the weight store.
const defaultWeightLoads = 2

// run plans and sends orders until ctx ends.
func (d *placementDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.step(ctx)
		}
	}
}

func (d *placementDuty) step(ctx context.Context) {
	s, err := d.host.Status(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	term := s.Term
	if s.Role != consensus.RoleLeader {
		term = 0
	}
	d.planner.SetTerm(now, term)
	view, servers := d.shared.placed(now)
	desired := d.desired(view, servers)
	if loads := d.shared.Intent().Limits.WeightLoads; loads > 0 {
		d.planner.SetMaxLoads(loads)
	}
	orders := d.planner.Plan(now, desired, servers)
	d.send(ctx, orders)
}

// send sends the orders and takes their answers.
func (d *placementDuty) send(ctx context.Context, orders []placement.Order) {
	answers := make([]placement.Answer, len(orders))
	var g errgroup.Group
	g.SetLimit(placementSends)
	for i, o := range orders {
		g.Go(func() error {
			var err error
			answers[i], err = backend.SendOrder(ctx, o)
			d.logOrder(o, err)
			return nil
		})
	}
	_ = g.Wait()
	for i, o := range orders {
		d.planner.HandleAnswer(o, answers[i])
	}
}

func (d *placementDuty) logOrder(o placement.Order, err error) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	d.log.Info("gave an order", "server", o.Server, "term", o.Fence.Term, "number", o.Fence.Number, "model", o.Engine.Model,
		"from", o.Engine.Layers.From, "to", o.Engine.Layers.To, "version", o.Engine.Version, "role", o.Engine.Role, "reason", reason)
}

// placed returns the view and the servers with a lease.
func (s *shared) placed(now time.Time) (replica.View, []fleet.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var servers []fleet.BackendServer
	for _, l := range s.registry.Leases(now) {
		servers = append(servers, l.Server)
	}
	return s.view, servers
}

// desired returns what the configuration states for the servers, each as its own data centre
// sees it.
func (d *placementDuty) desired(v replica.View, servers []fleet.BackendServer) []placement.Desired {
	if d.intents == nil || d.index != v.Index {
		d.intents = make(map[string]settings.SharedConfig)
		d.index = v.Index
	}
	var out []placement.Desired
	for _, s := range servers {
		in, ok := d.intents[s.DataCentre]
		if !ok {
			// Text that can't be read was refused before, and states nothing here.
			in, _ = readIntent(d.reader, v, s.DataCentre)
			d.intents[s.DataCentre] = in
		}
		if e, ok := in.Engines[s.Name]; ok {
			out = append(out, placement.Desired{Server: s.Name, Engine: placement.Engine{
				Model: e.Model, Layers: e.Layers, Version: e.Version, Adapters: e.Adapters, Role: e.Role,
			}})
		}
	}
	slices.SortFunc(out, func(a, b placement.Desired) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
