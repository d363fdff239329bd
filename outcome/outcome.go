// Package outcome names how a request ended, as callers are told.
package outcome

import (
	"fmt"
	"time"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the whole answer was sent.
	Answered Outcome = "answered"
	// NotRun means that no backend server ran any part of the request, nor will.
	NotRun Outcome = "not_run"
	// Failed means that the request ran in part and has no whole answer.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code names the reason of a refusal or failure.
type Code string

// The reasons that callers are told.
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
	// CodeQuarantined means that the request crashes backend servers.
	CodeQuarantined Code = "quarantined"
	// CodeKeyExpired means that the key was used before and its outcome is forgotten.
	CodeKeyExpired Code = "idempotency_key_expired"
	// CodeAnswerDropped means that the request ran and its answer is no longer kept.
	CodeAnswerDropped Code = "answer_not_kept"
)

// Error is the final answer to a request that was not answered.
type Error struct {
	Outcome Outcome
	Code    Code
	Message string
	// Field names the part of the request at fault, or "".
	Field string
	// RetryAfter is when to come back; 0 means that a retry would not help.
	RetryAfter time.Duration
	// Settled means that the outcome holds for every send of the request's idempotency key.
	Settled bool
}

// Error returns the outcome, code and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Code, e.Message)
}

// BadField refuses a request because of one of its fields.
func BadField(field, message string) *Error {
	return &Error{Outcome: NotRun, Code: CodeBadField, Field: field, Message: message}
}
