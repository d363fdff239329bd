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
	"github.com/balsamlb/balsamlb/reachability"
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

// runningAttempts holds the attempts that run, so that the drafts on a failed server can be rerouted at
// once. It is safe for concurrent use.
type runningAttempts struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
}

func newRunningAttempts() *runningAttempts {
	return &runningAttempts{attempts: make(map[*attempt]struct{})}
}

func (r *runningAttempts) add(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a] = struct{}{}
}

func (r *runningAttempts) remove(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// through returns the attempts whose path includes a server.
func (r *runningAttempts) through(id string) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*attempt
	for a := range r.attempts {
		if a.currentPath().Contains(id) {
			out = append(out, a)
		}
	}
	return out
}

// on returns the attempts that run on the incarnation of a server that the crash ended.
func (r *runningAttempts) on(crash quarantine.Crash) []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*attempt
	for a := range r.attempts {
		if slices.Contains(a.pathCrashes(), crash) {
			out = append(out, a)
		}
	}
	return out
}

// stallMonitor watches the progress of one attempt. If a server of its path stalls the draft, it
// reroutes the draft or has it sent to another first server as well. Silence alone never ends an
// attempt: the server may go on.
type stallMonitor struct {
	gateway *Gateway
	attempt *attempt
	timer   *time.Timer
	// wake requests an immediate check; one pending request is enough.
	wake chan struct{}
	done chan struct{}
}

// newStallMonitor returns the monitor of an attempt, which is run until the attempt's context ends.
func newStallMonitor(a *attempt) *stallMonitor {
	return &stallMonitor{gateway: a.gateway, attempt: a, timer: time.NewTimer(firstStallAfter), wake: make(chan struct{}, 1), done: make(chan struct{})}
}

func (m *stallMonitor) run() {
	defer close(m.done)
	defer m.timer.Stop()
	for {
		select {
		case <-m.attempt.ctx.Done():
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

// check reroutes the draft or starts another attempt if the draft is stalled. It ends the attempt if the
// first server has crashed for certain.
func (m *stallMonitor) check() {
	a := m.attempt
	path := a.currentPath()
	if len(path) == 0 {
		return
	}
	hasHeadCrashed := m.gateway.lost.isConfirmed(a.pathCrashes()[0])
	v := m.gateway.view.Load()
	isHeadUnresponsive := m.gateway.isUnresponsive(v, path[0].ID)
	hasFault := hasHeadCrashed || isHeadUnresponsive || m.gateway.hasFaultyPart(v, path)
	wait := a.stallThreshold()
	if hasFault {
		wait = faultStallAfter
	}
	if left := wait - a.idleTime(time.Now()); left > 0 {
		m.timer.Reset(left)
		return
	}
	defer m.timer.Reset(recheckInterval)
	// Queries and orders are requests, too, so a first server that wants none gets neither.
	isHeadPaused := m.gateway.isPaused(v, path[0].ID)
	switch {
	case hasHeadCrashed:
		// Only now, since events that it had sent before may still have been on their way to the caller.
		a.cancel(errHeadCrashed)
	case isHeadUnresponsive:
		m.gateway.startBeside(a, path[0].ID+" is unresponsive")
	case isHeadPaused:
		if hasFault || a.idleTime(time.Now()) > headUnresponsiveAfter {
			m.gateway.startBeside(a, path[0].ID+" wants nothing for a time")
		}
	case hasFault:
		m.reroute(v, path[0])
	default:
		m.queryHead(path)
	}
}

// queryHead asks the first server which other server stalls the draft, and reroutes the draft
// around that server. A first server that doesn't answer for too long is unresponsive.
func (m *stallMonitor) queryHead(path layers.Path) {
	g, a, head := m.gateway, m.attempt, path[0]
	address, err := g.stallReports.stalledBy(a.ctx, head.Address, a.draft.header.ID)
	if a.ctx.Err() != nil {
		return
	}
	if err != nil {
		if a.idleTime(time.Now()) > headUnresponsiveAfter {
			if g.markUnresponsive(head.ID, "does not answer while a draft waits: "+err.Error(), observedHere) {
				go g.judgeAndReport(head.ID)
			}
			go g.probeLost(a.pathCrashes()[0])
			g.startBeside(a, head.ID+" does not answer")
		}
		return
	}
	for i, part := range path[1:] {
		if part.Address == address {
			if g.markUnresponsive(part.ID, "stalls a draft at "+head.ID, observedElsewhere) {
				g.reportReachability(time.Now())
			}
			go g.probeLost(a.pathCrashes()[i+1])
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

// reroute commands the first server to continue the draft on another path. If none starts there, another
// attempt is started, since the stalling server may go on.
func (m *stallMonitor) reroute(v *view, head layers.Part) {
	g, a := m.gateway, m.attempt
	d := a.draft
	for range maxReroutes {
		if f := g.checkContent(d.job); f != nil {
			if errors.Is(f.err, errQuarantined) {
				a.cancel(errQuarantined)
			}
			return // the next check may find that the draft may run
		}
		next, ok := g.searchPath(d, head, a.currentPath())
		if !ok {
			g.startBeside(a, "no other path starts at "+head.ID)
			return
		}
		if err := g.beginRun(d.job); err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
		fault, err := g.options.Orders.Reroute(ctx, head.Address, d.header.ID, next, v.fence)
		cancel()
		if a.ctx.Err() != nil {
			return
		}
		if err == nil {
			g.metrics.Reroutes.WithLabelValues().Inc()
			lost := a.pathCrashes()
			a.setPath(next)
			for i, crash := range lost {
				if i > 0 && g.isFaulty(v, crash.Server) {
					g.recordLostRun(d.job, crash, a.writing.provedSound(), "rerouted around it")
				}
			}
			g.options.Log.Info("rerouted a draft", "request", d.header.ID, "path", formatPath(next), "silent_ms", a.idleTime(time.Now()).Milliseconds())
			return
		}
		id := v.byAddress[fault]
		g.options.Log.Info("could not reroute a draft", "request", d.header.ID, "server", id, "reason", err.Error())
		if id == "" {
			return
		}
		g.faults.markRefusing(time.Now(), id, refusalFor)
		g.recordFull(v, d, id, false, ResponseHeader{})
	}
}

// markUnresponsive excludes an unresponsive server, and checks the drafts whose path includes it. It returns
// false if the server was excluded already.
func (g *Gateway) markUnresponsive(id, why string, by observer) bool {
	if !g.faults.markUnresponsive(time.Now(), id, by) {
		return false
	}
	g.options.Log.Info("a backend server is unresponsive", "server", id, "why", why)
	g.checkDraftsThrough(id)
	return true
}

// markUnreachable marks a server as unresponsive to which no connection could be opened, and reports it once
// other servers were reached.
func (g *Gateway) markUnreachable(id string, err error) {
	why := "can't be reached: " + err.Error()
	crash := g.view.Load().crashOf(id)
	g.markUnresponsive(id, why, observedHere)
	if g.recordUnreachable(crash, why, err) {
		// Again, since the links may have been judged sound meanwhile: a server that counts as crashed is checked.
		g.faults.markUnresponsive(time.Now(), id, observedHere)
	}
	g.reportReachability(time.Now())
}

// recordUnreachable records the crash of a server to which no connection could be opened, unless the fault may
// be near this gateway, and reports whether it has. A refused connection confirms the crash if most other
// servers are reached.
func (g *Gateway) recordUnreachable(crash quarantine.Crash, why string, err error) bool {
	blame := g.judge(crash.Server)
	if blame == reachability.BlameNone {
		g.options.Log.Info("a backend server is not blamed", "server", crash.Server, "why", why, "is_cut_off", g.links.IsAnyCutOff())
		return false
	}
	g.recordCrash(crash, why, blame == reachability.BlameCertain && errors.Is(err, syscall.ECONNREFUSED))
	return true
}

// checkAll makes the monitors of all attempts check their drafts.
func (r *runningAttempts) checkAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.attempts {
		a.monitor.checkNow()
	}
}

func (g *Gateway) checkDraftsThrough(id string) {
	for _, a := range g.running.through(id) {
		a.monitor.checkNow()
	}
}
