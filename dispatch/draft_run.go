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
	// inboxSize limits the events that are buffered for a run. When the buffer is full, no more
	// frames are read from its connections.
	inboxSize = 64
	// tickInterval is how often a run checks its connections.
	tickInterval = 50 * time.Millisecond
	// probationTokens is the number of tokens of a suspect draft that new servers must run before
	// they count as having survived the draft.
	probationTokens = 4
)

// connEvent is a frame from a connection, or the end of the connection.
type connEvent struct {
	conn   int
	server string // the server that sent the frame
	frame  backend.Frame
	reason pipeline.Reason // "" for a frame
	err    error
	// cancelled is set when a server has confirmed a cancellation or can't be reached.
	cancelled bool
}

// draftRun executes the actions that the stream of one draft asks for.
type draftRun struct {
	d      *Dispatcher
	r      Draft
	log    logr.Logger
	events *ring.Ring[DraftEvent]
	inbox  *ring.Ring[connEvent]
	stream *pipeline.Stream
	// callerCtx ends when the caller disconnects, ctx when the run has ended.
	callerCtx context.Context
	ctx       context.Context
	cancel    context.CancelFunc
	group     errgroup.Group
	last      *DraftEvent
	// deferred holds the replacements that wait for a server that runs no other suspect.
	deferred   []deferredReplace
	mayHaveRun bool
	// onProbation are new servers that have not run the draft up to token probationEnd yet.
	onProbation  []string
	probationEnd int
	// silent holds the servers that did not answer in time and have sent nothing since.
	silent map[string]bool
	// inUse are the servers on which this run counts as in flight.
	inUse []string

	mu    sync.Mutex
	conns map[int]*backend.Conn // nil while the connection is being opened
	// connected are the servers that have received the request.
	connected map[string]bool
}

func newDraftRun(callerCtx context.Context, d *Dispatcher, r Draft, chain pipeline.Chain, events *ring.Ring[DraftEvent]) *draftRun {
	ctx, cancel := context.WithCancel(context.WithoutCancel(callerCtx))
	run := &draftRun{
		d:         d,
		r:         r,
		log:       d.log.WithValues("request", r.ID),
		events:    events,
		inbox:     ring.New[connEvent](inboxSize),
		callerCtx: callerCtx,
		ctx:       ctx,
		cancel:    cancel,
		conns:     make(map[int]*backend.Conn),
		connected: make(map[string]bool),
		silent:    make(map[string]bool),
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

// runToEnd runs the stream to its end and returns the last event.
func (run *draftRun) runToEnd() DraftEvent {
	defer run.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	run.execute(run.stream.Begin(time.Now()))
	for run.last == nil {
		select {
		case <-run.callerCtx.Done():
			run.execute(run.stream.CallerDisconnected())
		case e := <-run.inbox.Items():
			run.execute(run.handleEvent(e))
		case now := <-ticker.C:
			run.tick(now)
		}
	}
	run.d.releaseServers(run.inUse...)
	return *run.last
}

// wait returns once all goroutines of the run have ended.
func (run *draftRun) wait() { _ = run.group.Wait() }

// tick checks the connections, unless events are waiting in the inbox: the stream could otherwise
// consider a connection silent although its frames have arrived.
func (run *draftRun) tick(now time.Time) {
	if len(run.inbox.Items()) > 0 {
		return
	}
	run.retryDeferred(now)
	run.execute(run.stream.Tick(now))
	leaving := run.d.leaving()
	for _, server := range run.stream.Servers() {
		if !slices.Contains(leaving, server) {
			run.stream.ClearLeaving(server)
			continue
		}
		run.execute(run.stream.Leaving(now, server))
	}
}

// handleEvent passes an event to the stream.
func (run *draftRun) handleEvent(e connEvent) []pipeline.Action {
	now := time.Now()
	if e.cancelled {
		return run.stream.Cancelled(now)
	}
	if e.reason != "" {
		return run.stream.Failed(now, e.conn, e.reason)
	}
	run.endSilence(e.server)
	f := e.frame
	if f.Request != run.r.ID {
		run.log.Info("dropped frame that belongs to another request", "other", f.Request)
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
		run.log.Info("backend server reported a failure", "message", f.Message)
		return run.stream.Failed(now, e.conn, pipeline.ReasonReported)
	default:
		return run.stream.Token(now, e.conn, pipeline.Token{
			Request: f.Request, Attempt: f.Attempt, Index: f.Index, Text: f.Text, Passed: f.Passed,
		})
	}
}

// execute executes the actions, and then the further actions that the stream asks for in response.
func (run *draftRun) execute(actions []pipeline.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], run.executeAction(a)...)
	}
}

// executeAction executes one action and returns the actions that the stream asks for in response.
func (run *draftRun) executeAction(a pipeline.Action) []pipeline.Action {
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
		run.log.Info("resuming stage over a new connection", "server", a.Server, "stage", a.Stage, "reason", string(a.Reason))
	case pipeline.Observe:
		run.d.observeStep(a.Stage, a.Took)
	case pipeline.Emit:
		run.emit(a.Token)
	case pipeline.Finish:
		run.finish(a.Err)
	}
	return nil
}

// emit passes a token to the caller. It waits for a slow caller until the deadline at most; the
// next tick then detects that the deadline has passed.
func (run *draftRun) emit(t pipeline.Token) {
	ctx, cancel := context.WithDeadline(run.callerCtx, run.r.Deadline)
	defer cancel()
	_ = run.events.Push(ctx, DraftEvent{Token: t})
	run.endProbation()
}

func (run *draftRun) finish(err error) {
	if err == nil {
		run.last = &DraftEvent{Done: true}
		return
	}
	run.log.Info("draft failed", "err", err.Error(), "tokens", run.stream.Next())
	run.last = &DraftEvent{Err: draftOutcome(err, run.mayHaveRun)}
}

func (run *draftRun) release(server string) {
	for i, s := range run.inUse {
		if s == server {
			run.inUse = append(run.inUse[:i], run.inUse[i+1:]...)
			run.d.resilience.recordStop(run.r.ID, server)
			run.d.releaseServers(server)
			return
		}
	}
}

func (run *draftRun) cancelStage(a pipeline.Cancel) {
	ctx := context.WithoutCancel(run.callerCtx)
	if err := backend.CancelStage(ctx, stageRef(a.Stage), run.r.ID); err != nil {
		run.log.V(1).Info("could not cancel stage", "server", a.Stage.Server.Name, "err", err.Error())
	}
	if a.Confirm {
		// Push fails only when the run has ended.
		_ = run.inbox.Push(run.ctx, connEvent{cancelled: true})
	}
}

// isTimeout reports whether a server did not answer in time. It may only be silent for a while.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// failureReason returns why a connection could not be opened or has ended.
func failureReason(err error, fallback pipeline.Reason) pipeline.Reason {
	switch {
	case errors.Is(err, backend.ErrRefused):
		return pipeline.ReasonRefused
	case errors.Is(err, backend.ErrBadFrame):
		return pipeline.ReasonBadFrame
	case isTimeout(err):
		return pipeline.ReasonNoAnswer
	default:
		return fallback
	}
}
