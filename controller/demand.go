package controller

import (
	"maps"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/routing"
)

// RoomState is the room of a data centre for drafts of a service, as the leader plans it.
type RoomState struct {
	Service string
	layers.CentreState
}

// PlanWork is the work of a planner since its start, and the latest state of the data centres. Rooms is empty on an
// instance that isn't the leader.
type PlanWork struct {
	// Moves and Returns count the placements ordered because demand had risen, and after it had fallen.
	Moves, Returns uint64
	Rooms          []RoomState
}

// PlanWork returns the work of the planner. It may be called concurrently.
func (c *Controller) PlanWork() PlanWork { return c.planner.work() }

func (p *planner) work() PlanWork {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := PlanWork{Moves: p.moves, Returns: p.returns}
	for service, states := range p.rooms {
		for _, s := range states {
			out.Rooms = append(out.Rooms, RoomState{Service: service, CentreState: s})
		}
	}
	return out
}

// usageOf returns the usage of all gateways by server, nil if it isn't known.
func (p *planner) usageOf() map[string]mesh.Usage {
	if p.usage == nil {
		return nil
	}
	return p.usage()
}

// demandOf returns the drafts that the callers of each data centre ask for. If that isn't known, it returns those
// that start at the servers of the data centre.
func (p *planner) demandOf(service string, servers []discovery.Announcement, usage map[string]mesh.Usage) map[string]float64 {
	if p.demand != nil {
		return p.demand(service)
	}
	out := make(map[string]float64)
	for i := range servers {
		if a := &servers[i]; a.Service == service {
			out[a.DataCentre] += float64(usage[a.ID].Heads)
		}
	}
	return out
}

// rebalancerOf returns the state of a service's demand.
func (p *planner) rebalancerOf(service string) *layers.Rebalancer {
	r := p.rebalancers[service]
	if r == nil {
		r = layers.NewRebalancer()
		p.rebalancers[service] = r
	}
	return r
}

// countMove counts and logs a move that is being ordered.
func (p *planner) countMove(m *layers.Move) {
	if m.IsReturn {
		p.returns++
	} else {
		p.moves++
	}
	p.log.Info("moving layers because of demand", "server", m.Server, "data_centre", m.DataCentre, "from", m.From, "to", m.To,
		"returns", m.IsReturn, "layers_to_load", m.Loads, "drafts_needed", int(m.Need), "room_before", int(m.Before.Drafts),
		"room_after", int(m.After.Drafts), "limit", m.Before.Limit, "limit_layer", m.Before.Layer)
}

// doubtTime is how long after its timeout an order without an answer may still be carried out. Meanwhile, no move
// counts on the layers of its server.
const doubtTime = 10 * time.Second

// forget drops the orders of an earlier term, and what is known of demand.
func (p *planner) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.orders)
	clear(p.doubts)
	clear(p.rebalancers)
	clear(p.rooms)
}

// isDoubtful reports whether a server may still carry out an order that it has not answered.
func (p *planner) isDoubtful(id string, now time.Time) bool {
	until, ok := p.doubts[id]
	if ok && now.After(until) {
		delete(p.doubts, id)
		return false
	}
	return ok
}

// drop forgets an order that was not carried out in time.
func (p *planner) drop(id string, o *order, now time.Time) {
	delete(p.orders, id)
	if !o.isAnswered {
		p.doubts[id] = now.Add(doubtTime)
	}
}

// pruneServices drops the state of services that are no longer configured.
func (p *planner) pruneServices(table *routing.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := make(map[string]bool)
	table.Services(func(s *routing.Service) { present[s.Name] = s.Engine != nil })
	maps.DeleteFunc(p.rebalancers, func(service string, _ *layers.Rebalancer) bool { return !present[service] })
	maps.DeleteFunc(p.rooms, func(service string, _ []layers.CentreState) bool { return !present[service] })
}
