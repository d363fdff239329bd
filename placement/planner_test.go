package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var options = Options{LeaseTimeout: 2 * time.Second, OrderTimeout: 3 * time.Second, MaxLoads: 2}

var start = time.Unix(1_800_000_000, 0)

func layers(from, to int) fleet.Range { return fleet.Range{From: from, To: to} }

func holds(name string, from, to int) fleet.BackendServer {
	return fleet.BackendServer{Name: name, Incarnation: 1, Model: "icing", Layers: layers(from, to), ChecksFences: true}
}

func wants(name string, from, to int) Desired {
	return Desired{Server: name, Engine: Engine{Model: "icing", Layers: layers(from, to)}}
}

func TestLeastCoveredRangeIsLoadedFirst(t *testing.T) {
	is := is.New(t)
	p := New(options)
	p.SetTerm(start, 1)
	servers := []fleet.BackendServer{
		holds("a", 0, 16), holds("b", 0, 16), holds("c", 16, 24),
		{Name: "d", Incarnation: 1, ChecksFences: true},
		{Name: "e", Incarnation: 1, ChecksFences: true},
		{Name: "f", Incarnation: 1, ChecksFences: true},
		{Name: "g", Incarnation: 1, ChecksFences: true},
	}
	desired := []Desired{wants("d", 0, 16), wants("e", 16, 24), wants("f", 24, 32), wants("g", 24, 32)}
	orders := p.Plan(start, desired, servers)
	is.Equal(len(orders), 2) // MaxLoads
	is.Equal(orders[0].Server, "f")
	is.Equal(orders[1].Server, "e") // the load of f counts as a copy of 24-32
	is.Equal(orders[0].Fence, fleet.Fence{Term: 1, Number: 1})
	is.Equal(len(p.Plan(start.Add(time.Second), desired, servers)), 0)
}

func TestARoleChangeDoesNotWaitForTheWeightStore(t *testing.T) {
	is := is.New(t)
	p := New(Options{MaxLoads: 0})
	p.SetTerm(start, 1)
	d := wants("a", 0, 16)
	d.Engine.Role = "prefill"
	orders := p.Plan(start, []Desired{d}, []fleet.BackendServer{holds("a", 0, 16)})
	is.Equal(len(orders), 1)
	is.True(!orders[0].LoadsWeights)
}

func TestServerThatIgnoresFencingTokensWaitsForTheEarlierLeaderToExpire(t *testing.T) {
	is := is.New(t)
	p := New(options)
	p.SetTerm(start, 7)
	ignores := fleet.BackendServer{Name: "a", Incarnation: 1}
	checks := fleet.BackendServer{Name: "b", Incarnation: 1, ChecksFences: true}
	desired := []Desired{wants("a", 0, 16), wants("b", 0, 16)}
	orders := p.Plan(start, desired, []fleet.BackendServer{ignores, checks})
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Server, "b")
	wait := options.LeaseTimeout + options.OrderTimeout
	is.Equal(len(p.Plan(start.Add(wait-time.Millisecond), desired[:1], []fleet.BackendServer{ignores})), 0)
	is.Equal(len(p.Plan(start.Add(wait), desired[:1], []fleet.BackendServer{ignores})), 1)
}

func TestRunningOrderOfAnEarlierLeaderIsNotReplaced(t *testing.T) {
	is := is.New(t)
	p := New(options)
	p.SetTerm(start, 2)
	s := holds("a", 0, 16)
	s.Order = fleet.OrderReport{Fence: fleet.Fence{Term: 1, Number: 9}, State: fleet.OrderRunning}
	desired := []Desired{wants("a", 16, 32)}
	is.Equal(len(p.Plan(start, desired, []fleet.BackendServer{s})), 0)
	s.Order.State = fleet.OrderFailed
	is.Equal(len(p.Plan(start, desired, []fleet.BackendServer{s})), 1)
}

// message is an order in transit, which may arrive late.
type message struct {
	order Order
	sent  time.Time
}

// simulation runs servers that carry out the orders they receive, and a sequence of leaders.
type simulation struct {
	now      time.Time
	term     uint64
	leader   *Planner
	servers  map[string]*fleet.BackendServer
	messages []message
	desired  []Desired
	newest   map[string]fleet.Fence // newest fencing token of the orders carried out, by server
	// lastSent is the last order that any leader sent to each server.
	lastSent map[string]message
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		now: start, servers: make(map[string]*fleet.BackendServer),
		newest: make(map[string]fleet.Fence), lastSent: make(map[string]message),
	}
	for i := range 4 {
		name := fmt.Sprint("s", i)
		sim.servers[name] = &fleet.BackendServer{Name: name, Incarnation: 1, ChecksFences: i%2 == 0}
		sim.desired = append(sim.desired, wants(name, 16*(i%2), 16*(i%2)+16))
	}
	sim.elect(t)
	return sim
}

// elect replaces the leader; orders of the previous leader may still be in transit.
func (sim *simulation) elect(*rapid.T) {
	sim.term++
	p := New(options)
	p.SetTerm(sim.now, sim.term)
	sim.leader = p
}

func (sim *simulation) list() []fleet.BackendServer {
	var out []fleet.BackendServer
	for i := range 4 {
		out = append(out, *sim.servers[fmt.Sprint("s", i)])
	}
	return out
}

func (sim *simulation) plan(t *rapid.T) {
	p := sim.leader
	for _, o := range p.Plan(sim.now, sim.desired, sim.list()) {
		last, ok := sim.lastSent[o.Server]
		if ok && last.order.Fence.Term < o.Fence.Term && !sim.servers[o.Server].ChecksFences &&
			sim.now.Sub(last.sent) < options.OrderTimeout {
			t.Fatalf("%s ignores fencing tokens and got an order of term %d, %s after one of term %d", o.Server, o.Fence.Term,
				sim.now.Sub(last.sent), last.order.Fence.Term)
		}
		if ok && last.order.Fence.Term == o.Fence.Term && sim.now.Sub(last.sent) < options.OrderTimeout &&
			sim.servers[o.Server].Order.Fence != last.order.Fence {
			t.Fatalf("%s got a second order while the first was open", o.Server)
		}
		sim.lastSent[o.Server] = message{order: o, sent: sim.now}
		sim.messages = append(sim.messages, message{order: o, sent: sim.now})
	}
	loads := 0
	for _, o := range p.open {
		if o.order.LoadsWeights {
			loads++
		}
	}
	if loads > options.MaxLoads {
		t.Fatalf("%d loads run at the same time", loads)
	}
}

// deliver carries out a random order in transit, possibly one of a deposed leader.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.messages) == 0 {
		t.Skip("no order is in transit")
	}
	i := rapid.IntRange(0, len(sim.messages)-1).Draw(t, "message")
	o := sim.messages[i].order
	sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	s := sim.servers[o.Server]
	if s.ChecksFences && o.Fence.Compare(s.Order.Fence) <= 0 {
		return
	}
	s.Model, s.Layers, s.Version = o.Engine.Model, o.Engine.Layers, o.Engine.Version
	s.Order = fleet.OrderReport{Fence: o.Fence, State: fleet.OrderDone}
	if s.ChecksFences && o.Fence.Compare(sim.newest[o.Server]) < 0 {
		t.Fatalf("%s carried out an older order", o.Server)
	}
	sim.newest[o.Server] = o.Fence
}

// TestOneOrderAtATimeOverLeadersAndLateOrders changes the leader, the desired state and the
// order of delivery at random, then checks that all servers reach the desired state.
func TestOneOrderAtATimeOverLeadersAndLateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"plan": sim.plan, "plan again": sim.plan, "arrive": sim.deliver, "arrive again": sim.deliver, "elect": sim.elect,
			"lose": func(t *rapid.T) {
				if len(sim.messages) == 0 {
					t.Skip("no order is in transit")
				}
				sim.messages = sim.messages[1:]
			},
			"pass": func(t *rapid.T) {
				sim.now = sim.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "time"))
			},
			"want": func(t *rapid.T) {
				i := rapid.IntRange(0, len(sim.desired)-1).Draw(t, "server")
				sim.desired[i].Engine.Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version"))
			},
		})
		sim.settle(t)
	})
}

// settle delivers all orders and plans again, several times, and then checks that all servers
// hold what is desired.
func (sim *simulation) settle(t *rapid.T) {
	for range 20 {
		for len(sim.messages) > 0 {
			o := sim.messages[0].order
			sim.messages = sim.messages[1:]
			s := sim.servers[o.Server]
			if !s.ChecksFences || o.Fence.Compare(s.Order.Fence) > 0 {
				s.Model, s.Layers, s.Version = o.Engine.Model, o.Engine.Layers, o.Engine.Version
				s.Order = fleet.OrderReport{Fence: o.Fence, State: fleet.OrderDone}
			}
		}
		sim.now = sim.now.Add(options.LeaseTimeout + options.OrderTimeout)
		sim.plan(t)
	}
	for _, d := range sim.desired {
		if got := engineOf(*sim.servers[d.Server]); !equal(got, d.Engine) {
			t.Fatalf("%s holds %+v, should hold %+v", d.Server, got, d.Engine)
		}
	}
}

// Read as a fault: a lowered limit of loads were ignored. It holds for the loads that begin after it, and
// the ones that are open go on.
func TestLoweredLimitOfLoadsHoldsForNewLoads(t *testing.T) {
	is := is.New(t)
	p := New(Options{OrderTimeout: time.Minute, MaxLoads: 3})
	p.SetTerm(start, 1)
	var servers []fleet.BackendServer
	var desired []Desired
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		servers = append(servers, fleet.BackendServer{Name: name, Incarnation: 1, ChecksFences: true})
		desired = append(desired, wants(name, 0, 16))
	}
	is.Equal(len(p.Plan(start, desired, servers)), 3)
	p.SetMaxLoads(1)
	is.Equal(len(p.Plan(start, desired, servers)), 0) // three are open
	finish := func(count int) {
		for i := range servers {
			if o, ok := p.open[servers[i].Name]; ok && count > 0 {
				servers[i].Order = fleet.OrderReport{Fence: o.order.Fence, State: fleet.OrderDone}
				servers[i].Model, servers[i].Layers = "icing", layers(0, 16)
				count--
			}
		}
	}
	finish(2)
	is.Equal(len(p.Plan(start, desired, servers)), 0) // one is open
	finish(1)
	is.Equal(len(p.Plan(start, desired, servers)), 1)
}
