package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

const (
	// planInterval is the time between two plans.
	planInterval = 100 * time.Millisecond
	// settleIntervals is how many announcement intervals must pass without a new server before
	// the first copies are placed, so that the plan includes all servers.
	settleIntervals = 1.5
	// orderTimeout bounds the time to read a server's report and send the server an order.
	orderTimeout = time.Second
	// orderGrace is added to twice the expected load time. An order that was not carried out by then
	// is dropped and planned again.
	orderGrace = 4 * time.Second
)

// Report is what a backend server reports about the layers it holds and its work.
type Report struct {
	IsBusy bool
	// Orders is the number of orders that the server has accepted since its start.
	Orders uint64
	// From and To bound the layers that the server holds; To is exclusive.
	From, To int
	// Slowness is above 1 while the server is slower than its accelerator.
	Slowness float64
}

// Engines sends requests and orders to backend servers that hold layers.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	// Place orders a server to hold a range. orders is the number of orders that the server must
	// have accepted before this one, fence is the fencing token.
	Place(ctx context.Context, address string, p layers.Placement, fence, orders uint64) error
}

// ErrRefused means that a server has refused an order and will not carry it out.
var ErrRefused = errors.New("controller: the server refused the order")

// maxOrders bounds the orders that are sent concurrently.
const maxOrders = 64

// planner keeps track of the orders that were sent.
type planner struct {
	engines Engines
	demand  func(service string) map[string]float64
	usage   func() map[string]mesh.Usage
	log     logr.Logger
	// settle is the time without a new server that must pass before the first plan.
	settle time.Duration
	// sends runs the goroutines that send orders, so that planning doesn't wait for unreachable
	// servers.
	sends errgroup.Group

	mu     sync.Mutex
	orders map[string]*order
	// doubts holds servers that may still carry out an order that has timed out, and until when.
	doubts map[string]time.Time
	// rebalancers and rooms hold the demand and the room by service.
	rebalancers    map[string]*layers.Rebalancer
	rooms          map[string][]layers.CentreState
	moves, returns uint64
	incarnations   map[string]int64
	lastNewServer  time.Time
}

// order is a placement that a server was ordered to hold.
type order struct {
	layers.Placement
	incarnation int64
	at          time.Time
	timeout     time.Duration
	// isMove means that the order is due to demand, isLoading that the server has to load layers, unless the order
	// failed. isAnswered means that the server accepted or refused the order, or didn't receive it.
	isMove, isLoading, isAnswered bool
}

func newPlanner(o Options) *planner {
	p := &planner{
		engines:      o.Engines,
		demand:       o.Demand,
		usage:        o.Usage,
		log:          o.Log,
		settle:       time.Duration(settleIntervals * float64(o.AnnounceInterval)),
		orders:       make(map[string]*order),
		doubts:       make(map[string]time.Time),
		rebalancers:  make(map[string]*layers.Rebalancer),
		rooms:        make(map[string][]layers.CentreState),
		incarnations: make(map[string]int64),
	}
	p.sends.SetLimit(maxOrders)
	return p
}

// runPlacement places layers while this instance is the leader.
func (c *Controller) runPlacement(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s := c.status.Load()
		if s == nil || !s.Lease {
			c.planner.forget()
			continue
		}
		if c.receivingFor() < c.planner.settle {
			continue // some servers may not have announced themselves yet
		}
		snapshot := c.options.Mesh.Snapshot()
		if snapshot.Table == nil {
			continue
		}
		snapshot.Table.Services(func(svc *routing.Service) {
			if svc.Engine != nil {
				c.planner.plan(ctx, time.Now(), svc, snapshot, s.Term)
			}
		})
		c.planner.pruneServices(snapshot.Table)
	}
}

// plan plans one service and sends the resulting orders.
func (p *planner) plan(ctx context.Context, now time.Time, svc *routing.Service, snapshot mesh.Snapshot, fence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usage := p.usageOf()
	byID, servers := p.placeable(svc, snapshot, usage, now)
	if now.Sub(p.lastNewServer) < p.settle && !anyHolds(servers) {
		return
	}
	d := p.rebalancerOf(svc.Name).Plan(now, svc.Engine, servers, p.demandOf(svc.Name, snapshot.Servers, usage))
	p.rooms[svc.Name] = d.Centres
	moves := make(map[string]*layers.Move, len(d.Moves))
	for i := range d.Moves {
		moves[d.Moves[i].Server] = &d.Moves[i]
	}
	for _, placement := range d.Placements {
		a := byID[placement.Server]
		if p.orders[a.ID] != nil {
			continue
		}
		o := newOrder(svc.Engine, placement, a.Incarnation, now)
		m := moves[a.ID]
		if m != nil {
			o.isMove, o.isLoading = true, m.Loads > 0
		}
		started := p.sends.TryGo(func() error {
			p.send(ctx, *a, o, fence)
			return nil
		})
		if !started {
			return // the next plan sends the remaining orders
		}
		p.orders[a.ID] = o
		if m != nil {
			p.countMove(m)
		}
	}
}

func newOrder(e *routing.Engine, p layers.Placement, incarnation int64, now time.Time) *order {
	share := float64(p.To-p.From) / float64(e.Layers)
	return &order{
		Placement: p, incarnation: incarnation, at: now, isLoading: true,
		timeout: orderGrace + time.Duration(2*share*float64(e.LoadTime)),
	}
}

// placeable returns the servers of a service on which layers can be placed. If most servers of a
// data centre are unresponsive, placeable assumes that the data centre is cut off rather than broken
// and omits its servers, so that nothing is moved there.
func (p *planner) placeable(svc *routing.Service, snapshot mesh.Snapshot, usage map[string]mesh.Usage, now time.Time) (map[string]*discovery.Announcement, []layers.Server) {
	byID := make(map[string]*discovery.Announcement)
	total, unresponsive := make(map[string]int), make(map[string]int)
	var servers []layers.Server
	for i := range snapshot.Servers {
		a := &snapshot.Servers[i]
		if a.Service != svc.Name {
			continue
		}
		if a.State != discovery.StateReady && a.State != discovery.StateSilent {
			delete(p.orders, a.ID)
			continue
		}
		total[a.DataCentre]++
		if snapshot.Unresponsive[a.ID] {
			unresponsive[a.DataCentre]++
			continue
		}
		if p.incarnations[a.ID] != a.Incarnation {
			p.incarnations[a.ID] = a.Incarnation
			p.lastNewServer = now
		}
		byID[a.ID] = a
		s := p.serverState(a, now)
		s.Drafts = usage[a.ID].Drafts
		// A silent server that the gateways reach keeps its layers and gets no orders.
		s.IsBusy = s.IsBusy || a.State == discovery.StateSilent
		servers = append(servers, s)
	}
	p.prune(snapshot.Servers)
	servers = slices.DeleteFunc(servers, func(s layers.Server) bool {
		return 2*unresponsive[s.DataCentre] > total[s.DataCentre]
	})
	return byID, servers
}

// pruneThreshold is how many entries of unknown servers are kept before they are dropped.
const pruneThreshold = 64

// prune drops the entries of servers that are no longer known.
func (p *planner) prune(servers []discovery.Announcement) {
	if len(p.incarnations) < len(servers)+pruneThreshold {
		return
	}
	present := make(map[string]bool, len(servers))
	for i := range servers {
		present[servers[i].ID] = true
	}
	maps.DeleteFunc(p.incarnations, func(id string, _ int64) bool { return !present[id] })
	maps.DeleteFunc(p.orders, func(id string, _ *order) bool { return !present[id] })
	maps.DeleteFunc(p.doubts, func(id string, _ time.Time) bool { return !present[id] })
}

func anyHolds(servers []layers.Server) bool {
	for i := range servers {
		if servers[i].To > servers[i].From {
			return true
		}
	}
	return false
}

// serverState returns the layers that a server holds, or will hold under an order.
func (p *planner) serverState(a *discovery.Announcement, now time.Time) layers.Server {
	s := layers.Server{ID: a.ID, DataCentre: a.DataCentre, Accelerator: a.Accelerator}
	if a.HasLayers {
		s.From, s.To = a.LayersFrom, a.LayersTo
	}
	o := p.orders[a.ID]
	switch {
	case o == nil:
	case o.incarnation != a.Incarnation, o.From == s.From && o.To == s.To:
		delete(p.orders, a.ID)
	case now.Sub(o.at) > o.timeout:
		p.drop(a.ID, o, now)
	default:
		s.From, s.To, s.IsBusy, s.IsLoading = o.From, o.To, true, o.isLoading
	}
	s.IsDoubtful = p.isDoubtful(a.ID, now)
	return s
}

// send reads the number of orders that a server has accepted, then sends the order to the server.
// If that number can't be read, nothing is sent and the order is planned again at once. An order
// that was sent stays recorded even after an error, since the server may have received it.
func (p *planner) send(ctx context.Context, a discovery.Announcement, o *order, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := p.engines.Report(ctx, a.Address)
	isSent := err == nil
	if isSent {
		err = p.engines.Place(ctx, a.Address, o.Placement, fence, r.Orders)
	}
	p.log.Info("tried to send placement order", "server", a.ID, "data_centre", a.DataCentre, "accelerator", a.Accelerator, "from", o.From, "to", o.To,
		"fence", fence, "orders", r.Orders, "reason", errorText(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isSent && p.orders[a.ID] == o {
		delete(p.orders, a.ID)
	}
	o.answered(err)
}

// drainTime is how long a server that accepted a move may wait for the drafts that pass through the layers that it
// gives up.
const drainTime = 20 * time.Second

// answered records the result of sending an order. An order that failed doesn't count as a load.
func (o *order) answered(err error) {
	o.isAnswered = err == nil || errors.Is(err, ErrRefused)
	o.isLoading = o.isLoading && err == nil
	if err == nil && o.isMove {
		o.timeout += drainTime
	}
}
