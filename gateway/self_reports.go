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
func (s *selfReports) check(server selfreport.Server) selfreport.Verdict {
	if s.count.Load() == 0 {
		return selfreport.Free
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Check(server)
}

// recordSelfReport records what a server has said about itself in an answer.
func (g *Gateway) recordSelfReport(j *job, server selfreport.Server, status int, rh ResponseHeader) {
	if !rh.IsLeaving || !isFromChosen(g.view.Load(), server.ID, status, rh) {
		return
	}
	now := time.Now()
	source := selfreport.Source{Kind: "answer", Request: j.header.ID}
	newest := g.view.Load().announcement(server.ID)
	if update(g.selfReports, func(r *selfreport.Reports) bool { return r.AddLeaving(now, server, source, newest) }) {
		g.options.Log.Info("a backend server says that it leaves", "server", server.ID, "incarnation", server.Incarnation,
			"source", source.Kind, "request", source.Request)
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

// isHeldBack reports whether a request may not be sent to a server because of what the server has said
// about itself. It counts the request once for each reason.
func (g *Gateway) isHeldBack(j *job, v *view, id string) bool {
	verdict := g.selfReports.check(v.server(id))
	if verdict == selfreport.Free {
		return false
	}
	if !j.heldBack[verdict].Swap(true) {
		g.metrics.HeldBack.WithLabelValues(verdict.String()).Inc()
	}
	return true
}

// checkSend returns an error if one of the servers that a request is about to be sent to has said, since
// it was chosen, that it takes no requests.
func (g *Gateway) checkSend(j *job, v *view, id string, path layers.Path) error {
	if g.isHeldBack(j, v, id) {
		return fmt.Errorf("server %s: %w", id, errHeldBack)
	}
	for _, part := range path {
		if part.ID != id && g.isHeldBack(j, v, part.ID) {
			return fmt.Errorf("server %s: %w", part.ID, errHeldBack)
		}
	}
	return nil
}

// heldBackFailure is the failure of a request that checkSend has stopped.
func heldBackFailure(err error) *failure { return &failure{reason: err.Error(), err: err} }

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
