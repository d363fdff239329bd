package dispatch

import (
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

func (d *Dispatcher) chooseServer(r Request, exclude []string) (fleet.BackendServer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, err := d.router.Call(r.Service.Name, d.fleet.Available(), exclude)
	if err != nil {
		d.log.Info("found no server", "request", r.ID, "service", r.Service.Name)
		return fleet.BackendServer{}, err
	}
	d.router.Started(c.Chosen.Name)
	d.log.Info("chose a server", "request", r.ID, "service", r.Service.Name, "server", c.Chosen.Name,
		"cost_us", c.Cost.Microseconds(), "runner_up", c.RunnerUp, "runner_up_cost_us", c.RunnerUpCost.Microseconds())
	return c.Chosen, nil
}

func (d *Dispatcher) chooseChain(r Request, promptTokens int) (pipeline.Chain, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	chain, err := d.router.Chain(r.Service.Model, r.Service.Layers, d.fleet.Available(), promptTokens)
	if err != nil {
		d.log.Info("found no chain", "request", r.ID, "model", r.Service.Model)
		return nil, err
	}
	names := make([]string, len(chain))
	for i, st := range chain {
		d.router.Started(st.Server.Name)
		names[i] = st.Server.Name
	}
	d.log.Info("chose a chain", "request", r.ID, "model", r.Service.Model, "servers", names)
	return chain, nil
}

func (d *Dispatcher) ended(servers ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range servers {
		d.router.Ended(s)
	}
}

// InFlight returns the work that this instance has given the server.
func (d *Dispatcher) InFlight(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.InFlight(server)
}
