package gateway

import (
	"time"

	"github.com/balsamlb/balsamlb/selfreport"
)

// recordLimit records whether a server has named a limit in its answer to a request that was sent at the
// given time.
func (g *Gateway) recordLimit(sent time.Time, server selfreport.Server, source selfreport.Source, rh ResponseHeader) {
	now := time.Now()
	if !rh.HasLimit {
		g.logEnds(update(g.selfReports, func(r *selfreport.Reports) []selfreport.End { return r.EndLimit(now, sent, server) }))
		return
	}
	d := g.limitDivision()(server.ID)
	if update(g.selfReports, func(r *selfreport.Reports) bool { return r.AddLimit(now, server, source, rh.Limit, d) }) {
		g.options.Log.Info("a backend server takes a limited number of requests", "server", server.ID, "incarnation", server.Incarnation,
			"request", source.Request, "per_second", rh.Limit, "rank", d.Rank, "gateways", d.Instances)
	}
}

// limitDivision returns a function that returns how the limit of a server is divided among the gateways.
func (g *Gateway) limitDivision() func(server string) selfreport.Division {
	rank, gateways := g.options.Mesh.Rank()
	others := g.options.Mesh.PeerUsage()
	return func(server string) selfreport.Division {
		own := g.usage.requests(server)
		return selfreport.Division{Instances: gateways, Rank: rank, Own: own, All: own + others[server].Heads}
	}
}

// divideLimits updates this gateway's parts of the limits that servers have named.
func (g *Gateway) divideLimits(now time.Time) {
	if g.selfReports.count.Load() == 0 {
		return
	}
	limited := update(g.selfReports, (*selfreport.Reports).Limited)
	if len(limited) == 0 {
		return
	}
	// Before the lock is taken again, since choices of servers hold the lock of usage first.
	divisions := make(map[string]selfreport.Division, len(limited))
	division := g.limitDivision()
	for _, id := range limited {
		divisions[id] = division(id)
	}
	update(g.selfReports, func(r *selfreport.Reports) struct{} {
		r.Divide(now, divisions)
		return struct{}{}
	})
}

// isLimited reports whether a server that has named a limit takes no draft from this gateway now. It may
// still be a later server of a path.
func (g *Gateway) isLimited(j *job, v *view, now time.Time, id string) bool {
	verdict := g.selfReports.check(now, v.server(id))
	if verdict == selfreport.Limited {
		g.countHeldBack(j, verdict)
	}
	return verdict == selfreport.Limited
}

// limitedHeadWait returns the time until the first of the servers that begin paths and have named a limit
// takes a draft from this gateway. It returns 0 if a server without a limit begins paths, or none has one.
func (g *Gateway) limitedHeadWait(d *draft, v *view, now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, a := range v.plain[d.service.Name] {
		if a.LayersFrom != 0 || a.LayersTo == 0 || g.isExcluded(v, now, a.ID) {
			continue
		}
		next, mayReturn := g.selfReports.next(now, v.server(a.ID))
		switch left := next.Sub(now); {
		case !mayReturn:
		case left <= 0:
			return 0
		case wait == 0 || left < wait:
			wait = left
		}
	}
	return wait
}
