package dispatch

import (
	"slices"

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

// chooseStages chooses the servers that take over a range of layers. The router plans it as
// the chain of a model that has only those layers.
func (d *Dispatcher) chooseStages(r Draft, layers fleet.Range, exclude []string) (pipeline.Chain, error) {
	able := make(map[string]fleet.BackendServer)
	var clipped []fleet.BackendServer
	for _, s := range d.fleet.Available() {
		if s.Model != r.Service.Model || slices.Contains(exclude, s.Name) {
			continue
		}
		if c, ok := clip(s, layers); ok {
			able[s.Name] = s
			clipped = append(clipped, c)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	chain, err := d.router.Chain(r.Service.Model, layers.Len(), clipped, r.PromptTokens)
	if err != nil {
		return nil, err
	}
	for i, st := range chain {
		chain[i].Server = able[st.Server.Name]
		chain[i].Layers = fleet.Range{From: st.Layers.From + layers.From, To: st.Layers.To + layers.From}
		d.router.Started(st.Server.Name)
	}
	return chain, nil
}
