package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

const (
	// inboxSize bounds the events that wait for a run; then the reading of its connections
	// pauses.
	inboxSize = 64
	// tickInterval is how often a run judges its connections.
	tickInterval = 50 * time.Millisecond
	// provingTokens is the number of tokens after which a draft has not crashed a server.
	provingTokens = 4
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
	// unproved are new servers that have not run provedAt tokens of the draft yet.
	unproved []string
	provedAt int
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
			run.carryOut(run.stream.CallerDisconnected())
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
			run.stream.ClearLeaving(server)
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
		return run.stream.Failed(now, e.conn, pipeline.ReasonReported)
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
	run.prove()
}

func (run *draftRun) finish(err error) {
	if err == nil {
		run.last = &DraftEvent{Done: true}
		return
	}
	run.log.Info("a draft has failed", "err", err.Error(), "tokens", run.stream.Next())
	run.last = &DraftEvent{Err: draftOutcome(err, run.ran)}
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
