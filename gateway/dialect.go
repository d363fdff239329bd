package gateway

import (
	"net/http"
	"time"

	"github.com/balsamlb/balsamlb/layers"
)

// Call is what a caller says of its request besides method, path and body.
type Call struct {
	// ID is the caller's name for this attempt; the backend server's answer repeats it.
	ID string
	// TimeLeft is how long the caller waits; 0: it doesn't say.
	TimeLeft time.Duration
	Key      string
	// PromptTokens and MaxAnswerTokens are 0 where the request is not a draft.
	PromptTokens    int
	MaxAnswerTokens int
	// LikelyAnswerTokens is the caller's own guess; 0: none.
	LikelyAnswerTokens int
	// LastEvent is the last event that the caller has of a stream which it resumes.
	LastEvent string
}

// Dispatch is what a backend server is told besides the caller's request.
type Dispatch struct {
	TimeLeft time.Duration
	// Server is the start of the server that alone may run the request.
	Server    string
	Workspace string
	// Path is empty for plain services.
	Path layers.Path
	// LastEvent is set where a stream goes on after a break.
	LastEvent string
	// Urgency ranks the request among others at a server, 0 first; -1: not stated.
	Urgency int
}

// Answer is what the head of a backend server's answer says.
type Answer struct {
	// ID names the request that the answer belongs to; empty: not stated.
	ID string
	// NotRun means that the server did not run the request and will not.
	NotRun bool
	// IsGenuine means that the answer bears the mark of a backend server.
	IsGenuine bool
	// Fault is the address of the server of a path that could not take its part.
	Fault string
	// HasLoad says that Running, Waiting and Slots are stated.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
}

// Dialect translates the headers of one way to speak HTTP with callers and backend servers.
type Dialect interface {
	ReadCall(h http.Header) Call
	// WriteDispatch replaces the headers that only this system sets.
	WriteDispatch(h http.Header, d Dispatch)
	ReadAnswer(status int, h http.Header) Answer
}
