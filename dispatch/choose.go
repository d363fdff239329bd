package dispatch

import (
	"hash/maphash"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/route"
)

// chooseServer chooses and reserves a server for a plain call; releaseServers releases it.
func (d *Dispatcher) chooseServer(r Request, exclude []string) (fleet.BackendServer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c, err := d.router.Call(now, r.Service.Name, d.available(), exclude)
	if err != nil {
		d.log.Info("no backend server can take the request", "request", r.ID, "service", r.Service.Name)
		return fleet.BackendServer{}, err
	}
	d.router.Started(now, c.Chosen.Name)
	d.logChoice("chose backend server", r, c)
	return c.Chosen, nil
}

func (d *Dispatcher) logChoice(message string, r Request, c route.Choice) {
	d.log.Info(message, "request", r.ID, "service", r.Service.Name, "server", c.Chosen.Name,
		"cost_us", c.Cost.Microseconds(), "runner_up", c.RunnerUp, "runner_up_cost_us", c.RunnerUpCost.Microseconds(), "why", c.Reason)
}

// chooseChain chooses and reserves a chain; releaseServers releases each of its servers.
func (d *Dispatcher) chooseChain(r Draft, exclude []string) (route.ChainChoice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	req := r.requirements(exclude)
	c, err := d.router.Chain(now, req, d.available())
	if err != nil {
		d.log.Info("no chain found", "request", r.ID, "model", r.Service.Model)
		return c, err
	}
	names := make([]string, len(c.Chain))
	for i, st := range c.Chain {
		d.router.Started(now, st.Server.Name)
		d.router.Cached(now, st.Server.Name, req.Prefix, r.PromptTokens)
		names[i] = st.Server.Name
	}
	d.log.Info("chose chain", "request", r.ID, "model", r.Service.Model, "servers", names,
		"first_token_us", c.FirstToken.Microseconds(), "gap_us", c.Gap.Microseconds(),
		"runner_up", c.RunnerUp, "runner_up_cost_us", c.RunnerUpCost.Microseconds(), "why", c.Reason)
	return c, nil
}

// chooseReplacement chooses and reserves a server for one stage of a running draft.
func (d *Dispatcher) chooseReplacement(r Draft, chain pipeline.Chain, stage int, exclude []string) (fleet.BackendServer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c, err := d.router.Replacement(now, r.requirements(exclude), chain, stage, d.available())
	if err != nil {
		d.log.Info("no replacement server found", "request", r.ID, "stage", stage)
		return fleet.BackendServer{}, err
	}
	d.router.Started(now, c.Chosen.Name)
	d.logChoice("chose replacement server", r.Request, c)
	return c.Chosen, nil
}

func (d *Dispatcher) releaseServers(servers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range servers {
		d.router.Ended(s)
	}
}

// observeCall passes the duration of a plain call to the router.
func (d *Dispatcher) observeCall(s fleet.BackendServer, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ObserveCall(time.Now(), s, took)
}

// SetRouters sets the number of instances that route to the same servers.
func (d *Dispatcher) SetRouters(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetRouters(n)
}

// InFlight returns the number of requests that this instance has in flight on the server.
func (d *Dispatcher) InFlight(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.InFlight(server)
}

// prefixBytes is the length of the prompt prefix that is used as the prefix cache key.
const prefixBytes = 256

var prefixSeed = maphash.MakeSeed()

func (r Draft) requirements(exclude []string) route.Draft {
	return route.Draft{
		Model:        r.Service.Model,
		Layers:       r.Service.Layers,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Prefix:       r.prefix(),
		Exclude:      exclude,
	}
}

// prefix returns the cache key of the prompt's prefix, or 0 if the prompt is too short to be
// worth caching.
func (r Draft) prefix() route.PrefixKey {
	if len(r.Prompt) < prefixBytes {
		return 0
	}
	return route.PrefixKey(maphash.String(prefixSeed, r.Prompt[:prefixBytes]))
}
