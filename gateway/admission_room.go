package gateway

import (
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/routing"
)

// updateAdmission passes the room of the servers and the demand at other gateways on to the admission engine.
func (g *Gateway) updateAdmission(now time.Time) {
	v := g.view.Load()
	if v.table == nil {
		return
	}
	others, isHeard := g.othersDemand(v, now)
	g.admitter.setCalm(now, g.options.Mesh.PeerDemand().Demand, isHeard)
	g.admitter.mu.Lock()
	g.admitter.controller.SetPeerUsage(othersName, others)
	g.admitter.mu.Unlock()
	v.table.Services(func(s *routing.Service) {
		if !v.table.IsRanked(s.Name) {
			return
		}
		f := g.forecast(v, s, now, others)
		a := g.admitter
		a.mu.Lock()
		a.patienceOf(s.Name)
		a.controller.SetForecast(s.Name, f)
		level, ok := a.controller.Level(s.Name)
		changed := ok && level.Rank != a.levels[s.Name].Rank
		a.levels[s.Name] = level
		inTime, late := a.controller.Held(s.Name)
		a.mu.Unlock()
		g.metrics.Admission.SetHeld(s.Name, inTime, late)
		g.metrics.Admission.SetRoom(s.Name, float64(f.Slots), level.Rank)
		if changed {
			g.options.Log.Info("the least urgent rank that is admitted whole has changed", "service", s.Name, "rank", level.Rank, "room", f.Slots,
				"late_readers", f.LateReaders, "demand", level.Demand, "running_in_time", inTime, "running_late", late, "hears_others", isHeard)
		}
	})
}

// ensureForecast tells the engine the room of a service if it knows none: the requests that have waited for the first
// routing document come all at once.
func (g *Gateway) ensureForecast(service string, now time.Time) {
	a := g.admitter
	a.firstForecast.Lock()
	defer a.firstForecast.Unlock()
	if a.needsForecast(service) {
		g.updateAdmission(now)
	}
}

// othersDemand returns the demand at the other gateways of this data centre. If it wasn't heard for a while,
// each of them is taken to have this instance's.
func (g *Gateway) othersDemand(v *view, now time.Time) (admission.Usage, bool) {
	heard := g.options.Mesh.PeerDemand()
	isHeard := now.Sub(heard.At) <= demandTTL
	times := 1
	demand := heard.Demand
	if !isHeard {
		demand = g.admitter.demand()
		times = g.gatewaysHere(v) - 1
	}
	var u admission.Usage
	for _, d := range demand {
		u = append(u, admission.WorkspaceUsage{
			Pool: d.Service, Rank: d.Rank, Share: 1, Running: times * d.Running, Waiting: times * d.Waiting, Arriving: float64(times) * d.Arriving,
		})
	}
	return u, isHeard
}

// gatewaysHere returns the number of gateways of this data centre, if they are spread evenly.
func (g *Gateway) gatewaysHere(v *view) int {
	return max(1, (g.options.Mesh.Gateways()+v.dataCentres-1)/max(1, v.dataCentres))
}

// forecast returns how many requests of a service the gateways of this data centre can run together, those that
// run included, and how fast.
func (g *Gateway) forecast(v *view, s *routing.Service, now time.Time, others admission.Usage) admission.Forecast {
	if s.Engine == nil {
		// Without a time: a plain request is short, and one slow server says nothing about the others.
		return admission.Forecast{Slots: g.plainSlots(v, s.Name)}
	}
	f := admission.Forecast{FirstToken: typicalFirstAnswer, Gap: typicalGap}
	running := 0
	for _, u := range others {
		if u.Pool == s.Name {
			running += u.Running
		}
	}
	g.admitter.mu.Lock()
	for _, u := range g.admitter.controller.RankUsage(s.Name) {
		running += u.Running
	}
	g.admitter.mu.Unlock()
	free, reads := g.freeRoom(v, s.Name, now)
	f.Slots = max(1, running+int(free))
	if s.Engine.MeanAnswerTokens > 0 {
		f.Readers, f.LateReaders = g.readers(v, s.Name, reads)
	}
	return f
}

// freeRoom returns how many further drafts the gateways of this data centre may run: the free room of its own
// servers and an equal part of what other data centres have free. reads is how many prompts of mean length its
// servers read a second.
func (g *Gateway) freeRoom(v *view, service string, now time.Time) (free, reads float64) {
	s := v.searches[service]
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.usage.apply(s.paths, g.options.Mesh.PeerUsage())
	avoid := func(id string) bool { return g.isExcluded(v, now, id) }
	for _, centre := range s.paths.Centres() {
		room := s.paths.Room(centre, avoid)
		if centre == g.options.DataCentre {
			free += room.Free
			reads = s.paths.ReadRate(centre, avoid)
			g.metrics.Admission.SetFree(service, room.Free, string(room.Limit))
		} else {
			free += room.Free / float64(max(1, v.dataCentres))
		}
	}
	return free, reads
}

// readers returns how many drafts may read their prompts here at a time, so that those of all gateways take a third of
// the shortest objective, and how many of them may be late ones, half of that. What waits for longer waits here, where
// it is ordered: at the servers it would hold up the drafts that run, too.
func (g *Gateway) readers(v *view, service string, reads float64) (all, late int) {
	objective := v.table.ShortestObjective(service)
	if objective <= 0 || reads <= 0 {
		return 0, 0
	}
	here := reads * objective.Seconds() / float64(g.gatewaysHere(v))
	return max(1, int(here/3)), max(1, int(here/6))
}

// plainSlots returns how many requests of a plain service the gateways of this data centre may run at a time: as many
// as its servers run, and an equal part of what those of other data centres do. Servers that have failed lately
// count, since they are used when the others are full.
func (g *Gateway) plainSlots(v *view, service string) int {
	n := 0.0
	for _, a := range v.plain[service] {
		slots := float64(max(1, a.Slots))
		if a.DataCentre != g.options.DataCentre {
			slots /= float64(max(1, v.dataCentres))
		}
		n += slots
	}
	return max(1, int(n))
}
