package daemon

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/settings"
)

// forecastInterval is how often the room and speed of the backend servers are worked out.
const forecastInterval = 500 * time.Millisecond

// runForecasts keeps the admitter informed about the backend servers until ctx ends.
func (d *Daemon) runForecasts(ctx context.Context) error {
	ticker := time.NewTicker(forecastInterval)
	defer ticker.Stop()
	for {
		_, all := d.shared.instanceCounts(time.Now())
		d.dispatcher.SetRouters(all)
		for _, s := range d.shared.Intent().Services {
			d.admitter.setForecast(s.Pool(), d.forecast(s))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// forecast returns the room and speed of the servers of a service that this data centre counts on.
func (d *Daemon) forecast(s settings.Service) admission.Forecast {
	here, all := d.shared.instanceCounts(time.Now())
	return scaled(d.dispatcher.Forecast(s), float64(here)/float64(all))
}

// scaled returns the forecast with the data centre's part of the room. Room that is left over
// stays at least one request.
func scaled(f admission.Forecast, part float64) admission.Forecast {
	if f.Slots > 0 {
		f.Slots = max(1, int(float64(f.Slots)*part))
	}
	return f
}

// instanceCounts returns the instances of the data centre and of the region that are heard. Usage is
// exchanged within a data centre, and the balancer spreads callers evenly over instances, so
// each data centre takes the part of the backend servers that its instances stand for.
func (s *shared) instanceCounts(now time.Time) (here, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	here, all = 1, 1
	for _, m := range s.table.Members() {
		if m.Leaving || m.Region != s.process.Region || !membership.IsAlive(m, now) {
			continue
		}
		all++
		if m.DataCentre == s.process.DataCentre {
			here++
		}
	}
	return here, all
}

// LiveInstances returns the instances of the data centre that are heard, this one included.
func (s *shared) LiveInstances() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := []string{s.process.Name}
	for _, m := range s.table.Members() {
		if m.DataCentre == s.process.DataCentre && membership.IsAlive(m, now) {
			out = append(out, m.Name)
		}
	}
	return out
}

var _ membership.UsageExchange = (*admitter)(nil)
