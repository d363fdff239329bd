package dispatch

import (
	"hash/maphash"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/route"
)

// chooseServer chooses and reserves a server for a plain call; ended releases it.
func (d *Dispatcher) chooseServer(r Request, exclude []string) (fleet.BackendServer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c, err := d.router.Call(now, r.Service.Name, d.fleet.Available(), exclude)
	if err != nil {
		d.log.Info("found no server", "request", r.ID, "service", r.Service.Name)
		return fleet.BackendServer{}, err
	}
	d.router.Started(now, c.Chosen.Name)
	d.logChoice("chose a server", r, c)
	return c.Chosen, nil
}

func (d *Dispatcher) logChoice(message string, r Request, c route.Choice) {
	d.log.Info(message, "request", r.ID, "service", r.Service.Name, "server", c.Chosen.Name,
		"cost_us", c.Cost.Microseconds(), "runner_up", c.RunnerUp, "runner_up_cost_us", c.RunnerUpCost.Microseconds(), "why", c.Reason)
}

// chooseChain chooses and reserves a chain; ended releases each of its servers.
func (d *Dispatcher) chooseChain(r Draft, exclude []string) (route.ChainChoice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	need := r.need(exclude)
	c, err := d.router.Chain(now, need, d.fleet.Available())
	if err != nil {
		d.log.Info("found no chain", "request", r.ID, "model", r.Service.Model)
		return c, err
	}
	names := make([]string, len(c.Chain))
	for i, st := range c.Chain {
		d.router.Started(now, st.Server.Name)
		d.router.Cached(now, st.Server.Name, need.Prefix, r.PromptTokens)
		names[i] = st.Server.Name
	}
	d.log.Info("chose a chain", "request", r.ID, "model", r.Service.Model, "servers", names,
		"first_token_us", c.FirstToken.Microseconds(), "gap_us", c.Gap.Microseconds(),
		"runner_up", c.RunnerUp, "runner_up_cost_us", c.RunnerUpCost.Microseconds(), "why", c.Reason)
	return c, nil
}

// chooseReplacement chooses and reserves a server for one stage of a running draft.
func (d *Dispatcher) chooseReplacement(r Draft, chain pipeline.Chain, stage int, exclude []string) (fleet.BackendServer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c, err := d.router.Replacement(now, r.need(exclude), chain, stage, d.fleet.Available())
	if err != nil {
		d.log.Info("found no replacement", "request", r.ID, "stage", stage)
		return fleet.BackendServer{}, err
	}
	d.router.Started(now, c.Chosen.Name)
	d.logChoice("chose a replacement", r.Request, c)
	return c.Chosen, nil
}

func (d *Dispatcher) ended(servers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range servers {
		d.router.Ended(s)
	}
}

// observeCall tells the router how long a plain call took.
func (d *Dispatcher) observeCall(s fleet.BackendServer, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ObserveCall(time.Now(), s, took)
}

// SetRouters sets the number of instances that choose among the same servers.
func (d *Dispatcher) SetRouters(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.SetRouters(n)
}

// InFlight returns the work that this instance has given the server.
func (d *Dispatcher) InFlight(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.InFlight(server)
}

// prefixBytes is the length of a prompt's beginning that identifies it.
const prefixBytes = 256

var prefixSeed = maphash.MakeSeed()

func (r Draft) need(exclude []string) route.Draft {
	return route.Draft{
		Model:        r.Service.Model,
		Layers:       r.Service.Layers,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Prefix:       r.prefix(),
		Exclude:      exclude,
	}
}

// prefix identifies the beginning of a prompt that is long enough to be worth a cache.
func (r Draft) prefix() route.PrefixKey {
	if len(r.Prompt) < prefixBytes {
		return 0
	}
	return route.PrefixKey(maphash.String(prefixSeed, r.Prompt[:prefixBytes]))
}
