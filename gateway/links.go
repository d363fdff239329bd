package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/reachability"
	"golang.org/x/sync/errgroup"
)

const (
	// quietAfter is the time without an answer of any server after which a gateway with requests at servers
	// checks its links, and idleLinkCheck the time after which it does without requests.
	quietAfter    = 500 * time.Millisecond
	idleLinkCheck = 2 * time.Second
	// linkRecheckInterval is the time between two checks of a gateway that is cut off.
	linkRecheckInterval = 250 * time.Millisecond
	// answeringTTL is how long an answer shows that a doubted server answers this gateway.
	answeringTTL = time.Second
)

// serverLinks is what a gateway knows of its own links to the backend servers. It is safe for concurrent use.
type serverLinks struct {
	// pending counts the samples in progress. Until they end, failures are not reported.
	pending atomic.Int32
	// answeredAt is when a server last answered, as the time since started.
	answeredAt atomic.Int64
	started    time.Time
	// doubted are the servers that other gateways can't reach, with when this one learned so.
	doubted atomic.Pointer[map[string]time.Time]

	// sampling is held while servers are sampled. lastBegan and last are the latest sample.
	sampling  sync.Mutex
	lastBegan time.Time
	last      reachability.Sample

	mu        sync.Mutex
	observer  reachability.Observer
	checkedAt time.Time
	answering map[string]time.Time
	// connected ends when the gateway is cut off.
	connected context.Context
	cutOff    context.CancelFunc
}

func newServerLinks() *serverLinks {
	l := &serverLinks{started: time.Now(), answering: make(map[string]time.Time)}
	l.connected, l.cutOff = context.WithCancel(context.Background())
	return l
}

// isCutOff reports whether this gateway reaches no server.
func (l *serverLinks) isCutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observer.IsCutOff()
}

// untilCutOff returns a context that ends when this gateway is cut off. It returns nil if it is already: then
// the servers may only have crashed together, and each attempt to reach one counts.
func (l *serverLinks) untilCutOff() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observer.IsCutOff() {
		return nil
	}
	return l.connected
}

// cutOffDialTimeout bounds the opening of a connection by a gateway that is cut off.
const cutOffDialTimeout = 100 * time.Millisecond

// dialTimeout bounds the opening of a connection; 0 means the usual time.
func (l *serverLinks) dialTimeout() time.Duration {
	if l.isCutOff() {
		return cutOffDialTimeout
	}
	return 0
}

// recordAnswer records that servers have answered.
func (l *serverLinks) recordAnswer(now time.Time, ids ...string) {
	l.answeredAt.Store(int64(now.Sub(l.started)))
	doubted := l.doubted.Load()
	if doubted == nil || len(*doubted) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if since, ok := (*doubted)[id]; ok && now.After(since) {
			l.answering[id] = now
		}
	}
}

// listAnswering returns the doubted servers that have answered lately, sorted, and removes the others.
func (l *serverLinks) listAnswering(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := make(map[string]bool)
	for id, at := range l.answering {
		if now.Sub(at) > answeringTTL {
			delete(l.answering, id)
			continue
		}
		fresh[id] = true
	}
	return sortedKeys(fresh)
}

// add records a sample and reports whether it changes the state.
func (l *serverLinks) add(now time.Time, s reachability.Sample) (isCutOff, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.observer.Add(now, s)
	isCutOff = l.observer.IsCutOff()
	if changed && isCutOff {
		l.cutOff()
	}
	if changed && !isCutOff {
		l.connected, l.cutOff = context.WithCancel(context.Background())
	}
	return isCutOff, changed
}

// isCheckDue reports whether the links have to be checked, and marks them as checked now.
func (l *serverLinks) isCheckDue(now time.Time, hasWork bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	quiet := now.Sub(l.started.Add(time.Duration(l.answeredAt.Load())))
	interval := linkRecheckInterval
	switch {
	case l.observer.IsCutOff():
	case hasWork && quiet >= quietAfter:
	case quiet >= idleLinkCheck:
		interval = idleLinkCheck
	default:
		return false
	}
	if now.Sub(l.checkedAt) < interval {
		return false
	}
	l.checkedAt = now
	return true
}

// judge returns what may be said about a server that was not reached at a time. It samples other servers,
// unless that was done since.
func (g *Gateway) judge(failedAt time.Time, id string) reachability.Blame {
	l := g.links
	if l.isCutOff() {
		return reachability.BlameNone
	}
	l.pending.Add(1)
	defer l.pending.Add(-1)
	l.sampling.Lock()
	defer l.sampling.Unlock()
	if l.lastBegan.Before(failedAt) {
		l.lastBegan = time.Now()
		l.last = g.sample(reachability.SampleSize, id)
	}
	s := l.last
	s.Unreached++
	g.addSample(s)
	return s.Blame()
}

// checkLinks samples servers if that is due.
func (g *Gateway) checkLinks(now time.Time) {
	hasWork := g.usage.hasWork()
	if g.pauses.sinceResumed(now) < quietAfter || !g.links.isCheckDue(now, hasWork) {
		return
	}
	go func() {
		g.links.pending.Add(1)
		defer g.links.pending.Add(-1)
		if s := g.sample(reachability.RecheckSize, ""); s.Reached+s.Unreached > 0 {
			g.addSample(s)
		}
	}()
}

// addSample records a sample, and acts upon it if this gateway is cut off or connected again.
func (g *Gateway) addSample(s reachability.Sample) {
	now := time.Now()
	isCutOff, changed := g.links.add(now, s)
	if !changed {
		return
	}
	g.options.Log.Info("checked the links to the backend servers", "is_cut_off", isCutOff, "reached", s.Reached, "unreached", s.Unreached)
	if isCutOff {
		g.metrics.CutOff.Set(1)
	} else {
		g.metrics.CutOff.Set(0)
		g.faults.clearUnreached()
	}
	g.reportReachability(now)
	g.running.checkAll()
}

// sample tries to open connections to up to size servers but one.
func (g *Gateway) sample(size int, except string) reachability.Sample {
	candidates, isWhole := g.sampleCandidates(size, except)
	s := reachability.Sample{IsWhole: isWhole}
	var mu sync.Mutex
	var eg errgroup.Group
	for _, a := range candidates {
		eg.Go(func() error {
			err := tryReach(context.Background(), func(ctx context.Context) error { return g.client.Probe(ctx, a.Address) })
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				s.Reached++
				g.links.recordAnswer(time.Now())
			case !errors.Is(err, errPaused):
				s.Unreached++
			}
			return nil
		})
	}
	_ = eg.Wait() // the functions always return nil
	return s
}

// sampleCandidates returns up to size servers that announce themselves, in random order, and whether these
// are all.
func (g *Gateway) sampleCandidates(size int, except string) (out []*discovery.Announcement, isWhole bool) {
	v := g.view.Load()
	for id, a := range v.servers {
		if id != except && a.State == discovery.StateReady {
			out = append(out, a)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rng.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(size, len(out))], len(out) <= size
}

// reportReachability tells the control instances which servers this gateway doesn't reach. It waits for the
// samples in progress, since these may show that the gateway itself is cut off.
func (g *Gateway) reportReachability(now time.Time) {
	g.reportRelaying(now)
	r := reachability.Report{IsCutOff: g.links.isCutOff()}
	if g.links.pending.Load() > 0 && !r.IsCutOff {
		return // whoever samples reports
	}
	r.Unresponsive = g.listUnresponsive(now)
	r.Unreached = g.faults.listUnreached(r.Unresponsive)
	r.Answering = g.links.listAnswering(now)
	g.options.Mesh.SetReachability(r)
}

// followDoubts takes over which servers other gateways can't reach, and takes back presumed crashes of servers
// that answer others.
func (g *Gateway) followDoubts(now time.Time) {
	doubted := g.options.Mesh.Doubts()
	g.links.doubted.Store(&doubted)
	v := g.view.Load()
	for id := range doubted {
		if crash := v.crashOf(id); g.lost.isPresumed(crash) && g.options.Mesh.AnsweringOthers(id) {
			// An answer may be as old as answeringTTL, so only crashes that are older are taken back.
			g.withdrawCrashBefore(now.Add(-answeringTTL-maxReportDelay), crash, "answers other gateways")
		}
	}
}

// maxReportDelay is the time within which a gateway's report reaches the others.
const maxReportDelay = 250 * time.Millisecond
