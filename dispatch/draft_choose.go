package dispatch

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// Leavers tells which backend servers are leaving.
type Leavers interface {
	Leaving() []string
}

// leaving returns the backend servers that are leaving.
func (d *Dispatcher) leaving() []string {
	l, ok := d.fleet.(Leavers)
	if !ok {
		return nil
	}
	return l.Leaving()
}

// observeStep tells the router how long a stage took, against what its server promises.
func (d *Dispatcher) observeStep(st pipeline.Stage, took time.Duration) {
	share := float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
	promised := time.Duration(float64(st.Server.StepMicros) * share * float64(time.Microsecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ObserveStep(time.Now(), st.Server, promised, took)
}

// chooseStages chooses what takes over a stage: one server that can run its layers, or else
// several that together can.
func (d *Dispatcher) chooseStages(r Draft, a pipeline.Replace) (pipeline.Chain, error) {
	exclusions := d.exclusions(r.fingerprint())
	for _, exclude := range exclusions {
		server, err := d.chooseReplacement(r, a.Chain, a.Stage, slices.Concat(a.Exclude, exclude))
		if err == nil {
			return pipeline.Chain{{Server: server, Layers: a.Layers}}, nil
		}
	}
	a.Exclude = slices.Concat(a.Exclude, exclusions[len(exclusions)-1])
	return d.chooseSplit(r, a)
}

// chooseSplit plans the layers of a stage as the chain of a model that has only those.
func (d *Dispatcher) chooseSplit(r Draft, a pipeline.Replace) (pipeline.Chain, error) {
	exclude := slices.Clone(a.Exclude)
	for _, st := range a.Chain {
		exclude = append(exclude, st.Server.Name)
	}
	able := make(map[string]fleet.BackendServer)
	var clipped []fleet.BackendServer
	for _, s := range d.fleet.Available() {
		if s.Model != r.Service.Model {
			continue
		}
		if c, ok := clip(s, a.Layers); ok {
			able[s.Name] = s
			clipped = append(clipped, c)
		}
	}
	need := r.need(exclude)
	need.Layers = a.Layers.Len()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c, err := d.router.Chain(now, need, clipped)
	if err != nil {
		return nil, err
	}
	chain := slices.Clone(c.Chain)
	for i, st := range chain {
		chain[i].Server = able[st.Server.Name]
		chain[i].Layers = fleet.Range{From: st.Layers.From + a.Layers.From, To: st.Layers.To + a.Layers.From}
		d.router.Started(now, st.Server.Name)
	}
	return chain, nil
}

// isHeld reports whether a server could take the stage over that is only kept for others now.
func (d *Dispatcher) isHeld(r Draft, a pipeline.Replace) bool {
	return slices.ContainsFunc(d.fleet.Available(), func(s fleet.BackendServer) bool {
		inChain := slices.ContainsFunc(a.Chain, func(st pipeline.Stage) bool { return st.Server.Name == s.Name })
		if s.Model != r.Service.Model || inChain || slices.Contains(a.Exclude, s.Name) {
			return false
		}
		c, ok := clip(s, a.Layers)
		return ok && c.Layers.Len() == a.Layers.Len()
	})
}
