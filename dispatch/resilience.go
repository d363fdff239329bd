package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/retry"
	"github.com/go-logr/logr"
)

const (
	// suspectNoticeTTL is how long after a notice other instances avoid a server that runs a
	// suspect request.
	suspectNoticeTTL = 3 * time.Second
	// isolationRetryInterval is how often a waiting suspect checks for a server that runs no other
	// suspect.
	isolationRetryInterval = 50 * time.Millisecond
)

// Publisher sends notices to the other instances of the data centre.
type Publisher interface {
	Publish(n membership.Notice)
}

type noPublisher struct{}

func (noPublisher) Publish(membership.Notice) {}

// resilience holds the retry budgets, the passive health checks, the latencies of calls, and the
// tracker of requests that crash servers. Its mutex is never held during I/O.
type resilience struct {
	log       logr.Logger
	publisher Publisher
	// naive is set for benchmarks: requests are retried without a budget, and are never isolated or
	// quarantined.
	naive bool
	// mayBlame reports whether a server that refuses connections has crashed for certain.
	mayBlame func(server string) bool

	mu        sync.Mutex
	random    *rand.Rand
	budgets   *retry.Budgets
	health    *retry.Health
	latencies *retry.Latencies
	tracker   *quarantine.Tracker
}

func newResilience(seed uint64, log logr.Logger) *resilience {
	return &resilience{
		log:       log,
		publisher: noPublisher{},
		mayBlame:  func(string) bool { return true },
		random:    rand.New(rand.NewPCG(seed, 1)),
		budgets:   retry.NewBudgets(),
		health:    retry.NewHealth(),
		latencies: retry.NewLatencies(),
		tracker:   quarantine.NewTracker(),
	}
}

// UsePublisher sets the publisher of notices to other instances. It must be called before the
// first request.
func (d *Dispatcher) UsePublisher(p Publisher) { d.resilience.publisher = p }

// HandleNotice applies a notice from another instance.
func (d *Dispatcher) HandleNotice(now time.Time, n membership.Notice) {
	rs := d.resilience
	rs.mu.Lock()
	defer rs.mu.Unlock()
	f := quarantine.Fingerprint(n.Fingerprint)
	switch n.Kind {
	case membership.NoticeCrash:
		rs.tracker.Merge(now, findingOf(n))
	case membership.NoticeSuspect:
		for _, server := range n.Servers {
			rs.tracker.ReserveForPeer(now, server, n.Expires)
		}
	case membership.NoticeRelease:
		rs.tracker.Release(now, f)
	}
}

// check returns how a request may run.
func (rs *resilience) check(f quarantine.Fingerprint) quarantine.Verdict {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.naive {
		return quarantine.Clear
	}
	return rs.tracker.Check(time.Now(), f)
}

// exclusions returns lists of servers to exclude when a server is chosen for the request. The
// caller tries the lists in order until one leaves a usable server. A suspect never shares a server
// with another suspect.
func (d *Dispatcher) exclusions(f quarantine.Fingerprint) [][]string {
	var ownedByPeers []string
	if d.resilience.check(f) == quarantine.Suspect {
		ownedByPeers = d.serversOwnedByPeers()
	}
	return d.resilience.exclusions(f, ownedByPeers)
}

func (rs *resilience) exclusions(f quarantine.Fingerprint, ownedByPeers []string) [][]string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.naive {
		return [][]string{nil}
	}
	now := time.Now()
	failed := rs.health.Excluded(now)
	excluded := slices.Concat(failed, rs.tracker.Reserved(now, f))
	if rs.tracker.Check(now, f) != quarantine.Clear {
		return [][]string{slices.Concat(excluded, ownedByPeers), excluded}
	}
	return [][]string{excluded, failed, nil}
}

// recordStart records that the servers were given the request.
func (rs *resilience) recordStart(request string, f quarantine.Fingerprint, servers ...fleet.BackendServer) {
	now := time.Now()
	rs.mu.Lock()
	suspect := rs.tracker.Check(now, f) == quarantine.Suspect
	var names []string
	for _, s := range servers {
		rs.health.Chosen(now, s.Name)
		rs.tracker.Started(now, quarantine.Run{Request: request, Fingerprint: f, Server: s.Name, Incarnation: s.Incarnation})
		names = append(names, s.Name)
	}
	rs.mu.Unlock()
	if suspect {
		rs.log.Info("running suspect request in isolation", "request", request, "fingerprint", f.String(), "servers", names)
		rs.publisher.Publish(membership.Notice{
			Kind: membership.NoticeSuspect, Fingerprint: uint64(f), Servers: names, Expires: now.Add(suspectNoticeTTL),
		})
	}
}

// setWaiting records whether a suspect waits for a server.
func (rs *resilience) setWaiting(request string, waiting bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.tracker.SetWaiting(request, waiting)
}

// sharesServer reports whether another suspect runs on a server of the chain.
func (rs *resilience) sharesServer(f quarantine.Fingerprint, chain pipeline.Chain) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	reserved := rs.tracker.Reserved(time.Now(), f)
	return slices.ContainsFunc(chain, func(st pipeline.Stage) bool { return slices.Contains(reserved, st.Server.Name) })
}

// recordAnswer records that the servers have finished their work on the request.
func (rs *resilience) recordAnswer(request string, servers ...string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, s := range servers {
		rs.health.Succeeded(s)
		rs.tracker.Ended(time.Now(), request, s, false)
	}
}

// recordSurvival records that the servers have run a part of the request without crashing.
func (rs *resilience) recordSurvival(request string, servers ...string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, s := range servers {
		rs.tracker.Survived(request, s)
	}
}

// recordStop records that the request no longer runs on the servers, for a reason other than a
// server failure.
func (rs *resilience) recordStop(request string, servers ...string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, s := range servers {
		rs.tracker.Ended(time.Now(), request, s, false)
	}
}

// recordFailure records that a server gave no answer; closed means that the server closed the
// connection. A server that closed the connection and refuses new ones counts as crashed, unless this
// instance doesn't reach most others either.
func (rs *resilience) recordFailure(ctx context.Context, request string, s fleet.BackendServer, closed bool) {
	now := time.Now()
	rs.mu.Lock()
	rs.health.Failed(now, s.Name)
	rs.tracker.Ended(now, request, s.Name, closed)
	rs.mu.Unlock()
	if closed && backend.RefusesConnections(ctx, s.Address) && rs.mayBlame(s.Name) {
		rs.recordCrash(s.Name, s.Incarnation)
	}
}

// recordCrash records a certain crash in the tracker, and notifies the other instances of the requests
// that the tracker blames for it.
func (rs *resilience) recordCrash(server string, incarnation uint64) {
	rs.mu.Lock()
	findings := rs.tracker.Crashed(time.Now(), server, incarnation)
	rs.mu.Unlock()
	rs.publishFindings(server, findings)
}

// allowRetry reports whether the budgets allow one more try, and how long to wait before it.
func (rs *resilience) allowRetry(r Request, try int) (time.Duration, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.naive {
		return 0, true
	}
	if !rs.budgets.Allow(time.Now(), retryKey(r)) {
		return 0, false
	}
	return retry.Backoff(try, rs.random), true
}

func (rs *resilience) recordRequest(r Request) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.budgets.RecordRequest(time.Now(), retryKey(r))
}

func retryKey(r Request) retry.Key {
	return retry.Key{Workspace: r.Workspace.Name, Service: r.Service.Name}
}

func (rs *resilience) hedgeDelay(service string) (time.Duration, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.naive {
		return 0, false
	}
	return rs.latencies.HedgeDelay(service)
}

func (rs *resilience) recordLatency(service string, duration time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.latencies.Observe(service, duration)
}

// Quarantined returns the suspect and the quarantined requests, for operators.
func (d *Dispatcher) Quarantined() []quarantine.Entry {
	d.resilience.mu.Lock()
	defer d.resilience.mu.Unlock()
	return d.resilience.tracker.List(time.Now())
}

// Release ends the quarantine of a request at all instances of the data centre.
func (d *Dispatcher) Release(f quarantine.Fingerprint) {
	rs := d.resilience
	now := time.Now()
	rs.mu.Lock()
	rs.tracker.Release(now, f)
	rs.mu.Unlock()
	rs.log.Info("released request from quarantine", "fingerprint", f.String())
	rs.publisher.Publish(membership.Notice{Kind: membership.NoticeRelease, Fingerprint: uint64(f), Expires: now.Add(quarantine.TTL)})
}

// errQuarantined is a final answer without a retry time, since a retry would not help.
func errQuarantined(o outcome.Outcome) *outcome.Error {
	return &outcome.Error{
		Outcome: o,
		Code:    outcome.CodeQuarantined,
		Message: "backend servers died while they ran this request; it is not run again",
	}
}
