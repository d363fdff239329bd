package pipeline

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// Action is a step that a Stream asks its caller to carry out.
type Action interface{ isAction() }

// Open opens a connection to a stage. Conn identifies the connection in the events that the caller
// passes to the Stream.
type Open struct {
	Conn    int
	Stage   int
	Attempt int
	Chain   Chain
	// From is the index of the first token that the stage is to send.
	From int
	// IsFresh means that the server must start a new session, whose KV cache must hold Ready
	// tokens.
	IsFresh bool
	Ready   int
	// Text holds the texts of the tokens that were emitted.
	Text []string
	// Import is the stage from which the KV cache can be imported, or nil.
	Import *Stage
}

// Close closes a connection.
type Close struct{ Conn int }

// Replace asks for servers that together take over the layers of a stage. The caller passes the
// result to Replaced or NoReplacement.
type Replace struct {
	Chain  Chain
	Stage  int
	Layers fleet.Range
	// Exclude names servers that must not be chosen.
	Exclude []string
	Reason  Reason
	// Server is the name of the server to be replaced.
	Server string
}

// IsMove reports whether the stage keeps running until it is replaced.
func (r Replace) IsMove() bool { return canExport(r.Reason) }

// Start tells the first stage to begin to compute the next token. Conn is the first stage's connection.
type Start struct {
	Conn    int
	Stage   Stage
	Attempt int
	Index   int
	// Previous is the text of the previous token, or "".
	Previous string
}

// Cancel tells a server to stop working on the request.
type Cancel struct {
	Stage Stage
	// Confirm means that the caller must call Cancelled once the server has confirmed the cancel or
	// can't be reached.
	Confirm bool
}

// Release reports that the chain no longer uses a server.
type Release struct{ Server string }

// Emit passes a token to the caller.
type Emit struct{ Token Token }

// Resume reports that a connection is replaced by a new one to the same server.
type Resume struct {
	Stage  int
	Server string
	Reason Reason
}

// Observe reports how long a stage takes for a step, averaged over some tokens.
type Observe struct {
	Stage Stage
	Took  time.Duration
}

// Finish ends the stream. A nil error means that the answer is complete.
type Finish struct{ Err error }

func (Open) isAction()    {}
func (Close) isAction()   {}
func (Replace) isAction() {}
func (Start) isAction()   {}
func (Cancel) isAction()  {}
func (Release) isAction() {}
func (Emit) isAction()    {}
func (Resume) isAction()  {}
func (Observe) isAction() {}
func (Finish) isAction()  {}

// Reason is why a stage or its connection is given up.
type Reason string

// The reasons to give up a stage or its connection.
const (
	ReasonClosed      Reason = "connection closed"
	ReasonSilent      Reason = "connection silent"
	ReasonDial        Reason = "can't connect"
	ReasonNoAnswer    Reason = "no answer in time"
	ReasonRefused     Reason = "refused before running"
	ReasonBadFrame    Reason = "bad frame"
	ReasonReported    Reason = "failure told by the server"
	ReasonSessionLost Reason = "the server has lost the session"
	ReasonStalled     Reason = "no progress"
	ReasonLeaving     Reason = "the server is leaving"
	ReasonSlow        Reason = "the stage has become slow"
)

// StageError ends a stream whose stage failed and could not be replaced.
type StageError struct {
	Server string
	Reason Reason
	// Ran means that part of the request may have run.
	Ran bool
}

// Error returns a message with the server and the reason.
func (e *StageError) Error() string {
	return "pipeline: " + e.Server + " could not be replaced: " + string(e.Reason)
}

// EndError ends a stream that reached its deadline or whose caller disconnected.
type EndError struct{ Deadline bool }

// Error returns a message that says what ended the stream.
func (e *EndError) Error() string {
	if e.Deadline {
		return "pipeline: the deadline has passed"
	}
	return "pipeline: the caller has gone"
}
