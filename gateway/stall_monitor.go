package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/quarantine"
)

const (
	// stallAfter is the time without an event after which a draft counts as stalled and its path is
	// checked. In steady state events are less than 150 ms apart; an answer with more than 200 ms
	// between events is late.
	stallAfter = 300 * time.Millisecond
	// firstStallAfter is the time without a first event after which a draft counts as stalled. The
	// first event arrives within 150 ms in steady state, and later where drafts queue.
	firstStallAfter = 400 * time.Millisecond
	// faultStallAfter is the time without an event after which a draft counts as stalled if a
	// server of its path is known to be faulty. Until then the draft counts as progressing,
	// whatever is reported about its servers: most drafts never take longer between two events.
	faultStallAfter = 120 * time.Millisecond
	// recheckInterval is the time until the next check of a draft that is still stalled.
	recheckInterval = 200 * time.Millisecond
	// orderTimeout bounds one query or command to the first server of a path.
	orderTimeout = 400 * time.Millisecond
	// maxReroutes bounds the reroute commands of one check.
	maxReroutes = 3
	// headUnresponsiveAfter is the time without an event after which a draft's first server counts
	// as unresponsive if it doesn't answer the query about stalls either.
	headUnresponsiveAfter = 700 * time.Millisecond
)

var (
	// errHeadUnresponsive cancels an attempt whose first server is unresponsive.
	errHeadUnresponsive = errors.New("gateway: the first server is unresponsive")
	// errNoReroute cancels a stalled attempt for which no other path starts at its first server.
	errNoReroute = errors.New("gateway: no other path starts at the first server")
)

// runningDrafts holds the drafts that run, so that the drafts on a failed server can be rerouted at
// once.
type runningDrafts struct {
	mu     sync.Mutex
	drafts map[*draft]struct{}
}

func newRunningDrafts() *runningDrafts { return &runningDrafts{drafts: make(map[*draft]struct{})} }

func (r *runningDrafts) add(d *draft) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drafts[d] = struct{}{}
}

func (r *runningDrafts) remove(d *draft) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drafts, d)
}

// through returns the drafts whose path includes a server.
func (r *runningDrafts) through(id string) []*draft {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*draft
	for d := range r.drafts {
		if d.currentPath().Contains(id) {
			out = append(out, d)
		}
	}
	return out
}

// on returns the drafts that run on the incarnation of a server that the crash ended.
func (r *runningDrafts) on(crash quarantine.Crash) []*draft {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*draft
	for d := range r.drafts {
		if slices.Contains(d.pathCrashes(), crash) {
			out = append(out, d)
		}
	}
	return out
}

// stallMonitor watches the progress of one attempt and reroutes the draft if a server of its path
// stalls the draft.
type stallMonitor struct {
	gateway *Gateway
	draft   *draft
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// mayRestart means that the draft may be sent to another first server after this attempt.
	mayRestart bool
	timer      *time.Timer
	// wake requests an immediate check; one pending request is enough.
	wake chan struct{}
	done chan struct{}
}

// monitorDraft starts a stallMonitor for an attempt; cancel ends the attempt.
func (g *Gateway) monitorDraft(ctx context.Context, d *draft, cancel context.CancelCauseFunc) *stallMonitor {
	m := &stallMonitor{
		gateway: g, draft: d, ctx: ctx, cancel: cancel,
		mayRestart: d.route.MayRepeat() && d.attempts+1 < d.route.MaxAttempts && d.sends+1 < maxSends,
		timer:      time.NewTimer(firstStallAfter),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	go m.run()
	return m
}

func (m *stallMonitor) run() {
	defer close(m.done)
	defer m.timer.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.timer.C:
		case <-m.wake:
		}
		m.check()
	}
}

// checkNow makes the monitor check the draft at once.
func (m *stallMonitor) checkNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// check reroutes or cancels the attempt if the draft is stalled.
func (m *stallMonitor) check() {
	d := m.draft
	path := d.currentPath()
	if len(path) == 0 {
		return
	}
	v := m.gateway.view.Load()
	isHeadUnresponsive := m.gateway.isUnresponsive(v, path[0].ID)
	hasFault := isHeadUnresponsive || m.gateway.hasFaultyPart(v, path)
	wait := d.stallThreshold()
	if hasFault {
		wait = faultStallAfter
	}
	if left := wait - d.idleTime(); left > 0 {
		m.timer.Reset(left)
		return
	}
	defer m.timer.Reset(recheckInterval)
	switch {
	case isHeadUnresponsive:
		m.cancel(errHeadUnresponsive)
	case hasFault:
		m.reroute(v, path[0])
	default:
		m.queryHead(path)
	}
}

// queryHead asks the first server which other server stalls the draft, and reroutes the draft
// around that server. The attempt ends if the first server doesn't answer for too long.
func (m *stallMonitor) queryHead(path layers.Path) {
	g, d, head := m.gateway, m.draft, path[0]
	address, err := g.stallReports.stalledBy(m.ctx, head.Address, d.header.ID)
	if m.ctx.Err() != nil {
		return
	}
	if err != nil {
		if d.idleTime() > headUnresponsiveAfter {
			g.markUnresponsive(head.ID, "does not answer while a draft waits: "+err.Error())
			m.cancel(errHeadUnresponsive)
		}
		return
	}
	for _, part := range path[1:] {
		if part.Address == address {
			g.markUnresponsive(part.ID, "stalls a draft at "+head.ID)
			m.reroute(g.view.Load(), head)
			return
		}
	}
}

// isUnresponsive reports whether a server is unresponsive to this gateway or to several others.
func (g *Gateway) isUnresponsive(v *view, id string) bool {
	return v.unresponsive[id] || g.faults.isUnresponsive(time.Now(), id)
}

// isFaulty reports whether a server is known to be unresponsive or to have left.
func (g *Gateway) isFaulty(v *view, id string) bool {
	return g.isUnresponsive(v, id) || v.states[id] == discovery.StateLeft
}

// hasFaultyPart reports whether a later server of the path is faulty.
func (g *Gateway) hasFaultyPart(v *view, path layers.Path) bool {
	return slices.ContainsFunc(path[1:], func(part layers.Part) bool { return g.isFaulty(v, part.ID) })
}

// reroute commands the first server to continue the draft on another path.
func (m *stallMonitor) reroute(v *view, head layers.Part) {
	g, d := m.gateway, m.draft
	for range maxReroutes {
		if f := g.checkContent(d.job); f != nil {
			if errors.Is(f.err, errQuarantined) {
				m.cancel(errQuarantined)
			}
			return // the next check may find that the draft may run
		}
		next, ok := g.findPath(d, head)
		if !ok {
			m.restart(head)
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, orderTimeout)
		fault, err := g.options.Orders.Reroute(ctx, head.Address, d.header.ID, next, v.fence)
		cancel()
		if m.ctx.Err() != nil {
			return
		}
		if err == nil {
			g.metrics.Reroutes.WithLabelValues().Inc()
			lost := d.pathCrashes()
			d.setPath(next)
			for i, crash := range lost {
				if i > 0 && g.isFaulty(v, crash.Server) {
					g.recordLostRun(d.job, crash, "rerouted around it")
				}
			}
			g.options.Log.Info("rerouted a draft", "request", d.header.ID, "path", formatPath(next), "silent_ms", d.idleTime().Milliseconds())
			return
		}
		id := v.byAddress[fault]
		g.options.Log.Info("could not reroute a draft", "request", d.header.ID, "server", id, "reason", err.Error())
		if id == "" {
			return
		}
		g.faults.markRefusing(time.Now(), id, refusalFor)
	}
}

// restart handles a draft for which no other path starts at its first server. It cancels the
// attempt if the draft may be retried and a path starts at another server. Otherwise the attempt
// goes on, and the next check may find a path.
func (m *stallMonitor) restart(head layers.Part) {
	g, d := m.gateway, m.draft
	path, ok := g.findPath(d, layers.Part{})
	hasOtherHead := ok && path[0].ID != head.ID
	// The retry is charged before the attempt is cancelled: if the budget has no retry left, the
	// attempt goes on and may still be rerouted later.
	isRestarted := hasOtherHead && m.mayRestart && g.allowRetry(d.job)
	g.options.Log.Info("no other path starts at the draft's first server", "request", d.header.ID, "path", formatPath(d.currentPath()),
		"silent_ms", d.idleTime().Milliseconds(), "elsewhere", hasOtherHead, "restarted", isRestarted)
	if isRestarted {
		m.cancel(errNoReroute)
	}
}

// markUnresponsive excludes an unresponsive server, reports it to the mesh, and checks the drafts
// whose path includes it.
func (g *Gateway) markUnresponsive(id, why string) {
	now := time.Now()
	if !g.faults.markUnresponsive(now, id) {
		return
	}
	g.options.Log.Info("a backend server is unresponsive", "server", id, "why", why)
	g.options.Mesh.SetUnresponsive(g.listUnresponsive(now))
	g.recordCrash(g.view.Load().crashOf(id), why, false)
	g.checkDraftsThrough(id)
}

// markUnreachable marks a server as unresponsive to which no connection could be opened. A refused
// connection confirms that the server has crashed.
func (g *Gateway) markUnreachable(id string, err error) {
	why := "can't be reached: " + err.Error()
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.recordCrash(g.view.Load().crashOf(id), why, true)
	}
	g.markUnresponsive(id, why)
}

func (g *Gateway) checkDraftsThrough(id string) {
	for _, d := range g.running.through(id) {
		if m := d.monitor.Load(); m != nil {
			m.checkNow()
		}
	}
}
