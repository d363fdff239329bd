// Package route chooses the backend server for a call and the chain for a draft by predicted
// cost.
//
// Load reports arrive with a lag, and every instance sees the same ones. A router therefore adds
// the local requests since the report, and chooses at random among servers whose costs are nearly
// equal, so that many routers don't all choose the same server.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
)

// idleCallTime is the assumed duration of a plain call on an idle server.
const idleCallTime = time.Millisecond

// Options configure a router.
type Options struct {
	// DataCentre is the data centre of the router.
	DataCentre string
	// Seed makes the choices among nearly equal servers reproducible.
	Seed uint64
	// Links holds the links between data centres. Pairs without one use DefaultLink.
	Links Links
}

// Router chooses servers by predicted cost. It is not safe for concurrent use.
type Router struct {
	dataCentre      string
	links           Links
	random          *rand.Rand
	loads           map[string]*serverLoad
	stepSlowdowns   *slowdowns
	callSlowdowns   *slowdowns
	prefixes        *prefixes
	roundRobin      bool
	routers         int
	roundRobinTurns map[string]int // by the name of the first candidate
}

// New returns a router for an instance.
func New(o Options) *Router {
	return &Router{
		dataCentre:      o.DataCentre,
		links:           o.Links,
		random:          rand.New(rand.NewPCG(o.Seed, o.Seed)),
		loads:           make(map[string]*serverLoad),
		stepSlowdowns:   newSlowdowns(),
		callSlowdowns:   newSlowdowns(),
		prefixes:        newPrefixes(),
		roundRobinTurns: make(map[string]int),
		routers:         1,
	}
}

// UseRoundRobin makes the router choose servers in round-robin order, whatever they cost. It is
// the baseline of a benchmark.
func (r *Router) UseRoundRobin() { r.roundRobin = true }

// SetRouters sets the number of instances that choose among the same servers. 0 counts as 1.
func (r *Router) SetRouters(n int) { r.routers = max(1, n) }

// Reason is the part of the cost that decided a choice.
type Reason string

// The reasons of a choice.
const (
	// ReasonOnly means that there was no other server.
	ReasonOnly   Reason = "only choice"
	ReasonQueue  Reason = "shorter queue"
	ReasonSpeed  Reason = "faster accelerator"
	ReasonLink   Reason = "nearer link"
	ReasonPrefix Reason = "cached prefix"
	// ReasonSlowdown means that the runner-up has been slower than announced.
	ReasonSlowdown Reason = "runner-up is slow"
	// ReasonRandom means that the costs were nearly equal.
	ReasonRandom Reason = "random among equals"
)

// Choice is a chosen server, with the runner-up for the log.
type Choice struct {
	Chosen       fleet.BackendServer
	Cost         time.Duration
	RunnerUp     string
	RunnerUpCost time.Duration
	Reason       Reason
}

// Call chooses the server for a plain call. exclude names servers that must not be chosen. If there
// is no server to choose, the error is an *outcome.Error with outcome.NotRun.
func (r *Router) Call(now time.Time, service string, servers []fleet.BackendServer, exclude []string) (Choice, error) {
	r.pruneServers(servers)
	var candidates []candidate
	for i := range servers {
		s := &servers[i]
		if s.Runs(service) && !contains(exclude, s.Name) {
			candidates = append(candidates, candidate{server: s, cost: r.callCost(now, s)})
		}
	}
	if len(candidates) == 0 {
		return Choice{}, errNoServer("no backend server runs " + service)
	}
	return r.pick(candidates), nil
}

func (r *Router) callCost(now time.Time, s *fleet.BackendServer) cost {
	queue := time.Duration(r.estimateRequests(now, s, 1) * float64(idleCallTime) / float64(max(1, s.Slots)))
	ratio := r.callSlowdowns.ratio(now, s)
	total := time.Duration(float64(idleCallTime+queue) * ratio)
	return cost{
		queue:    queue,
		speed:    idleCallTime,
		link:     2 * r.links.between(r.dataCentre, s.DataCentre).Delay,
		slowdown: total - idleCallTime - queue,
	}
}

// retryAfterNoServer is the time after which a caller should retry when no server was found.
const retryAfterNoServer = 2 * time.Second

func errNoServer(message string) error {
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Code:       outcome.CodeNoServer,
		Message:    message,
		RetryAfter: retryAfterNoServer,
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
