// Package route chooses the backend server for a call and the chain for a draft.
package route

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
)

// callMicros is the assumed time of one plain call, in microseconds.
const callMicros = 1000

// Router chooses servers by predicted cost. It is not safe for concurrent use.
type Router struct {
	// dataCentre is the router's own; its servers are preferred.
	dataCentre string
	inFlight   map[string]int
}

// New returns a router for an instance of the data centre.
func New(dataCentre string) *Router {
	return &Router{dataCentre: dataCentre, inFlight: make(map[string]int)}
}

// Choice is a decision, with the runner-up for the log.
type Choice struct {
	Chosen       fleet.BackendServer
	Cost         time.Duration
	RunnerUp     string
	RunnerUpCost time.Duration
}

// Call chooses the server for a plain call. exclude names servers that must not be chosen.
func (r *Router) Call(service string, servers []fleet.BackendServer, exclude []string) (Choice, error) {
	var c Choice
	found := false
	for _, s := range servers {
		if !s.Runs(service) || contains(exclude, s.Name) {
			continue
		}
		cost := r.callCost(s)
		if !found || cost < c.Cost {
			c = Choice{Chosen: s, Cost: cost, RunnerUp: c.Chosen.Name, RunnerUpCost: c.Cost}
			found = true
			continue
		}
		if c.RunnerUp == "" || cost < c.RunnerUpCost {
			c.RunnerUp = s.Name
			c.RunnerUpCost = cost
		}
	}
	if !found {
		return c, errNoServer("no backend server runs " + service)
	}
	return c, nil
}

// Chain chooses the chain for a draft.
func (r *Router) Chain(model string, layers int, servers []fleet.BackendServer, prompt int) (pipeline.Chain, error) {
	var able []fleet.BackendServer
	for _, s := range servers {
		if s.Model == model {
			able = append(able, s)
		}
	}
	chain, err := pipeline.Plan(able, layers, func(st pipeline.Stage) time.Duration {
		return r.stageCost(st, prompt)
	})
	if err != nil {
		return nil, errNoServer(err.Error())
	}
	return chain, nil
}

// Started notes that this instance has given the server work.
func (r *Router) Started(server string) { r.inFlight[server]++ }

// Ended notes that the work has ended.
func (r *Router) Ended(server string) {
	r.inFlight[server]--
	if r.inFlight[server] <= 0 {
		delete(r.inFlight, server)
	}
}

// InFlight returns the work that this instance has given the server.
func (r *Router) InFlight(server string) int { return r.inFlight[server] }

func (r *Router) callCost(s fleet.BackendServer) time.Duration {
	work := 1 + r.inFlight[s.Name] + s.Load.Running + s.Load.Queued
	return r.linkDelay(s) + time.Duration(work)*callMicros*time.Microsecond
}

// stageCost is the queue before the stage, its prefill and one decoding step.
func (r *Router) stageCost(st pipeline.Stage, prompt int) time.Duration {
	s := st.Server
	waiting := r.inFlight[s.Name] + s.Load.Running + s.Load.Queued
	part := float64(st.Layers.Len()) / float64(s.Layers.Len())
	step := time.Duration(float64(s.StepMicros) * part)
	prefill := time.Duration(float64(s.PrefillMicros*prompt) * part)
	queue := step * time.Duration(waiting) / time.Duration(max(1, s.Slots))
	return r.linkDelay(s) + (step+prefill+queue)*time.Microsecond
}

// remoteDelay is the assumed delay to a server in another data centre.
const remoteDelay = time.Millisecond

func (r *Router) linkDelay(s fleet.BackendServer) time.Duration {
	if s.DataCentre == r.dataCentre {
		return 0
	}
	return remoteDelay
}

// retryAfterNoServer is when a caller should come back after a server was missing.
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
