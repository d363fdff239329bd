package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/selfreport"
)

// selfReports holds what backend servers have said about themselves to this instance. It is safe for
// concurrent use.
type selfReports struct {
	mu      sync.Mutex
	reports *selfreport.Reports
	// newest holds the newest announcements of the servers with reports.
	newest map[string]selfreport.Announcement
}

func newSelfReports() *selfReports {
	return &selfReports{
		reports: selfreport.New(),
		newest:  make(map[string]selfreport.Announcement),
	}
}

func reporterOf(s fleet.BackendServer) selfreport.Server {
	return selfreport.Server{ID: s.Name, Incarnation: int64(s.Incarnation)}
}

// available returns the servers that accept new work, by what they have announced and by what they have
// said in answers to this instance.
func (d *Dispatcher) available() []fleet.BackendServer {
	servers := d.fleet.Available()
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.reports.Len() == 0 {
		return servers
	}
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(servers), func(s fleet.BackendServer) bool {
		return sr.reports.Check(now, reporterOf(s)) != selfreport.Free
	})
}

// recordSelfReport records what a server has said about itself in an answer to a request.
func (d *Dispatcher) recordSelfReport(request string, s fleet.BackendServer, said backend.SelfReport) {
	if !said.IsLeaving {
		return
	}
	now, server := time.Now(), reporterOf(s)
	source := selfreport.Source{Kind: "answer", Request: request}
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	newest, ok := sr.newest[s.Name]
	if !ok || newest.Server != server {
		newest = selfreport.Announcement{Server: server, Sequence: s.Sequence, IsReady: true}
		sr.newest[s.Name] = newest
	}
	if sr.reports.AddLeaving(now, server, source, newest) {
		d.log.Info("a backend server says that it leaves", "server", s.Name, "incarnation", s.Incarnation, "source", source.Kind, "request", request)
	}
}

// beginTrial records that a request is sent to a server. It returns false if the server has said, since
// it was chosen, that it takes no requests. The trials must be passed to endTrial.
func (d *Dispatcher) beginTrial(s fleet.BackendServer) ([]selfreport.Trial, bool) {
	now, server := time.Now(), reporterOf(s)
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.reports.Check(now, server) != selfreport.Free {
		return nil, false
	}
	return sr.reports.Begin(now, server), true
}

// endTrial records whether a server that had asked for a pause has taken a request.
func (d *Dispatcher) endTrial(trials []selfreport.Trial, isServed bool) {
	if len(trials) == 0 {
		return
	}
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	d.logEnds(sr.reports.Done(time.Now(), trials, isServed))
}

// applyAnnouncements ends the reports that are too old, or that later announcements contradict.
func (d *Dispatcher) applyAnnouncements(now time.Time) {
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.reports.Len() == 0 {
		clear(sr.newest)
		return
	}
	for _, name := range d.announcedLeaving() {
		if a, ok := sr.newest[name]; ok && a.IsReady {
			// The fleet doesn't tell the sequence; it is higher than that of the last ready one.
			a.IsReady, a.IsDraining = false, true
			a.Sequence++
			sr.newest[name] = a
			d.logEnds(sr.reports.Announced(now, a))
		}
	}
	for _, s := range d.fleet.Available() {
		a := selfreport.Announcement{Server: reporterOf(s), Sequence: s.Sequence, IsReady: true}
		if _, ok := sr.newest[s.Name]; ok {
			sr.newest[s.Name] = a
		}
		d.logEnds(sr.reports.Announced(now, a))
	}
	d.logEnds(sr.reports.RemoveExpired(now))
}

func (d *Dispatcher) logEnds(ends []selfreport.End) {
	for _, e := range ends {
		d.log.Info("a backend server's report about itself no longer counts", "server", e.Server.ID, "incarnation", e.Server.Incarnation,
			"said", e.Kind.String(), "source", e.Source.Kind, "request", e.Source.Request, "age_ms", e.Age.Milliseconds(), "why", e.Why)
	}
}

// reportedLeaving returns the names of the servers that have said in an answer that they leave.
func (sr *selfReports) reportedLeaving() []string {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	var out []string
	for _, s := range sr.reports.Leaving() {
		out = append(out, s.ID)
	}
	return out
}
