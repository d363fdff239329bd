// Package gateway serves callers according to the routing document: it checks their keys, chooses
// backend servers, and forwards requests and responses. It aborts the caller's connection if a
// response breaks off after a part of it was forwarded.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/linkcheck"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/balsamlb/balsamlb/retry"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/balsamlb/balsamlb/upstream"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// DefaultMaxAnswerBytes bounds an answer if the settings state no limit.
const DefaultMaxAnswerBytes = 64 << 20

// DefaultRoutingApplyTime is the RoutingApplyTime if the settings state none.
const DefaultRoutingApplyTime = 2 * time.Second

const (
	// maxHeaderBytes is above the header limit of every known deployment (16 KiB).
	maxHeaderBytes = 64 << 10
	// headerTimeout and idleTimeout are above the limits of every known deployment (3 s, 15 s).
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// noRouteRetry is the Retry-After delay of an instance that has no routing document yet.
	noRouteRetry = 500 * time.Millisecond
	// maintenanceInterval is the time between two runs of runMaintenance.
	maintenanceInterval = 100 * time.Millisecond
)

// Options describe a gateway.
type Options struct {
	Name       string
	DataCentre string
	// ListenAddress is the address on which callers are served.
	ListenAddress string
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod time.Duration
	// ShutdownDelay is how long new callers are accepted after readiness has turned off, usually
	// DefaultShutdownDelay.
	ShutdownDelay time.Duration
	Mesh          *mesh.Mesh
	HeaderCodec   HeaderCodec
	// Orders queries the servers about stalled drafts and reroutes drafts.
	Orders Orders
	// Dial opens connections to backend servers; nil means TCP.
	Dial upstream.DialFunc
	// Listen opens the listener for callers; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// RelayAddress is where this gateway takes requests of others (IP:port); empty means that it takes none.
	// Relayer passes requests on to others; nil means that none is passed on.
	RelayAddress string
	Relayer      relay.Sender
	// Identify returns the incarnation of the server that answers at an address. It must be safe for
	// concurrent use. If it is nil, unresponsive servers are not asked whether they answer again.
	Identify func(ctx context.Context, address string) (incarnation int64, err error)
	// RetryRatio is the number of retries that each request adds to the budget. RetryReserve is
	// the number of further retries that all gateways together may send in each RetryWindow.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// RoutingApplyTime is the time within which an acknowledged routing document must be in force; 0 means
	// DefaultRoutingApplyTime. An older document denies nothing.
	RoutingApplyTime time.Duration

	// MaxAnswerBytes is the largest size of an answer that is forwarded; 0 means
	// DefaultMaxAnswerBytes. A longer one is broken off.
	MaxAnswerBytes int64
	// Guard bounds the connections of callers; nil means no bound.
	Guard *connguard.Guard
	Seed  uint64
	// Registry is where the gateway registers its metrics.
	Registry prometheus.Registerer
	Log      logr.Logger
}

// Gateway is the HTTP handler that routes callers' requests to backend servers.
type Gateway struct {
	options      Options
	client       *upstream.Client
	view         atomic.Pointer[view]
	usage        *usage
	faults       *serverFaults
	links        *linkcheck.Checker
	doubted      *doubtedServers
	relays       *relays
	running      *runningAttempts
	linkTraffic  *linkTraffic
	evidence     *mesh.CrashEvidence
	lost         *lostRuns
	selfReports  *selfReports
	waitLines    *waitLines
	stallReports *stallReports
	probes       *probes
	pauses       *pauseDetector
	inFlight     atomic.Int64
	buffers      responseBuffers
	leaving      atomic.Bool
	// waiters counts the new drafts that wait for capacity.
	waiters  atomic.Int64
	metrics  *metrics.Gateway
	admitter *admitter
	document *documentGate

	mu      sync.Mutex
	rng     *rand.Rand
	health  *retry.Health
	budgets *retry.Budgets
	// retryShares is the number of gateways that the retry reserve is divided among, and loggedShares
	// the one that was logged last.
	retryShares  retry.Shares
	loggedShares int
}

// New returns a gateway; Run starts to serve callers.
func New(o Options) *Gateway {
	g := &Gateway{
		options:      o,
		client:       upstream.NewClient(),
		usage:        newUsage(),
		faults:       newServerFaults(),
		doubted:      newDoubtedServers(),
		relays:       &relays{Chooser: relay.NewChooser()},
		running:      newRunningAttempts(),
		linkTraffic:  &linkTraffic{links: layers.NewPipes()},
		evidence:     o.Mesh.CrashEvidence(),
		lost:         newLostRuns(),
		selfReports:  newSelfReports(),
		waitLines:    newWaitLines(),
		stallReports: newStallReports(o.Orders.StallingServers),
		probes:       &probes{probedAt: make(map[string]time.Time)},
		pauses:       &pauseDetector{},
		metrics:      metrics.NewGateway(o.Registry),
		rng:          rand.New(rand.NewPCG(o.Seed, 1)),
		health:       retry.NewHealth(),
		budgets:      retry.NewBudgets(),
		admitter:     newAdmitter(o.Seed),
	}
	g.document = newDocumentGate(o)
	g.links = g.newLinkChecker()
	g.updateRetryBudget(time.Now())
	if o.Dial != nil {
		g.client.Dial = o.Dial
	}
	g.client.OnDial = func() { g.metrics.Dials.WithLabelValues().Inc() }
	g.view.Store(newView(o.Mesh.Snapshot()))
	o.Mesh.SetLocalUsage(g.usage.list)
	o.Mesh.SetLocalDemand(g.admitter.demand)
	return g
}

// NotReady returns why the instance should get no new callers, or "" if it is ready.
func (g *Gateway) NotReady() string {
	switch {
	case g.leaving.Load():
		return "leaving"
	case g.view.Load().table == nil:
		return "no routing document is known"
	default:
		return ""
	}
}

// Run serves callers until ctx ends, and then completes the requests in flight within the grace
// period.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := g.listen()
	if err != nil {
		return eris.Wrapf(err, "gateway: listen on %s", g.options.ListenAddress)
	}
	callers := listener
	if g.options.Guard != nil {
		callers = g.options.Guard.Listener(listener)
	}
	server := &http.Server{
		Handler:           g,
		ConnContext:       connguard.ConnContext,
		ConnState:         connguard.ConnState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
	workersCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	eg, workersCtx := errgroup.WithContext(workersCtx)
	eg.Go(func() error { return g.followMesh(workersCtx) })
	eg.Go(func() error { return g.runMaintenance(workersCtx) })
	eg.Go(func() error { return g.watchIdleDrafts(workersCtx) })
	eg.Go(func() error { return g.runAdmission(workersCtx) })
	eg.Go(func() error {
		err := server.Serve(callers)
		if !errors.Is(err, http.ErrServerClosed) && !(g.leaving.Load() && errors.Is(err, net.ErrClosed)) {
			return eris.Wrap(err, "gateway: serve callers")
		}
		return nil
	})
	select {
	case <-ctx.Done():
		g.shutDown(server, listener)
	case <-workersCtx.Done():
	}
	stopWorkers()
	_ = server.Close()
	g.client.Close()
	return eg.Wait()
}

// followMesh replaces the view whenever the mesh changes.
func (g *Gateway) followMesh(ctx context.Context) error {
	for {
		changed := g.options.Mesh.Changed()
		before, next := g.view.Load(), newView(g.options.Mesh.Snapshot())
		g.view.Store(next)
		g.applyLimits(next)
		g.resetRestarted(before, next)
		g.recordEndedServers(before, next)
		g.applyAnnouncements(next)
		g.handleStateChanges(before, next)
		g.followDoubts(time.Now())
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// handleStateChanges checks the drafts on servers that have become unresponsive or have left, and
// marks a server as recovered when its announcements are received again.
func (g *Gateway) handleStateChanges(before, next *view) {
	g.logOthersWord(before, next)
	for id := range next.unresponsive {
		if !before.unresponsive[id] {
			g.checkDraftsThrough(id)
		}
	}
	for id, state := range next.states {
		if state == discovery.StateLeft && before.states[id] < discovery.StateLeft {
			g.checkDraftsThrough(id)
		}
		if state == discovery.StateReady && before.states[id] == discovery.StateSilent {
			g.faults.markRecovered(id)
		}
	}
}

// logOthersWord logs which servers this instance avoids, or no longer avoids, because several gateways
// report them as unresponsive.
func (g *Gateway) logOthersWord(before, next *view) {
	if maps.Equal(before.unresponsive, next.unresponsive) {
		return
	}
	g.metrics.UnresponsiveToOthers.Set(float64(len(next.unresponsive)))
	g.options.Log.Info("gateways report backend servers as unresponsive", "servers", len(next.unresponsive), "known", len(next.servers),
		"names", firstNames(next.unresponsive))
}

// maxLoggedNames bounds the names in a log line.
const maxLoggedNames = 8

// firstNames returns the first names of a set in order, and how many there are besides.
func firstNames(set map[string]bool) []string {
	names := sortedKeys(set)
	if more := len(names) - maxLoggedNames; more > 0 {
		names = append(names[:maxLoggedNames], fmt.Sprintf("and %d more", more))
	}
	return names
}

func sortedKeys(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// resetRestarted removes the faults that were recorded before servers were restarted.
func (g *Gateway) resetRestarted(before, next *view) {
	for id, a := range next.servers {
		if b, ok := before.servers[id]; ok && a.Incarnation != b.Incarnation {
			g.faults.reset(id)
		}
	}
	g.usage.resetFill(next.incarnations)
}

// listUnresponsive returns the servers that are unresponsive to this instance.
func (g *Gateway) listUnresponsive(now time.Time) []string {
	v := g.view.Load()
	return g.faults.listUnresponsive(now, v.isSilent, v.isKnown)
}

// isExcluded reports whether a server gets no drafts now.
func (g *Gateway) isExcluded(v *view, now time.Time, id string) bool {
	return v.unresponsive[id] || g.faults.isExcluded(now, id) || v.isSilent(id) && g.faults.isUnrecovered(id)
}

// updateRetryBudget sets this instance's share of the retries that all gateways may send.
func (g *Gateway) updateRetryBudget(now time.Time) {
	known := g.options.Mesh.Gateways()
	g.mu.Lock()
	defer g.mu.Unlock()
	gateways, isSettled := g.retryShares.Update(now, known)
	o := g.options
	g.budgets.SetShare(retry.SharedBudget{Ratio: o.RetryRatio, Reserve: o.RetryReserve, Window: o.RetryWindow}, gateways, isSettled)
	if gateways != g.loggedShares {
		g.loggedShares = gateways
		g.options.Log.Info("shares the retry reserve", "gateways", gateways, "reserve", o.RetryReserve/float64(gateways))
	}
}

// runMaintenance periodically reports the unresponsive servers, updates the retry budget, removes
// expired records and closes idle connections.
func (g *Gateway) runMaintenance(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.reportReachability(now)
			g.checkLinks(now)
			g.followDoubts(now)
			g.checkResponsive(ctx, now)
			g.updateRetryBudget(now)
			g.divideLimits(now)
			g.usage.removeExpired(now)
			g.updateAdmission(now)
			g.lost.removeExpired(now)
			g.evidence.RemoveExpired(now)
			g.removeExpiredReports(now)
			g.stallReports.removeExpired(now)
			g.followDocumentAge()
			g.client.CloseExpired(now)
		}
	}
}

func (g *Gateway) failedServers(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health.Excluded(now)
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, nil) }

// serve serves one request, which another gateway has passed on if origin is not nil.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, origin *relayOrigin) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	conn := connguard.FromContext(r.Context())
	if conn.IsAhead() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := g.admit(w, r, origin, conn)
	defer g.endPanicked(w, j)
	if refusal != nil {
		g.refuse(w, j, refusal)
		return
	}
	defer g.reportCrashes(j)
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if j.service.Engine != nil && j.route.Kind == routing.KindStream {
		g.serveDraft(ctx, w, j)
		return
	}
	g.servePlain(ctx, w, j)
}

// refusal is an error response by the gateway itself.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; 0 means none.
	retryAfter time.Duration
}

// admit finds the route, the workspace and the service, and reads the body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, origin *relayOrigin, conn *connguard.Conn) (*job, *refusal) {
	j := &job{header: g.options.HeaderCodec.ParseRequest(r.Header), request: r, origin: origin, conn: conn, arrived: time.Now()}
	if isBodyExpected(r) {
		conn.BeginBody()
	} else if !conn.BeginWork() {
		w.Header().Set("Connection", "close")
		return j, &refusal{http.StatusServiceUnavailable, connguard.ErrNoMemory.Error(), bodiesRetry}
	}
	if origin != nil {
		j.attempts.Store(int32(origin.Attempts))
		j.mayHaveRun.Store(origin.Attempts > 0)
	}
	j.sharedParts = parseParts(j.header.SharedParts)
	v := g.awaitTable(r.Context(), j.header.TimeLeft)
	if v.table == nil {
		return j, &refusal{http.StatusServiceUnavailable, "no routing document is known yet", noRouteRetry}
	}
	j.routing = v.table.Version
	j.route = v.table.Route(r.Host, r.URL.EscapedPath())
	if j.route == nil {
		return j, g.deny(v, http.StatusNotFound, "no route for this host and path")
	}
	j.priority = j.route.Priority
	ws, ok := v.table.Workspace(j.header.APIKey)
	if !ok && v.table.NeedsKey(j.route) {
		return j, g.deny(v, http.StatusUnauthorized, "unknown key")
	}
	if ok {
		j.workspace = ws.Name
		if ws.HasPriority && v.table.NeedsKey(j.route) {
			j.priority = ws.Priority
		}
	}
	j.service = v.table.Service(j.route.Pick(g.randomFloat()))
	j.rank = v.table.Rank(j.service.Name, j.route, ws)
	j.deadline = j.arrived.Add(j.route.TimeLimit)
	if j.header.TimeLeft > 0 && j.header.TimeLeft < j.route.TimeLimit {
		j.deadline = j.arrived.Add(j.header.TimeLeft)
	}
	return j, g.readBody(w, j, v.table.Limits.BodyBytes)
}

func (g *Gateway) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// refuse writes an error response by the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, j *job, f *refusal) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if j.body == nil && isBodyExpected(j.request) {
		// The server reads the rest of the body before it goes on. A writer that supports no deadlines belongs to no
		// connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
	if f.retryAfter > 0 {
		g.admitter.recordToldToReturn(time.Now())
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.reason+"\n")
	g.recordEnd(j, f.status, f.reason)
}

// recordEnd logs and counts the end of a request.
func (g *Gateway) recordEnd(j *job, status int, reason string) {
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	if errors.Is(j.request.Context().Err(), context.Canceled) {
		reason = "the caller left: " + reason
	}
	took := time.Since(j.arrived)
	g.metrics.Requests.WithLabelValues(strconv.Itoa(status)).Inc()
	g.metrics.RequestSeconds.WithLabelValues().Observe(took.Seconds())
	if status >= 400 || reason != "" {
		g.options.Log.Info("request ended", "request", j.header.ID, "route", route, "status", status, "reason", reason,
			"ms", took.Milliseconds(), "sends", j.sends.Load(), "attempts", j.attempts.Load(), "routing", j.routing, "routing_in_force", g.routingVersion())
	}
}

// routingVersion returns the version of the routing document in force, or 0 if none is known.
func (g *Gateway) routingVersion() uint64 {
	if t := g.view.Load().table; t != nil {
		return t.Version
	}
	return 0
}
