package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
)

const (
	// stallAfter is the time without an event after which a draft counts as stalled and its path is
	// checked. In steady state events are less than 150 ms apart; over 200 ms the answer is late.
	stallAfter = 300 * time.Millisecond
	// firstStallAfter is the same before the first event, which arrives within 150 ms in steady
	// state, and later where drafts queue.
	firstStallAfter = 400 * time.Millisecond
	// faultStallAfter is the time without an event after which a draft counts as stalled if a
	// server of its path is known to be faulty. Until then the draft counts as progressing,
	// whatever is reported about its servers: most drafts never take longer between two events.
	flowingWithin = 120 * time.Millisecond
	// recheckInterval is the time until the next check of a draft that is still stalled.
	lookAgain = 200 * time.Millisecond
	// orderTimeout bounds one query or command to the first server of a path.
	orderTimeout = 400 * time.Millisecond
	// maxReroutes bounds the reroute commands of one check.
	maxRepaths = 3
	// headLostAfter is the time without an event after which a first server that doesn't answer
	// the query about stalls either counts as unresponsive.
	silentHeadAfter = 700 * time.Millisecond
)

var (
	// errHeadLost cancels an attempt whose first server is unresponsive.
	errHeadLost = errors.New("gateway: the first server is unresponsive")
	// errNoReroute cancels a stalled attempt for which no other path starts at its first server.
	errNoWayAround = errors.New("gateway: no other path starts at the first server")
)

// runningDrafts holds the drafts that run, so that those on a failed server can be rerouted at
// once.
type running struct {
	mu     sync.Mutex
	drafts map[*draft]struct{}
}

func newRunning() *running { return &running{drafts: make(map[*draft]struct{})} }

func (r *running) add(d *draft) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drafts[d] = struct{}{}
}

func (r *running) remove(d *draft) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drafts, d)
}

// through returns the drafts whose path includes a server.
func (r *running) through(id string) []*draft {
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

// stallMonitor watches the progress of one attempt and reroutes the draft if a server of its path
// stalls it.
type guard struct {
	gateway *Gateway
	draft   *draft
	ctx     context.Context
	giveUp  context.CancelCauseFunc
	// mayRestart means that the draft may be sent to another first server after this attempt.
	mayRestart bool
	timer      *time.Timer
	// wake requests an immediate check; one pending request is enough.
	nudges chan struct{}
	done   chan struct{}
}

// monitorDraft starts a stallMonitor for an attempt; cancel ends the attempt.
func (g *Gateway) guardDraft(ctx context.Context, d *draft, giveUp context.CancelCauseFunc) *guard {
	gd := &guard{
		gateway: g, draft: d, ctx: ctx, giveUp: giveUp,
		mayRestart: d.route.MayRepeat() && d.attempts+1 < d.route.MaxAttempts && d.sends+1 < maxSends,
		timer:      time.NewTimer(firstStallAfter),
		nudges:     make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	go gd.run()
	return gd
}

func (gd *guard) run() {
	defer close(gd.done)
	defer gd.timer.Stop()
	for {
		select {
		case <-gd.ctx.Done():
			return
		case <-gd.timer.C:
		case <-gd.nudges:
		}
		gd.look()
	}
}

// checkNow makes the monitor check the draft at once.
func (gd *guard) nudge() {
	select {
	case gd.nudges <- struct{}{}:
	default:
	}
}

// check reroutes or cancels the attempt if the draft is stalled.
func (gd *guard) look() {
	d := gd.draft
	path := d.currentPath()
	if len(path) == 0 {
		return
	}
	v := gd.gateway.view.Load()
	isHeadLost := gd.isLost(v, path[0].ID)
	knowsFault := isHeadLost || gd.knowsFault(v, path)
	wait := d.stallTime()
	if knowsFault {
		wait = flowingWithin
	}
	if left := wait - d.silence(); left > 0 {
		gd.timer.Reset(left)
		return
	}
	defer gd.timer.Reset(lookAgain)
	switch {
	case isHeadLost:
		gd.giveUp(errHeadLost)
	case knowsFault:
		gd.repath(v, path[0])
	default:
		gd.ask(path)
	}
}

// queryHead asks the first server which other server stalls the draft, and reroutes the draft
// around that server. The attempt ends if the first server doesn't answer for too long.
func (gd *guard) ask(path layers.Path) {
	g, d, head := gd.gateway, gd.draft, path[0]
	address, err := g.stalls.holdsUp(gd.ctx, head.Address, d.call.ID)
	if gd.ctx.Err() != nil {
		return
	}
	if err != nil {
		if d.silence() > silentHeadAfter {
			g.noteDead(head.ID, "does not answer while a draft waits: "+err.Error())
			gd.giveUp(errHeadLost)
		}
		return
	}
	for _, part := range path[1:] {
		if part.Address == address {
			g.noteDead(part.ID, "stalls a draft at "+head.ID)
			gd.repath(g.view.Load(), head)
			return
		}
	}
}

// isLost reports whether a server is unresponsive to this gateway or to several others.
func (gd *guard) isLost(v *view, id string) bool {
	return v.suspects[id] || gd.gateway.faults.isDead(time.Now(), id)
}

// hasKnownFault reports whether a later server of the path is known to be unresponsive or gone.
func (gd *guard) knowsFault(v *view, path layers.Path) bool {
	for _, part := range path[1:] {
		if gd.isLost(v, part.ID) || v.states[part.ID] == discovery.StateGone {
			return true
		}
	}
	return false
}

// reroute commands the first server to continue the draft on another path.
func (gd *guard) repath(v *view, head layers.Part) {
	g, d := gd.gateway, gd.draft
	for range maxRepaths {
		next, ok := g.findPath(d, head)
		if !ok {
			gd.restart(head)
			return
		}
		ctx, cancel := context.WithTimeout(gd.ctx, orderTimeout)
		refused, err := g.options.Orders.Reroute(ctx, head.Address, d.call.ID, next, v.fence)
		cancel()
		if gd.ctx.Err() != nil {
			return
		}
		if err == nil {
			g.metrics.Repaths.WithLabelValues().Inc()
			d.setPath(next)
			g.options.Log.Info("rerouted a draft", "request", d.call.ID, "path", describe(next), "silent_ms", d.silence().Milliseconds())
			return
		}
		id := v.byAddress[refused]
		g.options.Log.Info("could not reroute a draft", "request", d.call.ID, "server", id, "reason", err.Error())
		if id == "" {
			return
		}
		g.faults.refused(time.Now(), id, shortFor)
	}
}

// restart cancels an attempt for which no other path starts at its first server, if the draft may
// be retried and another first server has a path. Otherwise the next check may find a path.
func (gd *guard) restart(head layers.Part) {
	g, d := gd.gateway, gd.draft
	path, ok := g.findPath(d, layers.Part{})
	isElsewhere := ok && path[0].ID != head.ID
	// The retry is charged before the attempt is cancelled: if the budget has none left, the
	// attempt goes on and may still be rerouted later.
	isRestarted := isElsewhere && gd.mayRestart && g.allowRetry(d.job)
	g.options.Log.Info("found no path to reroute a draft", "request", d.call.ID, "path", describe(d.currentPath()),
		"silent_ms", d.silence().Milliseconds(), "elsewhere", isElsewhere, "restarted", isRestarted)
	if isRestarted {
		gd.giveUp(errNoWayAround)
	}
}

// markUnresponsive excludes an unresponsive server, reports it to the mesh, and checks the drafts
// whose path includes it.
func (g *Gateway) noteDead(id, why string) {
	now := time.Now()
	if !g.faults.died(now, id) {
		return
	}
	g.options.Log.Info("a backend server is unresponsive", "server", id, "why", why)
	g.options.Mesh.SetFaulty(g.listDead(now))
	g.nudgeThrough(id)
}

func (g *Gateway) nudgeThrough(id string) {
	for _, d := range g.running.through(id) {
		if gd := d.guard.Load(); gd != nil {
			gd.nudge()
		}
	}
}
