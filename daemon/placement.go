package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
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
	// placementLeaseTimeout is longer than a lease.
	placementLeaseTimeout = 2 * time.Second
	// placementOrderTimeout is how long an order may be in transit or run without a report.
	placementOrderTimeout = 3 * time.Second
	// maxConcurrentOrders bounds the orders that are being sent at the same time.
	maxConcurrentOrders = 16
)

// placementLoop plans and sends orders to engines while this instance leads the control group.
type placementLoop struct {
	state   *instanceState
	host    *control.Host
	planner *placement.Planner
	log     logr.Logger
	// configs holds the configuration of the view with index viewIndex, read for each data centre.
	viewIndex uint64
	configs   map[string]settings.SharedConfig
	reader    *settings.SharedConfigReader
}

func newPlacementLoop(s *instanceState, h *control.Host, log logr.Logger) *placementLoop {
	return &placementLoop{
		reader: settings.NewSharedConfigReader(),
		state:  s,
		host:   h,
		planner: placement.New(placement.Options{
			LeaseTimeout: placementLeaseTimeout,
			OrderTimeout: placementOrderTimeout,
			MaxLoads:     defaultWeightLoads,
		}),
		log: log,
	}
}

// defaultWeightLoads is the number of servers that may load weights from the weight store at the same
// time, unless the configuration sets another number.
const defaultWeightLoads = 2

// run calls step at every placementInterval until ctx ends.
func (l *placementLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.step(ctx)
		}
	}
}

func (l *placementLoop) step(ctx context.Context) {
	s, err := l.host.Status(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	term := s.Term
	if !s.Lease {
		term = 0
	}
	l.planner.SetTerm(now, term)
	view, servers := l.state.placementInput(now)
	desired := l.desired(view, servers)
	if loads := l.state.Config().Limits.WeightLoads; loads > 0 {
		l.planner.SetMaxLoads(loads)
	}
	orders := l.planner.Plan(now, desired, servers)
	l.send(ctx, orders)
}

// send sends the orders and passes the answers to the planner.
func (l *placementLoop) send(ctx context.Context, orders []placement.Order) {
	answers := make([]placement.Answer, len(orders))
	var g errgroup.Group
	g.SetLimit(maxConcurrentOrders)
	for i, o := range orders {
		g.Go(func() error {
			var err error
			answers[i], err = backend.SendOrder(ctx, o)
			l.logOrder(o, err)
			return nil
		})
	}
	_ = g.Wait()
	for i, o := range orders {
		l.planner.HandleAnswer(o, answers[i])
	}
}

func (l *placementLoop) logOrder(o placement.Order, err error) {
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	l.log.Info("sent an order", "server", o.Server, "term", o.Fence.Term, "number", o.Fence.Number, "model", o.Engine.Model,
		"from", o.Engine.Layers.From, "to", o.Engine.Layers.To, "version", o.Engine.Version, "role", o.Engine.Role, "reason", reason)
}

// placementInput returns the view in force and the servers that hold a lease.
func (s *instanceState) placementInput(now time.Time) (replica.View, []fleet.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var servers []fleet.BackendServer
	for _, l := range s.registry.Leases(now) {
		servers = append(servers, l.Server)
	}
	return s.view, servers
}

// desired returns the engines that the configuration specifies for the servers. The configuration of
// each server is read with the overlay of the server's data centre.
func (l *placementLoop) desired(v replica.View, servers []fleet.BackendServer) []placement.Desired {
	if l.configs == nil || l.viewIndex != v.Index {
		l.configs = make(map[string]settings.SharedConfig)
		l.viewIndex = v.Index
	}
	var out []placement.Desired
	for _, s := range servers {
		cfg, ok := l.configs[s.DataCentre]
		if !ok {
			// A configuration that can't be read is refused when it is proposed. If such a
			// configuration is in force all the same, it counts as specifying no engines.
			cfg, _ = readConfig(l.reader, v, s.DataCentre)
			l.configs[s.DataCentre] = cfg
		}
		if e, ok := cfg.Engines[s.Name]; ok {
			out = append(out, placement.Desired{Server: s.Name, Engine: placement.Engine{
				Model: e.Model, Layers: e.Layers, Version: e.Version, Adapters: e.Adapters, Role: e.Role,
			}})
		}
	}
	slices.SortFunc(out, func(a, b placement.Desired) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
