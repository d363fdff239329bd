package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/route"
	"github.com/balsamlb/balsamlb/settings"
)

// forecastTokens is the length of the draft whose times are forecast.
const forecastTokens = 64

// Forecast predicts the room and speed of the backend servers that run a service.
func (d *Dispatcher) Forecast(s settings.Service) admission.Forecast {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := d.fleet.Available()
	var f admission.Forecast
	for i := range servers {
		if s.Kind == settings.ServiceDraft && servers[i].Model == s.Model || s.Kind != settings.ServiceDraft && servers[i].Runs(s.Name) {
			f.Slots += servers[i].Slots
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
	f.FirstToken = c.FirstToken
	f.Gap = c.Gap
	for _, st := range c.Chain {
		part := float64(st.Layers.Len()) / float64(st.Server.Layers.Len())
		f.Prefill += time.Duration(float64(st.Server.PrefillMicros)*part) * time.Microsecond
	}
	return f
}
