package dispatch

import (
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/selfreport"
)

// recordLimit records whether a server has named a limit in its answer to a request that was sent at the
// given time.
func (d *Dispatcher) recordLimit(sent time.Time, request string, s fleet.BackendServer, said backend.SelfReport) {
	if !said.IsHeard {
		return
	}
	now, server := time.Now(), reporterOf(s)
	division := d.limitDivision()
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if !said.HasLimit {
		d.logEnds(sr.reports.EndLimit(now, sent, server))
		return
	}
	if sr.reports.AddLimit(now, server, selfreport.Source{Kind: "answer", Request: request}, said.Limit, division) {
		d.log.Info("a backend server takes a limited number of requests", "server", s.Name, "incarnation", s.Incarnation,
			"request", request, "per_second", said.Limit, "rank", division.Rank, "instances", division.Instances)
	}
}

// limitDivision returns how the limit of a server is divided among the instances of the data centre. They
// don't know each other's requests in flight, so each gets the same part.
func (d *Dispatcher) limitDivision() selfreport.Division {
	lister, ok := d.fleet.(InstanceLister)
	if !ok {
		return selfreport.Division{Instances: 1}
	}
	names := slices.Sorted(slices.Values(lister.LiveInstances()))
	return selfreport.Division{Instances: max(1, len(names)), Rank: slices.Index(names, d.instance)}
}

// divideLimits updates this instance's parts of the limits that servers have named. The caller holds the
// lock of the reports.
func (d *Dispatcher) divideLimits(now time.Time) {
	divisions := make(map[string]selfreport.Division)
	for _, id := range d.selfReports.reports.Limited() {
		divisions[id] = d.limitDivision()
	}
	d.selfReports.reports.Divide(now, divisions)
}
