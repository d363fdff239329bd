package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/route"
	"github.com/balsamlb/balsamlb/settings"
)

const (
	// pipelineRequestsPerSlot is the number of requests that keep one slot busy in a chain of
	// several stages. With one request per slot, a server is idle for about half of the time
	// while the other stages run.
	pipelineRequestsPerSlot = 2.25
	// batchGrowth is the typical duration of a step with a full batch relative to a step with one
	// request. The admission controller learns how far the actual growth deviates from this value.
	batchGrowth = 1.2
)

// forecastTokens is the length of the draft for which a forecast is made.
const forecastTokens = 64

// Forecast predicts the capacity and speed of the backend servers that run a service.
func (d *Dispatcher) Forecast(s settings.Service) admission.Forecast {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := d.available()
	var f admission.Forecast
	capacity := 0.0
	for i := range servers {
		if s.Kind == settings.ServiceDraft && servers[i].Model == s.Model || s.Kind != settings.ServiceDraft && servers[i].Runs(s.Name) {
			f.Slots += servers[i].Slots
			capacity += requestsPerSlot(s, &servers[i]) * float64(servers[i].Slots)
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
		// Without a chain the forecast is empty, so that requests are refused immediately
		// rather than queued.
		return admission.Forecast{}
	}
	// These are the announced times. The admission controller learns how far the actual times
	// deviate from them.
	for _, st := range c.Chain {
		fraction := float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
		f.Gap += time.Duration(float64(st.Server.StepMicros)*fraction) * time.Microsecond
		f.Prefill += time.Duration(float64(st.Server.PrefillMicros)*fraction) * time.Microsecond
	}
	f.FirstToken = f.Gap
	f.FullLoadFactor = batchGrowth * capacity / float64(max(1, f.Slots))
	f.Slots = int(capacity)
	return f
}

// requestsPerSlot returns the number of requests that keep one slot of the server busy.
func requestsPerSlot(s settings.Service, b *fleet.BackendServer) float64 {
	if s.Kind == settings.ServiceDraft && b.Layers.Len() < s.Layers {
		return pipelineRequestsPerSlot
	}
	return 1
}
