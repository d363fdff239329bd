package dispatch

import (
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
)

const (
	outcomeNotRun = outcome.NotRun

	retryAfterNoQuorum   = time.Second
	retryAfterInProgress = time.Second
)

// errBadResult means that a control instance returned a result of the wrong type.
var errBadResult = errors.New("dispatch: the command returned no ledger result")

// markSettled marks a refusal as settled: the ledger has confirmed that the request was not run,
// however often the caller has sent it with this key.
func markSettled(e *outcome.Error) *outcome.Error {
	e.Settled = true
	return e
}

// ForCaller returns the error in the form that may be reported to the caller of a
// non-idempotent request. An instance that has not asked the ledger can't know whether an
// earlier send has run, so it reports "not run" only if the caller has stated that this is the
// first send.
func ForCaller(e *outcome.Error, firstSend bool) *outcome.Error {
	if e.Outcome != outcome.NotRun || e.Settled || firstSend {
		return e
	}
	adjusted := *e
	adjusted.Outcome = outcome.Unknown
	return &adjusted
}

// replyFromVerdict returns the reply to a duplicate according to the ledger's verdict.
func replyFromVerdict(r ledger.Result) reply {
	switch r.Verdict {
	case ledger.VerdictFinished:
		return replyFromAnswer(r.Record.Answer)
	case ledger.VerdictMismatch:
		return reply{err: markSettled(&outcome.Error{
			Outcome: outcome.NotRun,
			Code:    outcome.CodeKeyReused,
			Field:   backend.HeaderKey,
			Message: "the key was used with another request",
		})}
	case ledger.VerdictExpired:
		return reply{err: &outcome.Error{
			Outcome: outcome.Unknown,
			Code:    outcome.CodeKeyExpired,
			Field:   backend.HeaderKey,
			Message: "the key was used before, and its outcome is no longer kept",
		}}
	case ledger.VerdictAbandoned:
		return reply{err: errNoQuorum()}
	case ledger.VerdictRunning:
		return reply{err: errInProgress()}
	default:
		return reply{err: errUnknown("an earlier send of the request ended without a known outcome")}
	}
}

func replyFromAnswer(a ledger.Answer) reply {
	if a.Dropped {
		return reply{err: &outcome.Error{
			Outcome: outcome.Answered,
			Code:    outcome.CodeAnswerDropped,
			Message: "the request has run once; its answer is no longer kept",
		}}
	}
	return reply{answer: backend.CallAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}}
}

func errUnknown(message string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.Unknown, Code: outcome.CodeInterrupted, Message: message}
}

// errPaused refuses a request that may be older than it seems, because the process was paused. An
// earlier or later send of the request may have run.
func errPaused() *outcome.Error {
	return &outcome.Error{
		Outcome:    outcome.Unknown,
		Code:       outcome.CodeInterrupted,
		Message:    "the instance was stopped for a while and can't tell how old the request is",
		RetryAfter: retryAfterInProgress,
	}
}

func errInProgress() *outcome.Error {
	return &outcome.Error{
		Outcome:    outcome.Unknown,
		Code:       outcome.CodeInProgress,
		Message:    "an earlier send of the request is running",
		RetryAfter: retryAfterInProgress,
	}
}

func errNoQuorum() *outcome.Error {
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Code:       outcome.CodeNoQuorum,
		Message:    "no quorum of control instances could record the request",
		RetryAfter: retryAfterNoQuorum,
	}
}
