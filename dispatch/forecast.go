package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/route"
	"github.com/balsamlb/balsamlb/settings"
)

const (
	// pipelineRoom is the number of requests for each slot of a chain with several stages. With
	// one, a server waits about half of the time for what the other stages still run.
	pipelineRoom = 2.25
	// batchGrowth is the usual time of a step with a full batch over that with one request. The
	// controller learns how far it is off.
	batchGrowth = 1.2
)

// forecastTokens is the length of the draft whose times are forecast.
const forecastTokens = 64

// Forecast predicts the room and speed of the backend servers that run a service.
func (d *Dispatcher) Forecast(s settings.Service) admission.Forecast {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := d.fleet.Available()
	var f admission.Forecast
	room := 0.0
	for i := range servers {
		if s.Kind == settings.ServiceDraft && servers[i].Model == s.Model || s.Kind != settings.ServiceDraft && servers[i].Runs(s.Name) {
			f.Slots += servers[i].Slots
			room += requestsPerSlot(s, &servers[i]) * float64(servers[i].Slots)
		}
	}
	now := time.Now()
	if s.Kind != settings.ServiceDraft {
		if c, err := d.router.Call(now, s.Name, servers, nil); err == nil {
			f.FirstToken = c.Cost
		}
		return f
	}
	c, err := d.router.Chain(now, route.Draft{Model: s.Model, Layers: s.Layers, MaxTokens: forecastTokens}, servers)
	if err != nil {
		// Nothing is held back for a model without a chain, so that it is refused at once.
		return admission.Forecast{}
	}
	// What the servers promise; the controller learns how far the times are from that.
	for _, st := range c.Chain {
		part := float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
		f.Gap += time.Duration(float64(st.Server.StepMicros)*part) * time.Microsecond
		f.Prefill += time.Duration(float64(st.Server.PrefillMicros)*part) * time.Microsecond
	}
	f.FirstToken = f.Gap
	f.FullLoadFactor = batchGrowth * room / float64(max(1, f.Slots))
	f.Slots = int(room)
	return f
}

// requestsPerSlot is the number of requests that keep a slot of the server busy.
func requestsPerSlot(s settings.Service, b *fleet.BackendServer) float64 {
	if s.Kind == settings.ServiceDraft && b.Layers.Len() < s.Layers {
		return pipelineRoom
	}
	return 1
}
