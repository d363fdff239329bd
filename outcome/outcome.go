// Package outcome defines how a request can end, as reported to callers.
package outcome

import (
	"fmt"
	"time"
)

// Outcome states how a request ended.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the complete answer was sent.
	Answered Outcome = "answered"
	// NotRun means that no backend server has run any part of the request, or ever will.
	NotRun Outcome = "not_run"
	// Failed means that the request has no complete answer and may have run in part.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code is the reason for a refusal or failure.
type Code string

// The reasons that are reported to callers.
const (
	CodeBadField     Code = "bad_field"
	CodeNotFound     Code = "not_found"
	CodeKeyReused    Code = "idempotency_key_reused"
	CodeNoServer     Code = "no_backend_server"
	CodeOverloaded   Code = "overloaded"
	CodeDeadline     Code = "deadline"
	CodeNoQuorum     Code = "no_quorum"
	CodeServerFailed Code = "backend_server_failed"
	CodeInterrupted  Code = "interrupted"
	CodeInProgress   Code = "in_progress"
	CodeCancelled    Code = "cancelled"
	CodeLeaving      Code = "instance_leaving"
	// CodeNotConfigured means that the instance has no configuration yet, or one that may be too old to deny the
	// request.
	CodeNotConfigured Code = "not_configured"
	// CodeQuarantined means that the request crashes backend servers.
	CodeQuarantined Code = "quarantined"
	// CodeKeyExpired means that the idempotency key was used before and the outcome of that request
	// is no longer kept.
	CodeKeyExpired Code = "idempotency_key_expired"
	// CodeAnswerDropped means that the request ran and its answer is no longer kept.
	CodeAnswerDropped Code = "answer_not_kept"
)

// Error is the final response to a request that was not answered.
type Error struct {
	Outcome Outcome
	Code    Code
	Message string
	// Field is the invalid field of the request, or "".
	Field string
	// RetryAfter is the time after which the caller may retry; 0 means that a retry won't help.
	RetryAfter time.Duration
	// Settled means that the outcome holds for every send of the request with its idempotency key.
	Settled bool
}

// Error returns the outcome, code and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Code, e.Message)
}

// BadField returns the error for a request with an invalid field.
func BadField(field, message string) *Error {
	return &Error{Outcome: NotRun, Code: CodeBadField, Field: field, Message: message}
}
