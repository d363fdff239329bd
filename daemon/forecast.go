package daemon

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/settings"
)

// forecastInterval is how often the capacity and speed of the backend servers are estimated.
const forecastInterval = 500 * time.Millisecond

// runForecasts passes forecasts of the backend servers to the admitter, and the number of instances
// to the dispatcher, until ctx ends.
func (d *Daemon) runForecasts(ctx context.Context) error {
	ticker := time.NewTicker(forecastInterval)
	defer ticker.Stop()
	for {
		_, total := d.state.instanceCounts(time.Now())
		d.dispatcher.SetRouters(total)
		for _, s := range d.state.Config().Services {
			d.admitter.setForecast(s.Pool(), d.forecast(s))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// forecast returns the speed of the servers of a service, and the part of their capacity that this
// data centre may use.
func (d *Daemon) forecast(s settings.Service) admission.Forecast {
	local, total := d.state.instanceCounts(time.Now())
	return scaleForecast(d.dispatcher.Forecast(s), float64(local)/float64(total))
}

// scaleForecast reduces the free slots to the data centre's share. A pool that has free slots keeps at
// least one of them.
func scaleForecast(f admission.Forecast, share float64) admission.Forecast {
	if f.Slots > 0 {
		f.Slots = max(1, int(float64(f.Slots)*share))
	}
	return f
}

// instanceCounts returns the numbers of live instances in the data centre and in the region, including
// this one. Usage is exchanged only within a data centre, so an instance doesn't know the usage of
// other data centres. Since the load balancer spreads callers evenly over the instances, the share of
// the capacity that a data centre may use is its share of the instances.
func (s *instanceState) instanceCounts(now time.Time) (local, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	local, total = 1, 1
	for _, m := range s.table.Members() {
		if m.Leaving || m.Region != s.process.Region || !membership.IsAlive(m, now) {
			continue
		}
		total++
		if m.DataCentre == s.process.DataCentre {
			local++
		}
	}
	return local, total
}

// LiveInstances returns the names of the live instances of the data centre, including this one.
func (s *instanceState) LiveInstances() []string {
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
