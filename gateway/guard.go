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
	// stallAfter is the time without an event after which a draft's path is looked at. Pauses
	// in steady state stay under 150 ms; those over 200 ms make an answer late.
	stallAfter = 300 * time.Millisecond
	// firstStallAfter is the same before the first event, which comes within 150 ms in steady
	// state, and later where drafts wait.
	firstStallAfter = 400 * time.Millisecond
	// flowingWithin is the time within which an event shows that a draft flows, whatever others
	// say of its servers; the longest pause of most drafts is shorter.
	flowingWithin = 120 * time.Millisecond
	// lookAgain is the time to the next look at a draft that is still held up.
	lookAgain = 200 * time.Millisecond
	// orderTimeout bounds one question or order to the first server of a path.
	orderTimeout = 400 * time.Millisecond
	// maxRepaths bounds the orders of one look.
	maxRepaths = 3
	// silentHeadAfter is the time without an event after which a first server that doesn't
	// answer either is given up.
	silentHeadAfter = 700 * time.Millisecond
)

var (
	// errHeadLost ends an attempt whose first server gives no sign of life.
	errHeadLost = errors.New("gateway: the first server gives no sign of life")
	// errNoWayAround ends an attempt that is held up where its first server can't be led on.
	errNoWayAround = errors.New("gateway: no path leads on from the first server")
)

// running are the drafts that run, so that those on a failed server are led around it at once.
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

// through returns the drafts whose path passes through a server.
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

// guard watches over the progress of one attempt and changes its path when a server of it
// holds the draft up.
type guard struct {
	gateway *Gateway
	draft   *draft
	ctx     context.Context
	giveUp  context.CancelCauseFunc
	// mayRestart says that the draft may go to another first server after this attempt.
	mayRestart bool
	timer      *time.Timer
	// nudges asks for a look at once; one waiting is enough.
	nudges chan struct{}
	done   chan struct{}
}

// guardDraft starts to watch over an attempt; giveUp ends it.
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

// nudge makes the guard look at the path at once.
func (gd *guard) nudge() {
	select {
	case gd.nudges <- struct{}{}:
	default:
	}
}

// look leads the draft around the server that holds it up.
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

// ask lets the first server say which other server holds up the draft.
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
			g.noteDead(part.ID, "holds up a draft at "+head.ID)
			gd.repath(g.view.Load(), head)
			return
		}
	}
}

// isLost reports whether a server gives this gateway, or several others, no sign of life.
func (gd *guard) isLost(v *view, id string) bool {
	return v.suspects[id] || gd.gateway.faults.isDead(time.Now(), id)
}

// knowsFault reports whether a later server of the path is known not to work.
func (gd *guard) knowsFault(v *view, path layers.Path) bool {
	for _, part := range path[1:] {
		if gd.isLost(v, part.ID) || v.states[part.ID] == discovery.StateGone {
			return true
		}
	}
	return false
}

// repath orders the first server to use another path.
func (gd *guard) repath(v *view, head layers.Part) {
	g, d := gd.gateway, gd.draft
	for range maxRepaths {
		next, ok := g.findPath(d, head)
		if !ok {
			gd.restart(head)
			return
		}
		ctx, cancel := context.WithTimeout(gd.ctx, orderTimeout)
		refused, err := g.options.Orders.Repath(ctx, head.Address, d.call.ID, next, v.fence)
		cancel()
		if gd.ctx.Err() != nil {
			return
		}
		if err == nil {
			g.metrics.Repaths.WithLabelValues().Inc()
			d.setPath(next)
			g.options.Log.Info("changed the path of a draft", "request", d.call.ID, "path", describe(next), "silent_ms", d.silence().Milliseconds())
			return
		}
		id := v.byAddress[refused]
		g.options.Log.Info("could not change the path of a draft", "request", d.call.ID, "server", id, "reason", err.Error())
		if id == "" {
			return
		}
		g.faults.refused(time.Now(), id, shortFor)
	}
}

// restart ends an attempt that no path leads on from its first server, if the draft may go on
// elsewhere and another first server has a path. Else the next look may find one.
func (gd *guard) restart(head layers.Part) {
	g, d := gd.gateway, gd.draft
	path, ok := g.findPath(d, layers.Part{})
	isElsewhere := ok && path[0].ID != head.ID
	// Paid for before the attempt ends: without a retry it may still find a way around later.
	isRestarted := isElsewhere && gd.mayRestart && g.allowRetry(d.job)
	g.options.Log.Info("found no way around for a draft", "request", d.call.ID, "path", describe(d.currentPath()),
		"silent_ms", d.silence().Milliseconds(), "elsewhere", isElsewhere, "restarted", isRestarted)
	if isRestarted {
		gd.giveUp(errNoWayAround)
	}
}

// noteDead notes that a server gives no sign of life, tells the others, and looks at the
// drafts that pass through it.
func (g *Gateway) noteDead(id, why string) {
	now := time.Now()
	if !g.faults.died(now, id) {
		return
	}
	g.options.Log.Info("a backend server gives no sign of life", "server", id, "why", why)
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
