package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
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
	eventRingSize     = 64
	retryAfterFailure = time.Second
)

// Draft runs the request and passes events to the returned ring until the last one. The
// caller ends it early by cancelling ctx.
func (d *Dispatcher) Draft(ctx context.Context, r Draft) *ring.Ring[DraftEvent] {
	events := ring.New[DraftEvent](eventRingSize)
	go func() {
		last, wait := d.runDraft(ctx, r, events)
		if last.Done {
			d.served(r.ID)
			d.credit(r.Request, r.ID)
		}
		// The deadline doesn't end this wait, or a slow caller would never see the last event.
		_ = events.Push(ctx, last)
		wait()
	}()
	return events
}

// runDraft runs the request over a chain and returns the last event, and a function that
// waits for what is left to tell the backend servers.
func (d *Dispatcher) runDraft(ctx context.Context, r Draft, events *ring.Ring[DraftEvent]) (DraftEvent, func()) {
	choice, refusal := d.chooseForDraft(ctx, r)
	if refusal != nil {
		return DraftEvent{Err: refusal}, func() {}
	}
	run := newDraftRun(ctx, d, r, choice.Chain, events)
	last := run.follow()
	d.noteDraft(run, last)
	return last, run.wait
}

// draftOutcome returns what the caller is told of the end of a stream.
func draftOutcome(err error, ran bool) *outcome.Error {
	o := outcome.NotRun
	if ran {
		o = outcome.Failed
	}
	var end *pipeline.EndError
	var stage *pipeline.StageError
	switch {
	case errors.As(err, &end) && end.Deadline:
		return errDeadline(o)
	case errors.As(err, &end):
		return &outcome.Error{Outcome: outcome.Failed, Code: outcome.CodeCancelled, Message: "the caller has gone"}
	case errors.As(err, &stage):
		return errServerFailed(o, "a stage failed and no backend server could take it over: "+string(stage.Reason))
	default:
		return errServerFailed(outcome.Failed, "a token did not pass every layer once, in order")
	}
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
