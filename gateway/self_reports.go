package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/selfreport"
)

// errHeldBack means that a request was not sent because of what its server has said about itself. The
// choice of another server is not charged to the retry budget.
var errHeldBack = fmt.Errorf("gateway: the backend server takes no requests now: %w", errRetryAllowed)

// selfReports holds what backend servers have said about themselves to this instance. It is safe for
// concurrent use.
type selfReports struct {
	// count is the number of servers with reports, readable without the lock.
	count atomic.Int64

	mu      sync.Mutex
	reports *selfreport.Reports
}

func newSelfReports() *selfReports { return &selfReports{reports: selfreport.New()} }

// update calls f with the reports and returns what f returns.
func update[T any](s *selfReports, f func(*selfreport.Reports) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.count.Store(int64(s.reports.Len())) }()
	return f(s.reports)
}

// check returns whether a request may be sent to a server.
func (s *selfReports) check(now time.Time, server selfreport.Server) selfreport.Verdict {
	if s.count.Load() == 0 {
		return selfreport.Free
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Check(now, server)
}

// next returns when a server may get a request again. It returns false for a server that leaves.
func (s *selfReports) next(now time.Time, server selfreport.Server) (time.Time, bool) {
	if s.count.Load() == 0 {
		return now, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Next(now, server)
}

// pauseEnd returns when a server may get work again, whatever its limit on requests. It returns false for a
// server that leaves.
func (s *selfReports) pauseEnd(now time.Time, server selfreport.Server) (time.Time, bool) {
	if s.count.Load() == 0 {
		return now, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.PauseEnd(now, server)
}

// returns returns when servers that want nothing now may get requests again, in order.
func (s *selfReports) returns(now time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Returns(now)
}

// begin records that a request is sent to servers. If one of them takes no requests now, begin returns
// its verdict and index instead, and records nothing.
func (s *selfReports) begin(now time.Time, servers []selfreport.Server) (trials []selfreport.Trial, v selfreport.Verdict, i int) {
	if s.count.Load() == 0 {
		return nil, selfreport.Free, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, server := range servers {
		v := s.reports.Check(now, server)
		if v == selfreport.Free || v == selfreport.Limited && i > 0 {
			continue // the limit is on requests, which only the first server gets
		}
		return nil, v, i
	}
	s.reports.TakeRequest(now, servers[0])
	return s.reports.Begin(now, servers...), selfreport.Free, 0
}

// recordSelfReport records what a server has said about itself in an answer to a request that was sent at
// the given time.
func (g *Gateway) recordSelfReport(j *job, sent time.Time, server selfreport.Server, status int, rh ResponseHeader) {
	if !rh.IsLeaving && !rh.HasPause && !rh.HasLimit && g.selfReports.count.Load() == 0 {
		return
	}
	v := g.view.Load()
	if !isFromChosen(v, server.ID, status, rh) {
		return
	}
	source := selfreport.Source{Kind: "answer", Request: j.header.ID}
	if rh.IsLeaving {
		g.recordLeaving(v, server, source)
	}
	g.recordLimit(sent, server, source, rh)
	if !rh.HasPause {
		return
	}
	g.recordPause(v, server, source, rh.Pause)
	// The answer doesn't say whether the first server of the path or the one that it names asks.
	if fault := v.byAddress[rh.FaultAddress]; fault != "" && fault != server.ID {
		g.recordPause(v, v.server(fault), source, rh.Pause)
	}
}

// RecordLeaving records that the server at an address has said, in its answer to a report or an order, that
// it leaves. It is safe for concurrent use.
func (g *Gateway) RecordLeaving(address string) {
	v := g.view.Load()
	if id := v.byAddress[address]; id != "" {
		g.recordLeaving(v, v.server(id), selfreport.Source{Kind: "report or order"})
	}
}

func (g *Gateway) recordLeaving(v *view, server selfreport.Server, source selfreport.Source) {
	now := time.Now()
	newest := v.announcement(server.ID)
	if update(g.selfReports, func(r *selfreport.Reports) bool { return r.AddLeaving(now, server, source, newest) }) {
		g.options.Log.Info("a backend server says that it leaves", "server", server.ID, "incarnation", server.Incarnation,
			"source", source.Kind, "request", source.Request)
	}
}

func (g *Gateway) recordPause(v *view, server selfreport.Server, source selfreport.Source, p selfreport.PauseRequest) {
	now, random := time.Now(), g.randomFloat()
	load := selfreport.Load{Unanswered: g.usage.requests(server.ID)}
	if a := v.servers[server.ID]; a != nil {
		load.Share = a.Slots / g.options.Mesh.Gateways()
	}
	paused := update(g.selfReports, func(r *selfreport.Reports) selfreport.Paused {
		return r.AddPause(now, server, source, p, load, random)
	})
	if paused.IsNew {
		g.options.Log.Info("a backend server wants no requests for a time", "server", server.ID, "incarnation", server.Incarnation,
			"source", source.Kind, "request", source.Request, "stated", p.Stated, "seconds", paused.Duration.Seconds(), "is_bounded", paused.IsBounded)
	}
}

// isFromChosen reports whether an answer is from the server to which the request was sent. Another
// server at the address answers 421; so does the chosen one, if it names a later server of the path.
func isFromChosen(v *view, id string, status int, rh ResponseHeader) bool {
	if status != http.StatusMisdirectedRequest {
		return true
	}
	fault := v.byAddress[rh.FaultAddress]
	return fault != "" && fault != id
}

// applyAnnouncements ends the reports that later announcements contradict.
func (g *Gateway) applyAnnouncements(v *view) {
	if g.selfReports.count.Load() == 0 {
		return
	}
	now := time.Now()
	g.logEnds(update(g.selfReports, func(r *selfreport.Reports) (ends []selfreport.End) {
		for id := range v.states {
			ends = append(ends, r.Announced(now, v.announcement(id))...)
		}
		return ends
	}))
}

func (g *Gateway) removeExpiredReports(now time.Time) {
	if g.selfReports.count.Load() > 0 {
		g.logEnds(update(g.selfReports, func(r *selfreport.Reports) []selfreport.End { return r.RemoveExpired(now) }))
	}
}

func (g *Gateway) logEnds(ends []selfreport.End) {
	for _, e := range ends {
		g.options.Log.Info("a backend server's report about itself no longer counts", "server", e.Server.ID, "incarnation", e.Server.Incarnation,
			"said", e.Kind.String(), "source", e.Source.Kind, "request", e.Source.Request, "age_ms", e.Age.Milliseconds(), "why", e.Why)
	}
}

// isHeldBack reports whether a request may not be sent to a server now because of what the server has
// said about itself.
func (g *Gateway) isHeldBack(j *job, v *view, now time.Time, id string) bool {
	verdict := g.selfReports.check(now, v.server(id))
	if verdict == selfreport.Limited && j.service.Engine != nil {
		return false // it may be a later server of a path; see isLimited
	}
	g.countHeldBack(j, verdict)
	return verdict != selfreport.Free
}

// countHeldBack counts the request once for each verdict by which it is kept from a server.
func (g *Gateway) countHeldBack(j *job, verdict selfreport.Verdict) {
	if verdict != selfreport.Free && !j.heldBack[verdict].Swap(true) {
		g.metrics.HeldBack.WithLabelValues(verdict.String()).Inc()
	}
}

// beginSend records that a request is sent to servers, and returns an error if one of them has said,
// since it was chosen, that it takes no requests.
func (g *Gateway) beginSend(j *job, servers []selfreport.Server) ([]selfreport.Trial, error) {
	trials, verdict, i := g.selfReports.begin(time.Now(), servers)
	if verdict == selfreport.Free {
		if err := g.beginRun(j); err != nil {
			g.endTrials(trials, false)
			return nil, err
		}
		return trials, nil
	}
	g.countHeldBack(j, verdict)
	return nil, fmt.Errorf("%s: %s: %w", servers[i].ID, verdict, errHeldBack)
}

// endTrials records whether servers that had asked for a pause have taken a request.
func (g *Gateway) endTrials(trials []selfreport.Trial, isServed bool) {
	if len(trials) > 0 {
		now := time.Now()
		g.logEnds(update(g.selfReports, func(r *selfreport.Reports) []selfreport.End { return r.Done(now, trials, isServed) }))
	}
}

// heldBackFailure is the failure of a request that checkSend has stopped.
func heldBackFailure(err error) *failure { return &failure{reason: err.Error(), err: err} }

// serversOf returns the servers that a request to a server, or along a path, reaches.
func (v *view) serversOf(id string, path layers.Path) []selfreport.Server {
	servers := []selfreport.Server{v.server(id)}
	for _, part := range path {
		if part.ID != id {
			servers = append(servers, v.server(part.ID))
		}
	}
	return servers
}

// server returns the current incarnation of a server.
func (v *view) server(id string) selfreport.Server {
	return selfreport.Server{ID: id, Incarnation: v.incarnations[id]}
}

// announcement returns the newest announcement of a server.
func (v *view) announcement(id string) selfreport.Announcement {
	return selfreport.Announcement{
		Server: v.server(id), Sequence: v.sequences[id],
		IsReady: v.states[id] == discovery.StateReady, IsDraining: v.states[id] == discovery.StateDraining,
	}
}

// isPaused reports whether a server has asked for a pause that counts now.
func (g *Gateway) isPaused(v *view, id string) bool {
	return g.selfReports.check(time.Now(), v.server(id)) == selfreport.WantsNothing
}

// wantsNothing reports whether a server has asked for a pause that counts now.
func (g *Gateway) wantsNothing(a *discovery.Announcement) bool {
	return g.selfReports.check(time.Now(), selfreport.Server{ID: a.ID, Incarnation: a.Incarnation}) == selfreport.WantsNothing
}
