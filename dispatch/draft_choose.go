package dispatch

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// LeavingLister is an optional interface of a Fleet. It lists the backend servers that are leaving.
type LeavingLister interface {
	Leaving() []string
}

// leaving returns the names of the backend servers that are leaving, as they have announced or said in
// an answer.
func (d *Dispatcher) leaving() []string {
	return append(d.announcedLeaving(), d.selfReports.reportedLeaving()...)
}

// announcedLeaving returns the names of the backend servers that have announced that they are leaving.
func (d *Dispatcher) announcedLeaving() []string {
	lister, ok := d.fleet.(LeavingLister)
	if !ok {
		return nil
	}
	return slices.Clone(lister.Leaving())
}

// observeStep passes the duration of a stage's step to the router, along with the duration that
// the server announced.
func (d *Dispatcher) observeStep(st pipeline.Stage, took time.Duration) {
	fraction := float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
	announced := time.Duration(float64(st.Server.StepMicros) * fraction * float64(time.Microsecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ObserveStep(time.Now(), st.Server, announced, took)
}

// chooseStages chooses the replacement for a stage: one server that can run all of its layers,
// or else several servers that can run them together.
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

// chooseSplit plans a chain over the layers of one stage, as if the model had only those layers.
func (d *Dispatcher) chooseSplit(r Draft, a pipeline.Replace) (pipeline.Chain, error) {
	exclude := slices.Clone(a.Exclude)
	for _, st := range a.Chain {
		exclude = append(exclude, st.Server.Name)
	}
	unclipped := make(map[string]fleet.BackendServer)
	var clipped []fleet.BackendServer
	for _, s := range d.available() {
		if s.Model != r.Service.Model {
			continue
		}
		if c, ok := clip(s, a.Layers); ok {
			unclipped[s.Name] = s
			clipped = append(clipped, c)
		}
	}
	req := r.requirements(exclude)
	req.Layers = a.Layers.Len()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c, err := d.router.Chain(now, req, clipped)
	if err != nil {
		return nil, err
	}
	chain := slices.Clone(c.Chain)
	for i, st := range chain {
		chain[i].Server = unclipped[st.Server.Name]
		chain[i].Layers = fleet.Range{From: st.Layers.From + a.Layers.From, To: st.Layers.To + a.Layers.From}
		d.router.Started(now, st.Server.Name)
	}
	return chain, nil
}

// hasReservedReplacement reports whether some server could take over the stage if that server were
// not reserved at the moment.
func (d *Dispatcher) hasReservedReplacement(r Draft, a pipeline.Replace) bool {
	return slices.ContainsFunc(d.available(), func(s fleet.BackendServer) bool {
		inChain := slices.ContainsFunc(a.Chain, func(st pipeline.Stage) bool { return st.Server.Name == s.Name })
		if s.Model != r.Service.Model || inChain || slices.Contains(a.Exclude, s.Name) {
			return false
		}
		c, ok := clip(s, a.Layers)
		return ok && c.Layers.Len() == a.Layers.Len()
	})
}
