package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/relay"
)

var (
	// errOvertaken cancels an attempt after another attempt of the same draft has brought the next
	// event.
	errOvertaken = errors.New("gateway: another attempt goes on with the draft")
	// errHeadCrashed cancels an attempt whose first server has crashed for certain.
	errHeadCrashed = errors.New("gateway: the first server has crashed")
	// errCallerGone ends an attempt whose caller takes no more events.
	errCallerGone = errors.New("gateway: the caller takes no more events")
)

// attempt is one run of a draft at a first server. It is safe for concurrent use.
type attempt struct {
	gateway *Gateway
	draft   *draft
	ctx     context.Context
	cancel  context.CancelCauseFunc
	monitor *stallMonitor
	// isDelivering means that an event is being written to the caller.
	isDelivering atomic.Bool
	writing      writing
	// relay is the instance that runs the attempt in place of this one; then the path is empty. It is set
	// before the attempt runs.
	relay *relay.Instance

	// mu guards the fields below, which change while the attempt runs.
	mu   sync.Mutex
	path layers.Path
	// pathEnds are the crashes that would end the incarnations of the path's servers.
	pathEnds []quarantine.Crash
	// heldTokens is the number of tokens that the draft keeps in memory on the servers of the path.
	heldTokens int
	// lastEventAt is when the last event was forwarded, or when the attempt started.
	lastEventAt time.Time
	// awaitsFirstEvent means that the attempt has returned no event yet.
	awaitsFirstEvent bool
	// isRereading means that no event has come since servers began to read the draft's prompt again.
	isRereading bool
}

// newAttempt returns an attempt on a path; it begins with run.
func (g *Gateway) newAttempt(ctx context.Context, d *draft, path layers.Path) *attempt {
	a := &attempt{gateway: g, draft: d, awaitsFirstEvent: true, lastEventAt: time.Now(), heldTokens: d.tokens()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.monitor = newStallMonitor(a)
	a.setPath(path)
	return a
}

// run runs the draft on the attempt's path, and returns nil once the stream is complete. The path is
// counted as used until then.
func (a *attempt) run() *failure {
	g, d := a.gateway, a.draft
	defer a.cancel(nil)
	g.running.add(a)
	defer a.setPath(nil)
	defer g.running.remove(a)
	go a.monitor.run()
	defer func() {
		a.cancel(nil)
		<-a.monitor.done
	}()
	started := time.Now()
	f := g.sendDraft(a)
	if f == nil {
		for _, part := range a.currentPath() {
			g.faults.markRecovered(part.ID)
			if d.isComplete.Load() {
				g.recordAlive(started, part.ID, "completed a draft")
			}
		}
		return nil
	}
	if a.relay != nil {
		return f
	}
	cause := context.Cause(a.ctx)
	head := a.pathCrashes()[0]
	if errors.Is(cause, errHeadCrashed) {
		f.reason = head.Server + " has crashed"
	}
	if f.ran && !errors.Is(cause, errOvertaken) {
		d.addEndedRun(head)
	}
	switch {
	case !f.ran:
	case d.callerCtx.Err() != nil:
		g.recordAbandonedAttempt(a)
	default:
		g.recordLostAttempt(a, cause, f.reason)
	}
	return f
}

// recordArrival returns how long the attempt has waited for an event that has arrived.
func (a *attempt) recordArrival(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaitsFirstEvent = false
	if a.isRereading {
		a.endReread()
	}
	silence := now.Sub(a.lastEventAt)
	a.lastEventAt = now
	return silence
}

// recordServersAnswer records that all servers of the path answer: an event has passed them.
func (a *attempt) recordServersAnswer() {
	now := time.Now()
	for _, part := range a.currentPath() {
		a.gateway.recordServerAnswers(now, part.ID)
	}
}

// endDelivery records that an event was written to the caller. The time that this took is not silence of
// the servers.
func (a *attempt) endDelivery(now time.Time) {
	a.mu.Lock()
	a.lastEventAt = now
	a.mu.Unlock()
	a.isDelivering.Store(false)
}

// progress returns the time since the last event or the start of the attempt, and whether the attempt
// has returned an event.
func (a *attempt) progress(now time.Time) (idle time.Duration, hasEvents bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.lastEventAt), !a.awaitsFirstEvent
}

// idleTime returns the time since the last event, or since the attempt started. Time in which the caller
// took no event or this process was paused doesn't count.
func (a *attempt) idleTime(now time.Time) time.Duration {
	if a.isDelivering.Load() {
		return 0
	}
	idle, _ := a.progress(now)
	return min(idle, a.gateway.pauses.sinceResumed(now))
}

// stallThreshold returns the time without an event after which the attempt counts as stalled.
func (a *attempt) stallThreshold() time.Duration {
	if _, hasEvents := a.progress(time.Time{}); !hasEvents {
		return firstStallAfter
	}
	return stallAfter
}

func (a *attempt) currentPath() layers.Path {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.path
}

// pathCrashes returns the crashes that would end the incarnations of the path's servers.
func (a *attempt) pathCrashes() []quarantine.Crash {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pathEnds
}

// setPath moves the attempt's usage from the servers of its old path to those of p. An empty path
// ends the usage.
func (a *attempt) setPath(p layers.Path) {
	g := a.gateway
	v := g.view.Load()
	ends := make([]quarantine.Crash, 0, len(p))
	for _, part := range p {
		ends = append(ends, v.crashOf(part.ID))
	}
	a.writing.restart(ends)
	a.mu.Lock()
	defer a.mu.Unlock()
	g.usage.add(a.path, a.heldTokens, -1)
	a.beginReread(p)
	a.path = p
	a.pathEnds = ends
	g.usage.add(p, a.heldTokens, 1)
}

// addTokens counts tokens that the draft has generated.
func (a *attempt) addTokens(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heldTokens += tokens
	a.gateway.usage.addTokens(a.path, tokens)
}

// startBeside starts a further attempt of a draft whose servers are silent, beside those that run. The
// servers may go on, so their attempts end only when another attempt brings the next event.
func (g *Gateway) startBeside(silent *attempt, reason string) {
	d := silent.draft
	if silent.ctx.Err() != nil {
		return
	}
	mayRepeat := d.route.MayRepeat() && g.hasAttempt(d.job) && (d.isStarted.Load() || d.sends.Load() < maxSends)
	if !mayRepeat || !d.race.mayJoin() || !g.hasRetry(d.job) {
		return
	}
	a := g.newAttemptBeside(d)
	// The budget is charged before the attempt joins: if no retry is left, the silent one goes on alone.
	if a == nil || !g.allowRetry(d.job) {
		g.options.Log.Info("no other path for a silent draft", "request", d.header.ID, "reason", reason, "has_path", a != nil)
		if a != nil {
			a.discard()
		}
		return
	}
	if !d.race.join(a) {
		a.discard()
		return
	}
	g.options.Log.Info("sending a silent draft to another server as well", "request", d.header.ID, "reason", reason,
		"path", formatPath(a.currentPath()), "relay", a.relay != nil, "silent_ms", silent.idleTime(time.Now()).Milliseconds())
}

// newAttemptBeside returns a further attempt of a silent draft, or nil if there is no way for it.
func (g *Gateway) newAttemptBeside(d *draft) *attempt {
	if g.links.IsCutOff(d.service.Name) {
		if taker, ok := g.pickRelay(d.job); ok {
			return g.newRelayedAttempt(d.callerCtx, d, taker)
		}
	}
	if path, ok := g.findNewPath(d); ok {
		return g.newAttempt(d.callerCtx, d, path)
	}
	return nil
}

// discard ends an attempt that was not run.
func (a *attempt) discard() {
	a.cancel(nil)
	a.setPath(nil)
}
