package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/selfreport"
)

const (
	// maxPauseWait bounds how long a call waits for a server that wants nothing for a time. A call
	// that would wait longer is refused at once.
	maxPauseWait = 250 * time.Millisecond
	// pauseRetrySpread spreads the Retry-After delays of callers that are refused because servers want
	// nothing for a time.
	pauseRetrySpread = 500 * time.Millisecond
)

// selfReports holds what backend servers have said about themselves to this instance. It is safe for
// concurrent use.
type selfReports struct {
	mu      sync.Mutex
	random  *rand.Rand
	reports *selfreport.Reports
	// newest holds the newest announcements of the servers with reports.
	newest map[string]selfreport.Announcement
}

func newSelfReports(seed uint64) *selfReports {
	return &selfReports{
		random:  rand.New(rand.NewPCG(seed, 2)),
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
	if !said.IsLeaving && !said.HasPause {
		return
	}
	now, server := time.Now(), reporterOf(s)
	source := selfreport.Source{Kind: "answer", Request: request}
	// Asked before sr.mu is taken, since choices hold the other lock first.
	load := selfreport.Load{Unanswered: d.InFlight(s.Name) + 1, Share: s.Slots / d.instances()}
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if said.IsLeaving {
		newest, ok := sr.newest[s.Name]
		if !ok || newest.Server != server {
			newest = selfreport.Announcement{Server: server, Sequence: s.Sequence, IsReady: true}
			sr.newest[s.Name] = newest
		}
		if sr.reports.AddLeaving(now, server, source, newest) {
			d.log.Info("a backend server says that it leaves", "server", s.Name, "incarnation", s.Incarnation, "source", source.Kind, "request", request)
		}
	}
	if !said.HasPause {
		return
	}
	if p := sr.reports.AddPause(now, server, source, said.Pause, load, sr.random.Float64()); p.IsNew {
		d.log.Info("a backend server wants no requests for a time", "server", s.Name, "incarnation", s.Incarnation, "source", source.Kind,
			"request", request, "stated", said.Pause.Stated, "seconds", p.Duration.Seconds(), "is_bounded", p.IsBounded)
	}
}

// instances returns the number of instances that share the backend servers.
func (d *Dispatcher) instances() int {
	if lister, ok := d.fleet.(InstanceLister); ok {
		return max(1, len(lister.LiveInstances()))
	}
	return 1
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
	sr.reports.TakeRequest(now, server)
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
	d.divideLimits(now)
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

// pauseLeft returns the time until the first of the servers that want nothing, and could run the request
// otherwise, takes it. It returns false if there is no such server.
func (d *Dispatcher) pauseLeft(canRun func(s fleet.BackendServer) bool) (left time.Duration, ok bool) {
	now := time.Now()
	sr := d.selfReports
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if sr.reports.Len() == 0 {
		return 0, false
	}
	for _, s := range d.fleet.Available() {
		at, mayReturn := sr.reports.Next(now, reporterOf(s))
		if !mayReturn || !at.After(now) || !canRun(s) {
			continue
		}
		if wait := at.Sub(now); !ok || wait < left {
			left, ok = wait, true
		}
	}
	return left, ok
}

// withPause sets the Retry-After delay of a refusal to the time until a server that wants nothing now
// takes the request, if there is one.
func (d *Dispatcher) withPause(e *outcome.Error, canRun func(s fleet.BackendServer) bool) *outcome.Error {
	left, ok := d.pauseLeft(canRun)
	if !ok {
		return e
	}
	refusal := *e
	d.selfReports.mu.Lock()
	defer d.selfReports.mu.Unlock()
	refusal.RetryAfter = left + time.Duration(d.selfReports.random.Float64()*float64(pauseRetrySpread))
	return &refusal
}
