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

// errBadResult means that a control instance answered with something else than was asked.
var errBadResult = errors.New("dispatch: the result is not the ledger's")

// granted marks a refusal of an attempt that held its key: no earlier attempt has run.
func granted(e *outcome.Error) *outcome.Error {
	e.Settled = true
	return e
}

// ForCaller returns the error as the caller of a non-idempotent request may be told it. An
// instance that has not asked the ledger can't know whether an earlier send has run, so it
// says "not run" only when the caller has stated that there was none.
func ForCaller(e *outcome.Error, firstSend bool) *outcome.Error {
	if e.Outcome != outcome.NotRun || e.Settled || firstSend {
		return e
	}
	told := *e
	told.Outcome = outcome.Unknown
	return &told
}

// settled turns the verdict on a duplicate into its answer.
func settled(r ledger.Result) reply {
	switch r.Verdict {
	case ledger.VerdictFinished:
		return finished(r.Record.Answer)
	case ledger.VerdictMismatch:
		return reply{err: granted(&outcome.Error{
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

func finished(a ledger.Answer) reply {
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

// errStalled refuses a request that may be older than it looks. An earlier or later send may
// have run.
func errStalled() *outcome.Error {
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
