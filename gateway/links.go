package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/linkcheck"
	"github.com/balsamlb/balsamlb/reachability"
)

const (
	// cutOffDialTimeout bounds the opening of a connection by a gateway that is cut off.
	cutOffDialTimeout = 100 * time.Millisecond
	// answeringTTL is how long an answer shows that a doubted server answers this gateway.
	answeringTTL = time.Second
	// maxReportDelay is the time within which a gateway's report reaches the others.
	maxReportDelay = 250 * time.Millisecond
)

// doubtedServers are the servers that other gateways can't reach. It is safe for concurrent use.
type doubtedServers struct {
	// since holds when this gateway learned of each.
	since atomic.Pointer[map[string]time.Time]

	mu sync.Mutex
	// answering holds when those that answer this gateway last did.
	answering map[string]time.Time
}

func newDoubtedServers() *doubtedServers {
	return &doubtedServers{answering: make(map[string]time.Time)}
}

// recordAnswer records that a server has answered.
func (d *doubtedServers) recordAnswer(now time.Time, id string) {
	doubted := d.since.Load()
	if doubted == nil {
		return
	}
	if since, ok := (*doubted)[id]; !ok || !now.After(since) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answering[id] = now
}

// listAnswering returns those that have answered lately, sorted, and removes the others.
func (d *doubtedServers) listAnswering(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := make(map[string]bool)
	for id, at := range d.answering {
		if now.Sub(at) > answeringTTL {
			delete(d.answering, id)
			continue
		}
		fresh[id] = true
	}
	return sortedKeys(fresh)
}

func (g *Gateway) newLinkChecker() *linkcheck.Checker {
	return linkcheck.New(linkcheck.Options{Probe: g.client.Probe, Targets: g.linkTargets, OnChange: g.handleLinkChange, Seed: g.options.Seed})
}

// linkTargets returns the servers that announce themselves.
func (g *Gateway) linkTargets() (out []linkcheck.Target) {
	for id, a := range g.view.Load().servers {
		if a.State == discovery.StateReady {
			out = append(out, linkcheck.Target{ID: id, Address: a.Address, Service: a.Service})
		}
	}
	return out
}

// handleLinkChange acts upon it that this gateway is cut off from the servers of a service, or connected again.
func (g *Gateway) handleLinkChange(service string, isCutOff bool, s reachability.Sample) {
	g.options.Log.Info("checked the links to the backend servers", "service", service, "is_cut_off", isCutOff, "reached", s.Reached, "unreached", s.Unreached)
	g.metrics.CutOff.Set(0)
	if g.links.IsAnyCutOff() {
		g.metrics.CutOff.Set(1)
	}
	if !isCutOff {
		v := g.view.Load()
		for _, id := range g.faults.clearUnreached() {
			g.withdrawCrash(v.crashOf(id), "may only have been out of reach")
		}
	}
	g.reportReachability(time.Now())
	g.running.checkAll()
}

// checkLinks samples servers if that is due.
func (g *Gateway) checkLinks(now time.Time) {
	if g.pauses.sinceResumed(now) >= pauseThreshold {
		v := g.view.Load()
		working := make(map[string]bool)
		for _, id := range g.usage.servers() {
			if a := v.servers[id]; a != nil {
				working[a.Service] = true
			}
		}
		g.links.CheckIfDue(now, func(service string) bool { return working[service] })
	}
}

// dialTimeout bounds the opening of a connection to a server; 0 means the usual time.
func (g *Gateway) dialTimeout(service string) time.Duration {
	if g.links.IsCutOff(service) {
		return cutOffDialTimeout
	}
	return 0
}

// recordServerAnswers records that a server answers this gateway.
func (g *Gateway) recordServerAnswers(now time.Time, id string) {
	if a := g.view.Load().servers[id]; a != nil {
		g.links.RecordAnswer(now, a.Service)
	}
	g.doubted.recordAnswer(now, id)
}

// judgeAndReport reports a server that has not answered, once others were sampled.
func (g *Gateway) judgeAndReport(id string) {
	g.judge(id)
	g.reportReachability(time.Now())
}

// judge returns what may be said about a server that has not answered.
func (g *Gateway) judge(id string) reachability.Blame {
	a := g.view.Load().servers[id]
	if a == nil {
		return reachability.BlameCertain // it takes no requests any more, whatever is said of it
	}
	return g.links.Judge(time.Now(), id, a.Service)
}

// reportReachability tells the control instances which servers this gateway doesn't reach. It waits for the
// samples in progress, since these may show that the gateway itself is cut off.
func (g *Gateway) reportReachability(now time.Time) {
	g.reportRelaying(now)
	r := reachability.Report{IsCutOff: g.links.IsAnyCutOff()}
	if g.links.IsPending() && !r.IsCutOff {
		return // whoever samples reports
	}
	r.Unresponsive = g.listUnresponsive(now)
	r.Unreached = g.faults.listUnreached(r.Unresponsive)
	r.Answering = g.doubted.listAnswering(now)
	g.options.Mesh.SetReachability(r)
}

// followDoubts takes over which servers other gateways can't reach, and takes back the crashes of servers that
// answer others: a connection may be refused by what is between.
func (g *Gateway) followDoubts(now time.Time) {
	doubted := g.options.Mesh.Doubts()
	g.doubted.since.Store(&doubted)
	v := g.view.Load()
	for id := range doubted {
		if crash := v.crashOf(id); g.lost.hasCrash(crash) && g.options.Mesh.AnsweringOthers(id) {
			// An answer may be as old as answeringTTL, so only crashes that are older are taken back.
			g.withdrawCrashBefore(now.Add(-answeringTTL-maxReportDelay), crash, "answers other gateways")
		}
	}
}
