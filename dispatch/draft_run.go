package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

const (
	// inboxSize bounds the events that wait for a run; then the reading of its connections
	// pauses.
	inboxSize = 64
	// tickInterval is how often a run judges its connections.
	tickInterval = 50 * time.Millisecond
)

// connEvent is a frame, or the end, of one connection.
type connEvent struct {
	conn   int
	frame  backend.Frame
	reason pipeline.Reason // "" for a frame
	err    error
	// cancelled says that a server has confirmed a cancel or can't be reached.
	cancelled bool
}

// draftRun carries out what the stream of one draft decides.
type draftRun struct {
	d      *Dispatcher
	r      Draft
	log    logr.Logger
	events *ring.Ring[DraftEvent]
	inbox  *ring.Ring[connEvent]
	stream *pipeline.Stream
	// caller ends when the caller has gone, ctx when the run has ended.
	caller context.Context
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	last   *DraftEvent
	// held are the stages that wait for a server of their own.
	held []heldReplace
	ran  bool
	// inUse are the servers that count this run as work of theirs.
	inUse []string

	mu    sync.Mutex
	conns map[int]*backend.Conn // nil while it is being opened
	// connected are the servers that have had the request.
	connected map[string]bool
}

func newDraftRun(caller context.Context, d *Dispatcher, r Draft, chain pipeline.Chain, events *ring.Ring[DraftEvent]) *draftRun {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	run := &draftRun{
		d:         d,
		r:         r,
		log:       d.log.WithValues("request", r.ID),
		events:    events,
		inbox:     ring.New[connEvent](inboxSize),
		caller:    caller,
		ctx:       ctx,
		cancel:    cancel,
		conns:     make(map[int]*backend.Conn),
		connected: make(map[string]bool),
		stream: pipeline.NewStream(pipeline.StreamSpec{
			Request:   r.ID,
			Layers:    r.Service.Layers,
			Deadline:  r.Deadline,
			MaxTokens: r.MaxTokens,
			Chain:     chain,
			Limits:    pipeline.DefaultLimits(),
		}),
	}
	for _, st := range chain {
		run.inUse = append(run.inUse, st.Server.Name)
	}
	return run
}

// follow runs the stream to its end and returns the last event.
func (run *draftRun) follow() DraftEvent {
	defer run.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	run.carryOut(run.stream.Begin(time.Now()))
	for run.last == nil {
		select {
		case <-run.caller.Done():
			run.carryOut(run.stream.CallerGone())
		case e := <-run.inbox.Items():
			run.carryOut(run.take(e))
		case now := <-ticker.C:
			run.tick(now)
		}
	}
	run.d.ended(run.inUse...)
	return *run.last
}

// wait returns once all goroutines of the run have ended.
func (run *draftRun) wait() { _ = run.group.Wait() }

// tick judges the connections, unless frames wait to be taken: they may be what is missed.
func (run *draftRun) tick(now time.Time) {
	if len(run.inbox.Items()) > 0 {
		return
	}
	run.retryHeld(now)
	run.carryOut(run.stream.Tick(now))
	leaving := run.d.leaving()
	for _, server := range run.stream.Servers() {
		if !slices.Contains(leaving, server) {
			run.stream.Stays(server)
			continue
		}
		run.carryOut(run.stream.Leaving(now, server))
	}
}

// take passes an event to the stream.
func (run *draftRun) take(e connEvent) []pipeline.Action {
	now := time.Now()
	if e.cancelled {
		return run.stream.Cancelled(now)
	}
	if e.reason != "" {
		return run.stream.Failed(now, e.conn, e.reason)
	}
	f := e.frame
	if f.Request != run.r.ID {
		run.log.Info("dropped a frame of another request", "other", f.Request)
		return nil
	}
	if f.Attempt != run.stream.Attempt() {
		return nil
	}
	progress := pipeline.Progress{Received: f.Received, Ran: f.Ran, Known: f.Known}
	switch f.Kind {
	case backend.FrameOpened:
		return run.stream.Opened(now, e.conn, progress)
	case backend.FrameAlive:
		return run.stream.Alive(now, e.conn, progress)
	case backend.FrameEnd:
		return run.stream.End(now, e.conn, f.Tokens)
	case backend.FrameError:
		run.log.Info("a server has told a failure", "message", f.Message)
		return run.stream.Failed(now, e.conn, pipeline.ReasonTold)
	default:
		return run.stream.Token(now, e.conn, pipeline.Token{
			Request: f.Request, Attempt: f.Attempt, Index: f.Index, Text: f.Text, Passed: f.Passed,
		})
	}
}

// carryOut does what the stream asks for, and what it asks for in answer.
func (run *draftRun) carryOut(actions []pipeline.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], run.do(a)...)
	}
}

// do carries out one action and returns what the stream asks for in answer.
func (run *draftRun) do(a pipeline.Action) []pipeline.Action {
	switch a := a.(type) {
	case pipeline.Open:
		run.open(a)
	case pipeline.Close:
		run.close(a.Conn)
	case pipeline.Replace:
		return run.replace(a)
	case pipeline.Start:
		run.start(a)
	case pipeline.Cancel:
		run.group.Go(func() error { run.cancelStage(a); return nil })
	case pipeline.Release:
		run.release(a.Server)
	case pipeline.Resume:
		run.log.Info("resumes over a new connection", "server", a.Server, "stage", a.Stage, "reason", string(a.Reason))
	case pipeline.Observe:
		run.d.observeStep(a.Stage, a.Took)
	case pipeline.Emit:
		run.emit(a.Token)
	case pipeline.Finish:
		run.finish(a.Err)
	}
	return nil
}

// emit waits for a slow caller until the deadline, which the next tick then sees.
func (run *draftRun) emit(t pipeline.Token) {
	ctx, cancel := context.WithDeadline(run.caller, run.r.Deadline)
	defer cancel()
	_ = run.events.Push(ctx, DraftEvent{Token: t})
}

func (run *draftRun) finish(err error) {
	if err == nil {
		run.last = &DraftEvent{Done: true}
		return
	}
	run.log.Info("a draft has failed", "err", err.Error(), "tokens", run.stream.Next())
	run.last = &DraftEvent{Err: draftOutcome(err, run.ran)}
}

// replace chooses servers for the layers of a stage.
func (run *draftRun) replace(a pipeline.Replace) []pipeline.Action {
	run.d.noteStageFailure(run, a)
	return run.tryReplace(a)
}

// tryReplace chooses servers, or holds the stage of a suspect until it can run apart. The
// draft's deadline bounds the wait.
func (run *draftRun) tryReplace(a pipeline.Replace) []pipeline.Action {
	verdict := run.d.guard.check(run.r.fingerprint())
	if verdict == quarantine.Quarantined {
		run.last = &DraftEvent{Err: errQuarantined(outcome.Failed)}
		return nil
	}
	if len(run.held) > 0 && run.d.guard.isShared(run.r.fingerprint(), a.Chain) {
		return run.hold(a)
	}
	stages, err := run.d.chooseStages(run.r, a)
	if err != nil && verdict == quarantine.Suspect {
		return run.hold(a)
	}
	if err != nil {
		run.log.Info("found no replacement", "server", a.Server, "reason", string(a.Reason), "err", err.Error())
		return run.stream.NoReplacement(time.Now(), a.Stage)
	}
	names := make([]string, len(stages))
	for i, st := range stages {
		names[i] = st.Server.Name
	}
	run.inUse = append(run.inUse, names...)
	run.d.guard.started(run.r.ID, run.r.fingerprint(), serversOf(stages)...)
	run.log.Info("replaces a stage", "server", a.Server, "reason", string(a.Reason), "by", names, "next", run.stream.Next())
	return run.stream.Replaced(time.Now(), a.Stage, stages)
}

// heldReplace is a stage of a suspect that waits for a server on which no other suspect runs.
type heldReplace struct {
	replace pipeline.Replace
	// at is the time of the next look.
	at time.Time
}

func (run *draftRun) hold(a pipeline.Replace) []pipeline.Action {
	run.held = append(run.held, heldReplace{replace: a, at: time.Now().Add(suspectPause)})
	run.d.guard.hold(run.r.ID, true)
	return nil
}

// retryHeld looks again for servers for the stages that wait.
func (run *draftRun) retryHeld(now time.Time) {
	if len(run.held) == 0 || now.Before(run.held[0].at) {
		return
	}
	held := run.held
	for _, h := range held {
		run.carryOut(run.tryReplace(h.replace))
	}
	run.held = run.held[len(held):]
	if len(run.held) == 0 {
		run.d.guard.hold(run.r.ID, false)
	}
}

func (run *draftRun) release(server string) {
	for i, s := range run.inUse {
		if s == server {
			run.inUse = append(run.inUse[:i], run.inUse[i+1:]...)
			run.d.guard.stopped(run.r.ID, server)
			run.d.ended(server)
			return
		}
	}
}

func (run *draftRun) cancelStage(a pipeline.Cancel) {
	ctx := context.WithoutCancel(run.caller)
	if err := backend.CancelStage(ctx, stageRef(a.Stage), run.r.ID); err != nil {
		run.log.V(1).Info("could not cancel", "server", a.Stage.Server.Name, "err", err.Error())
	}
	if a.Confirm {
		// The push fails only when the run has ended.
		_ = run.inbox.Push(run.ctx, connEvent{cancelled: true})
	}
}

// failureReason tells why a connection could not be opened or has ended.
func failureReason(err error, otherwise pipeline.Reason) pipeline.Reason {
	switch {
	case errors.Is(err, backend.ErrRefused):
		return pipeline.ReasonRefused
	case errors.Is(err, backend.ErrBadFrame):
		return pipeline.ReasonBadFrame
	default:
		return otherwise
	}
}
