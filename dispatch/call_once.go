package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/replica"
)

const (
	// finishTimeout bounds the recording of an outcome after the answer is known.
	finishTimeout = 5 * time.Second
	// duplicatePoll is how often a duplicate looks for the first one's outcome.
	duplicatePoll      = 50 * time.Millisecond
	retryAfterNoQuorum = time.Second
)

// callOnce dispatches only after a quorum has recorded the request, and answers only after
// a quorum has recorded the outcome.
func (d *Dispatcher) callOnce(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	server, err := d.chooseServer(r.Request, nil)
	if err != nil {
		return backend.CallAnswer{}, asOutcome(err)
	}
	release := func() { d.ended(server.Name) }
	key := ledger.Key{Workspace: r.Workspace.Name, Service: r.Service.Name, Idempotency: r.Key}
	for {
		begin, err := d.begin(ctx, r, key)
		if err != nil {
			release()
			d.abandon(ctx, key, r.ID)
			return backend.CallAnswer{}, errNoQuorum()
		}
		if begin.Verdict == ledger.VerdictGranted {
			return d.dispatchOnce(ctx, r, key, server)
		}
		answer, oe := settled(begin)
		if oe == nil || oe.Code != outcome.CodeInProgress {
			release()
			return answer, oe
		}
		if !sleep(ctx, duplicatePoll) {
			release()
			return backend.CallAnswer{}, oe
		}
	}
}

func (d *Dispatcher) begin(ctx context.Context, r Call, key ledger.Key) (ledger.Result, error) {
	result, err := d.proposer.Propose(ctx, replica.Command{Begin: &ledger.Begin{
		Key:        key,
		Digest:     digestOf(r),
		Attempt:    r.ID,
		Dispatcher: ledger.Dispatcher{Instance: d.instance},
	}})
	if err != nil {
		return ledger.Result{}, err
	}
	return *result.Ledger, nil
}

// abandon withdraws an attempt that was not dispatched, so that its Begin does not hold the
// key if it is committed later.
func (d *Dispatcher) abandon(ctx context.Context, key ledger.Key, attempt string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		c := replica.Command{Abandon: &ledger.Abandon{Key: key, Attempt: attempt}}
		if _, err := d.proposer.Propose(ctx, c); err != nil {
			d.log.Error(err, "could not withdraw an attempt", "request", attempt)
		}
	}()
}

func (d *Dispatcher) dispatchOnce(ctx context.Context, r Call, key ledger.Key, server fleet.BackendServer) (backend.CallAnswer, *outcome.Error) {
	answer, err := d.send(ctx, r, server)
	finish := ledger.Finish{Key: key, Attempt: r.ID, Phase: ledger.PhaseFinished}
	if err != nil {
		return backend.CallAnswer{}, d.failOnce(ctx, r, finish, err)
	}
	finish.Answer = ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if !d.finish(ctx, finish) {
		return backend.CallAnswer{}, errUnknown("the outcome could not be recorded")
	}
	d.credit(r.Request, key.Workspace+"/"+key.Service+"/"+key.Idempotency)
	return answer, nil
}

// failOnce settles a dispatch that brought no answer. The request did not run only if it
// never left this instance.
func (d *Dispatcher) failOnce(ctx context.Context, r Call, finish ledger.Finish, err error) *outcome.Error {
	d.log.Info("a call has failed", "request", r.ID, "err", err.Error())
	var ce *backend.CallError
	if errors.As(err, &ce) && !ce.Sent {
		d.abandon(ctx, finish.Key, r.ID)
		return errServerFailed(outcome.NotRun, "the backend server could not be reached")
	}
	finish.Phase = ledger.PhaseUnknown
	d.finish(ctx, finish)
	return errUnknown("the backend server did not answer")
}

func (d *Dispatcher) finish(ctx context.Context, f ledger.Finish) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	_, err := d.proposer.Propose(ctx, replica.Command{Finish: &replica.Finish{Finish: f}})
	if err != nil {
		d.log.Error(err, "could not record an outcome", "request", f.Attempt)
	}
	return err == nil
}

// settled turns the verdict on a duplicate into its answer.
func settled(r ledger.Result) (backend.CallAnswer, *outcome.Error) {
	switch r.Verdict {
	case ledger.VerdictFinished:
		a := r.Record.Answer
		return backend.CallAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}, nil
	case ledger.VerdictUnknown:
		return backend.CallAnswer{}, errUnknown("an earlier attempt ended without a known outcome")
	case ledger.VerdictMismatch:
		return backend.CallAnswer{}, &outcome.Error{
			Outcome: outcome.NotRun,
			Code:    outcome.CodeKeyReused,
			Field:   backend.HeaderKey,
			Message: "the key was used with another body",
		}
	case ledger.VerdictAbandoned:
		return backend.CallAnswer{}, errNoQuorum()
	default:
		return backend.CallAnswer{}, &outcome.Error{
			Outcome:    outcome.Unknown,
			Code:       outcome.CodeInProgress,
			Message:    "an earlier attempt with the same key is running",
			RetryAfter: time.Second,
		}
	}
}

func errUnknown(message string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.Unknown, Code: outcome.CodeInterrupted, Message: message}
}

func errNoQuorum() *outcome.Error {
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Code:       outcome.CodeNoQuorum,
		Message:    "the request could not be recorded",
		RetryAfter: retryAfterNoQuorum,
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// digestOf identifies all that makes the request what it is, beside its key.
func digestOf(r Call) ledger.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Service.Name), []byte(r.ContentType), r.Body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return ledger.Digest(h.Sum(nil)[:len(ledger.Digest{})])
}
