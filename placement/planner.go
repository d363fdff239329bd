package placement

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Options configure a Planner.
type Options struct {
	// LeaseTimeout is how long an earlier leader may still act as the leader.
	LeaseTimeout time.Duration
	// OrderTimeout is how long an order may be in transit or run without a report.
	OrderTimeout time.Duration
	// MaxLoads is the number of orders that may load weights at the same time, since they share
	// the bandwidth of the weight store.
	MaxLoads int
}

// openOrder is an order that is not known to have ended.
type openOrder struct {
	order Order
	sent  time.Time
	// failed means that the server reported a failure; the order is sent again after
	// OrderTimeout.
	failed bool
}

// Planner plans the orders of one leader. It is not safe for concurrent use.
type Planner struct {
	opts       Options
	term       uint64
	termStart  time.Time // when this instance became the leader of the term
	lastNumber uint64
	open       map[string]openOrder // open orders by server
}

// New returns a planner that is not the leader.
func New(o Options) *Planner {
	return &Planner{opts: o, open: make(map[string]openOrder)}
}

// SetTerm sets the term in which this instance leads. Term 0 means that it does not lead.
func (p *Planner) SetTerm(now time.Time, term uint64) {
	if term == p.term {
		return
	}
	p.term = term
	p.termStart = now
	p.lastNumber = 0
	p.open = make(map[string]openOrder)
}

// SetMaxLoads sets the number of orders that may load weights at the same time.
func (p *Planner) SetMaxLoads(maxLoads int) { p.opts.MaxLoads = maxLoads }

// Open returns the number of open orders.
func (p *Planner) Open() int { return len(p.open) }

// Plan returns the orders to send now. A server with an open order gets none. Loads are limited
// by MaxLoads, and those of the least covered layers come first.
func (p *Planner) Plan(now time.Time, desired []Desired, servers []fleet.BackendServer) []Order {
	if p.term == 0 {
		return nil
	}
	known := make(map[string]fleet.BackendServer, len(servers))
	for _, s := range servers {
		known[s.Name] = s
	}
	p.closeOrders(now, known)
	var orders []Order
	var loads []pendingLoad
	for _, d := range desired {
		s, ok := known[d.Server]
		if !ok || equal(engineOf(s), d.Engine) || !p.canOrder(now, s) {
			continue
		}
		o := Order{Server: s.Name, Address: s.Address, Incarnation: s.Incarnation, Engine: d.Engine}
		if o.LoadsWeights = needsWeights(engineOf(s), d.Engine); o.LoadsWeights {
			loads = append(loads, pendingLoad{order: o})
			continue
		}
		orders = append(orders, o)
	}
	orders = append(orders, p.chooseLoads(loads, servers)...)
	for i := range orders {
		orders[i] = p.issue(now, orders[i])
	}
	return orders
}

// canOrder reports whether the server may be given an order now. A server that ignores fencing
// tokens could still carry out an order of an earlier leader. It is therefore given an order only
// when that leader has certainly stopped leading and all orders of that leader have expired.
func (p *Planner) canOrder(now time.Time, s fleet.BackendServer) bool {
	if _, busy := p.open[s.Name]; busy || s.Leaving {
		return false
	}
	// A running order of an earlier leader counts as open.
	if s.Order.State == fleet.OrderRunning {
		return false
	}
	return s.ChecksFences || now.Sub(p.termStart) >= p.opts.LeaseTimeout+p.opts.OrderTimeout
}

func (p *Planner) issue(now time.Time, o Order) Order {
	p.lastNumber++
	o.Fence = fleet.Fence{Term: p.term, Number: p.lastNumber}
	p.open[o.Server] = openOrder{order: o, sent: now}
	return o
}

// closeOrders removes the orders that the servers report as done and those that have timed out.
func (p *Planner) closeOrders(now time.Time, known map[string]fleet.BackendServer) {
	for name, o := range p.open {
		s, ok := known[name]
		timedOut := now.Sub(o.sent) >= p.opts.OrderTimeout
		switch {
		case ok && s.Incarnation == o.order.Incarnation && s.Order.Fence == o.order.Fence:
			p.applyReport(name, o, s.Order.State, timedOut)
		case timedOut:
			delete(p.open, name)
		}
	}
}

// applyReport applies the reported state to the open order. A running order stays open however
// long it takes.
func (p *Planner) applyReport(name string, o openOrder, state fleet.OrderState, timedOut bool) {
	switch {
	case state == fleet.OrderDone:
		delete(p.open, name)
	case state == fleet.OrderFailed && timedOut:
		delete(p.open, name)
	case state == fleet.OrderFailed:
		o.failed = true
		p.open[name] = o
	}
}

// HandleAnswer applies the result of sending an order. Only a refusal closes the order at once:
// an order without an answer may still arrive.
func (p *Planner) HandleAnswer(o Order, a Answer) {
	open, ok := p.open[o.Server]
	if ok && open.order.Fence == o.Fence && a == AnswerRefused {
		delete(p.open, o.Server)
	}
}

// chooseLoads selects loads, starting with those of the least covered layers. Together with the
// open loads that have not failed, there are at most MaxLoads.
func (p *Planner) chooseLoads(loads []pendingLoad, servers []fleet.BackendServer) []Order {
	available := p.opts.MaxLoads
	copies := newCoverage(servers)
	for _, o := range p.open {
		if o.order.LoadsWeights && !o.failed {
			available--
			copies.add(o.order.Engine)
		}
	}
	var out []Order
	for ; available > 0 && len(loads) > 0; available-- {
		for i := range loads {
			loads[i].minCopies = copies.minCopies(loads[i].order.Engine)
		}
		slices.SortFunc(loads, compareLoads)
		out = append(out, loads[0].order)
		copies.add(loads[0].order.Engine)
		loads = loads[1:]
	}
	return out
}

// coverage counts the servers that hold, or will hold, each layer of a model.
type coverage map[string]map[int]int

func newCoverage(servers []fleet.BackendServer) coverage {
	c := make(coverage)
	for _, s := range servers {
		if s.Model != "" && !s.Leaving {
			c.add(engineOf(s))
		}
	}
	return c
}

func (c coverage) add(e Engine) {
	layers, ok := c[e.Model]
	if !ok {
		layers = make(map[int]int)
		c[e.Model] = layers
	}
	for l := e.Layers.From; l < e.Layers.To; l++ {
		layers[l]++
	}
}

// minCopies returns the number of copies of the engine's least covered layer.
func (c coverage) minCopies(e Engine) int {
	lowest := -1
	for l := e.Layers.From; l < e.Layers.To; l++ {
		if n := c[e.Model][l]; lowest < 0 || n < lowest {
			lowest = n
		}
	}
	return max(0, lowest)
}
