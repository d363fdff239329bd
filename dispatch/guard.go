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
	// suspectNotice is how long the other instances keep work off a server that runs a suspect.
	suspectNotice = 3 * time.Second
	// suspectPause is the time between two looks for a server on which a suspect can run apart.
	suspectPause = 50 * time.Millisecond
	// deathWatch is how often servers that closed connections are looked at.
	deathWatch = 100 * time.Millisecond
)

// Publisher tells the other instances of the data centre.
type Publisher interface {
	Publish(n membership.Notice)
}

type noPublisher struct{}

func (noPublisher) Publish(membership.Notice) {}

// guard keeps what retries and crash requests need to know. Its mutex is never held during I/O.
type guard struct {
	log    logr.Logger
	others Publisher
	// naive retries without a budget and runs everything, for benchmarks.
	naive bool

	mu        sync.Mutex
	random    *rand.Rand
	budgets   *retry.Budgets
	health    *retry.Health
	latencies *retry.Latencies
	tracker   *quarantine.Tracker
}

func newGuard(seed uint64, log logr.Logger) *guard {
	return &guard{
		log:       log,
		others:    noPublisher{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		budgets:   retry.NewBudgets(),
		health:    retry.NewHealth(),
		latencies: retry.NewLatencies(),
		tracker:   quarantine.NewTracker(),
	}
}

// UseNotices sets who tells the other instances of crashes. It must be called before the first
// request.
func (d *Dispatcher) UseNotices(p Publisher) { d.guard.others = p }

// HandleNotice takes what another instance found.
func (d *Dispatcher) HandleNotice(now time.Time, n membership.Notice) {
	g := d.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	f := quarantine.Fingerprint(n.Fingerprint)
	switch n.Kind {
	case membership.NoticeCrash:
		g.tracker.Learned(now, quarantine.Finding{Fingerprint: f, Servers: n.Servers, Expires: n.Expires})
	case membership.NoticeSuspect:
		for _, server := range n.Servers {
			g.tracker.SuspectRuns(now, server, n.Expires)
		}
	case membership.NoticeRelease:
		g.tracker.Release(now, f)
	}
}

// check returns how a request may run.
func (g *guard) check(f quarantine.Fingerprint) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.naive {
		return quarantine.Clear
	}
	return g.tracker.Check(time.Now(), f)
}

// exclusions returns the servers that the request should not be given, as lists to be tried in
// turn until one leaves a server. A suspect never runs where another one does.
func (d *Dispatcher) exclusions(f quarantine.Fingerprint) [][]string {
	var notOwn []string
	if d.guard.check(f) == quarantine.Suspect {
		notOwn = d.notOwn()
	}
	return d.guard.exclusions(f, notOwn)
}

func (g *guard) exclusions(f quarantine.Fingerprint, notOwn []string) [][]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.naive {
		return [][]string{nil}
	}
	now := time.Now()
	failed := g.health.Excluded(now)
	apart := slices.Concat(failed, g.tracker.Reserved(now, f))
	if g.tracker.Check(now, f) != quarantine.Clear {
		return [][]string{slices.Concat(apart, notOwn), apart}
	}
	return [][]string{apart, failed, nil}
}

// started notes that servers are given the request.
func (g *guard) started(request string, f quarantine.Fingerprint, servers ...fleet.BackendServer) {
	now := time.Now()
	g.mu.Lock()
	suspect := g.tracker.Check(now, f) == quarantine.Suspect
	var names []string
	for _, s := range servers {
		g.health.Chosen(now, s.Name)
		g.tracker.Started(now, quarantine.Run{Request: request, Fingerprint: f, Server: s.Name, Incarnation: s.Incarnation})
		names = append(names, s.Name)
	}
	g.mu.Unlock()
	if suspect {
		g.log.Info("runs a suspect apart", "request", request, "fingerprint", f.String(), "servers", names)
		g.others.Publish(membership.Notice{
			Kind: membership.NoticeSuspect, Fingerprint: uint64(f), Servers: names, Expires: now.Add(suspectNotice),
		})
	}
}

// hold notes that a suspect waits for a server, or that it goes on.
func (g *guard) hold(request string, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Hold(request, held)
}

// isShared reports whether another suspect runs on a server of the chain.
func (g *guard) isShared(f quarantine.Fingerprint, chain pipeline.Chain) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	reserved := g.tracker.Reserved(time.Now(), f)
	return slices.ContainsFunc(chain, func(st pipeline.Stage) bool { return slices.Contains(reserved, st.Server.Name) })
}

// answered notes that servers have done their work on the request.
func (g *guard) answered(request string, servers ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range servers {
		g.health.Succeeded(s)
		g.tracker.Ended(time.Now(), request, s, false)
	}
}

// proved notes that the servers have run a part of the request and live.
func (g *guard) proved(request string, servers ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range servers {
		g.tracker.Proved(request, s)
	}
}

// stopped notes that the request no longer runs on the servers, for a reason of its own.
func (g *guard) stopped(request string, servers ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range servers {
		g.tracker.Ended(time.Now(), request, s, false)
	}
}

// failed notes that a server gave no answer. When it closed the connection and refuses new
// ones, it has died.
func (g *guard) failed(ctx context.Context, request string, s fleet.BackendServer, closed bool) {
	now := time.Now()
	g.mu.Lock()
	g.health.Failed(now, s.Name)
	g.tracker.Ended(now, request, s.Name, closed)
	g.mu.Unlock()
	if closed && backend.RefusesConnections(ctx, s.Address) {
		g.died(s.Name, s.Incarnation)
	}
}

// died tells the tracker, and the other instances what it finds.
func (g *guard) died(server string, incarnation uint64) {
	g.mu.Lock()
	findings := g.tracker.Died(time.Now(), server, incarnation)
	g.mu.Unlock()
	for _, f := range findings {
		g.log.Info("a backend server died while it ran a request", "server", server, "fingerprint", f.Fingerprint.String(), "servers", f.Servers)
		g.others.Publish(membership.Notice{
			Kind:        membership.NoticeCrash,
			Fingerprint: uint64(f.Fingerprint),
			Servers:     f.Servers,
			Count:       uint32(len(f.Servers)),
			Expires:     f.Expires,
		})
	}
}

// runDeaths looks for servers that closed connections and then came back as another
// incarnation, or lost their lease without leaving, until ctx ends.
func (d *Dispatcher) runDeaths(ctx context.Context) error {
	ticker := time.NewTicker(deathWatch)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.lookForDeaths()
		}
	}
}

func (d *Dispatcher) lookForDeaths() {
	g := d.guard
	g.mu.Lock()
	pending := g.tracker.Pending(time.Now())
	g.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	present := make(map[string]uint64)
	for _, s := range d.fleet.Available() {
		present[s.Name] = s.Incarnation
	}
	for _, name := range d.leaving() {
		// A server that leaves closes its connections without having crashed.
		if _, ok := present[name]; !ok {
			present[name] = 0
		}
	}
	for _, p := range pending {
		now, ok := present[p.Server]
		if !ok || now > p.Incarnation {
			g.died(p.Server, p.Incarnation)
		}
	}
}

// allowRetry reports whether the budgets allow one more try, and how long to wait before it.
func (g *guard) allowRetry(r Request, try int) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.naive {
		return 0, true
	}
	if !g.budgets.Allow(time.Now(), retryKey(r)) {
		return 0, false
	}
	return retry.Backoff(try, g.random), true
}

func (g *guard) requested(r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgets.Requested(time.Now(), retryKey(r))
}

func retryKey(r Request) retry.Key {
	return retry.Key{Workspace: r.Workspace.Name, Service: r.Service.Name}
}

func (g *guard) hedgeDelay(service string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.naive {
		return 0, false
	}
	return g.latencies.HedgeDelay(service)
}

func (g *guard) took(service string, t time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latencies.Answered(service, t)
}

// Quarantined returns the suspects and the requests in quarantine, for operators.
func (d *Dispatcher) Quarantined() []quarantine.Entry {
	d.guard.mu.Lock()
	defer d.guard.mu.Unlock()
	return d.guard.tracker.List(time.Now())
}

// Release ends the quarantine of a request at all instances of the data centre.
func (d *Dispatcher) Release(f quarantine.Fingerprint) {
	g := d.guard
	now := time.Now()
	g.mu.Lock()
	g.tracker.Release(now, f)
	g.mu.Unlock()
	g.log.Info("released a request from quarantine", "fingerprint", f.String())
	g.others.Publish(membership.Notice{Kind: membership.NoticeRelease, Fingerprint: uint64(f), Expires: now.Add(quarantine.Life)})
}

// errQuarantined is a final answer: a retry would not help.
func errQuarantined(o outcome.Outcome) *outcome.Error {
	return &outcome.Error{
		Outcome: o,
		Code:    outcome.CodeQuarantined,
		Message: "backend servers died while they ran this request; it is not run again",
	}
}
