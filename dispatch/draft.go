package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"golang.org/x/sync/errgroup"
)

// Draft is a request for text.
type Draft struct {
	Request
	Prompt       string
	PromptTokens int
	MaxTokens    int
}

// DraftEvent is one step of an answer: a token, or the end. After an event with Done or Err
// there are no more.
type DraftEvent struct {
	Token pipeline.Token
	Done  bool
	Err   *outcome.Error
}

const (
	// eventRingSize bounds the tokens that wait for a slow caller; then the reading of the
	// chain pauses.
	eventRingSize = 64
	// frameRingSize bounds the frames that wait to be put in order.
	frameRingSize = 64
	// progressTimeout is the silence after which a stage's connection is given up.
	progressTimeout   = time.Second
	retryAfterFailure = time.Second
)

// stageFrame is a frame, or the failure, of one stage's connection.
type stageFrame struct {
	stage int
	frame backend.Frame
	err   error
}

// Draft runs the request and passes events to the returned ring until the last one. The
// caller ends it early by cancelling ctx.
func (d *Dispatcher) Draft(ctx context.Context, r Draft) *ring.Ring[DraftEvent] {
	events := ring.New[DraftEvent](eventRingSize)
	go func() {
		runCtx, cancel := context.WithDeadline(ctx, r.Deadline)
		defer cancel()
		last := d.runDraft(runCtx, r, events)
		if last.Done {
			d.credit(r.Request, r.ID)
		}
		// The deadline doesn't end this wait, or a slow caller would never see the last event.
		_ = events.Push(ctx, last)
	}()
	return events
}

// runDraft runs one chain and returns the last event.
func (d *Dispatcher) runDraft(ctx context.Context, r Draft, events *ring.Ring[DraftEvent]) DraftEvent {
	choice, err := d.chooseChain(r, nil)
	if err != nil {
		return DraftEvent{Err: asOutcome(err)}
	}
	chain := choice.Chain
	for _, st := range chain {
		defer d.ended(st.Server.Name)
	}
	frames := ring.New[stageFrame](frameRingSize)
	run, runCtx := errgroup.WithContext(ctx)
	conns, err := openChain(runCtx, r, chain)
	defer closeAll(conns)
	if err != nil {
		d.log.Info("could not open a chain", "request", r.ID, "err", err.Error())
		return DraftEvent{Err: errServerFailed(outcome.NotRun, "a stage could not be opened")}
	}
	stop := context.AfterFunc(runCtx, func() { closeAll(conns) })
	defer stop()
	for i, c := range conns {
		run.Go(func() error {
			readFrames(runCtx, i, c, frames)
			return nil
		})
	}
	last := d.followDraft(ctx, r, frames, events)
	closeAll(conns)
	_ = run.Wait()
	return last
}

// openChain opens the stages from last to first, since the first one starts the work.
func openChain(ctx context.Context, r Draft, chain pipeline.Chain) ([]*backend.Conn, error) {
	refs := stageRefs(chain)
	conns := make([]*backend.Conn, len(chain))
	for i := len(chain) - 1; i >= 0; i-- {
		c, err := backend.OpenStage(ctx, backend.StageOpen{
			Request:      r.ID,
			Attempt:      1,
			Workspace:    r.Workspace.Name,
			Chain:        refs,
			Stage:        i,
			Prompt:       r.Prompt,
			PromptTokens: r.PromptTokens,
			MaxTokens:    r.MaxTokens,
		})
		if err != nil {
			return conns, err
		}
		conns[i] = c
	}
	return conns, nil
}

func closeAll(conns []*backend.Conn) {
	for _, c := range conns {
		if c != nil {
			c.Close()
		}
	}
}

func readFrames(ctx context.Context, stage int, c *backend.Conn, frames *ring.Ring[stageFrame]) {
	for {
		f, err := c.Next()
		if frames.Push(ctx, stageFrame{stage: stage, frame: f, err: err}) != nil || err != nil {
			return
		}
		if f.Kind == backend.FrameEnd || f.Kind == backend.FrameError {
			return
		}
	}
}

// followDraft puts the tokens in order and passes them on until the explicit end.
func (d *Dispatcher) followDraft(ctx context.Context, r Draft, frames *ring.Ring[stageFrame], events *ring.Ring[DraftEvent]) DraftEvent {
	stream := pipeline.NewStream(r.ID, r.Service.Layers)
	total := -1
	silence := time.NewTimer(progressTimeout)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return DraftEvent{Err: errStopped(ctx)}
		case <-silence.C:
			d.log.Info("a chain has gone silent", "request", r.ID)
			return DraftEvent{Err: errServerFailed(outcome.Failed, "the chain has gone silent")}
		case sf := <-frames.Items():
			silence.Reset(progressTimeout)
			if sf.err != nil {
				d.log.Info("a stage has failed", "request", r.ID, "stage", sf.stage, "err", sf.err.Error())
				return DraftEvent{Err: errServerFailed(outcome.Failed, "a stage has failed")}
			}
			switch sf.frame.Kind {
			case backend.FrameToken:
				if err := emit(ctx, stream, sf.frame, events); err != nil {
					d.log.Error(err, "a token was refused", "request", r.ID)
					return DraftEvent{Err: errServerFailed(outcome.Failed, "a token did not pass every layer once")}
				}
			case backend.FrameEnd:
				total = sf.frame.Tokens
			case backend.FrameError:
				return DraftEvent{Err: errServerFailed(outcome.Failed, sf.frame.Message)}
			}
			if total >= 0 && stream.IsComplete(total) {
				return DraftEvent{Done: true}
			}
		}
	}
}

func emit(ctx context.Context, stream *pipeline.Stream, f backend.Frame, events *ring.Ring[DraftEvent]) error {
	tokens, err := stream.Token(pipeline.Token{
		Request: f.Request,
		Attempt: f.Attempt,
		Index:   f.Index,
		Text:    f.Text,
		Passed:  f.Passed,
	})
	for _, t := range tokens {
		if pushErr := events.Push(ctx, DraftEvent{Token: t}); pushErr != nil {
			return pushErr
		}
	}
	return err
}

func errServerFailed(o outcome.Outcome, message string) *outcome.Error {
	return &outcome.Error{Outcome: o, Code: outcome.CodeServerFailed, Message: message, RetryAfter: retryAfterFailure}
}

func errStopped(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline(outcome.Failed)
	}
	return &outcome.Error{Outcome: outcome.Failed, Code: outcome.CodeCancelled, Message: "the caller has gone"}
}

func asOutcome(err error) *outcome.Error {
	var oe *outcome.Error
	if errors.As(err, &oe) {
		return oe
	}
	return &outcome.Error{Outcome: outcome.Failed, Code: outcome.CodeInterrupted, Message: err.Error()}
}
