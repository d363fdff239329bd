package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
)

// Draft is a text completion request.
type Draft struct {
	Request
	Prompt       string
	PromptTokens int
	MaxTokens    int
}

// DraftEvent is one event of an answer: a token, or the end. An event with Done or Err is the
// last one.
type DraftEvent struct {
	Token pipeline.Token
	Done  bool
	Err   *outcome.Error
}

const (
	// eventRingSize limits the tokens that are buffered for a slow caller. When the buffer is
	// full, no more frames are read from the chain.
	eventRingSize     = 64
	retryAfterFailure = time.Second
)

// Draft runs the request and pushes its events to the returned ring, up to and including the last
// one. The caller ends the request early by cancelling ctx.
func (d *Dispatcher) Draft(ctx context.Context, r Draft) *ring.Ring[DraftEvent] {
	events := ring.New[DraftEvent](eventRingSize)
	d.working.Add(1)
	go func() {
		defer d.working.Add(-1)
		last, wait := d.runDraft(ctx, r, events)
		if last.Done {
			d.served(r.ID)
			d.credit(r.Request, r.ID)
		}
		// The deadline doesn't limit this push: otherwise a slow caller would never receive the
		// last event.
		_ = events.Push(ctx, last)
		wait()
	}()
	return events
}

// runDraft runs the request over a chain. It returns the last event, and a function that waits
// until all messages to the backend servers have been sent.
func (d *Dispatcher) runDraft(ctx context.Context, r Draft, events *ring.Ring[DraftEvent]) (DraftEvent, func()) {
	choice, refusal := d.chooseForDraft(ctx, r)
	if refusal != nil {
		return DraftEvent{Err: refusal}, func() {}
	}
	run := newDraftRun(ctx, d, r, choice.Chain, events)
	last := run.runToEnd()
	d.recordDraftEnd(run, last)
	return last, run.wait
}

// draftOutcome converts the error at the end of a stream to the error for the caller.
func draftOutcome(err error, mayHaveRun bool) *outcome.Error {
	o := outcome.NotRun
	if mayHaveRun {
		o = outcome.Failed
	}
	var end *pipeline.EndError
	var stage *pipeline.StageError
	var order *pipeline.OrderError
	switch {
	case errors.As(err, &end) && end.Deadline:
		return errDeadline(o)
	case errors.As(err, &end):
		return &outcome.Error{Outcome: outcome.Failed, Code: outcome.CodeCancelled, Message: "the caller has gone"}
	case errors.As(err, &stage):
		return errServerFailed(o, "a stage failed and no backend server could take it over: "+string(stage.Reason))
	case errors.As(err, &order):
		return errServerFailed(outcome.Failed, "a token of the answer is missing")
	default:
		return errServerFailed(outcome.Failed, "a token did not pass every layer once, in order")
	}
}

func errServerFailed(o outcome.Outcome, message string) *outcome.Error {
	return &outcome.Error{Outcome: o, Code: outcome.CodeServerFailed, Message: message, RetryAfter: retryAfterFailure}
}

// errContextDone returns why ctx is done: the deadline has passed or the caller has left.
func errContextDone(ctx context.Context, o outcome.Outcome) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline(o)
	}
	return &outcome.Error{Outcome: o, Code: outcome.CodeCancelled, Message: "the caller has gone"}
}

func asOutcome(err error) *outcome.Error {
	var oe *outcome.Error
	if errors.As(err, &oe) {
		return oe
	}
	return &outcome.Error{Outcome: outcome.Failed, Code: outcome.CodeInterrupted, Message: err.Error()}
}
