// Package backend implements the HTTP protocol with backend servers: it receives their
// announcements, runs stages and calls on them, sends them orders, and cancels work.
package backend

import (
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// Paths of the HTTP protocol with backend servers.
const (
	// PathAnnounce and PathRenew are served by instances, the other paths by backend servers.
	PathAnnounce = "/v1/announce"
	PathRenew    = "/v1/renew"
	PathStage    = "/v1/stage"
	PathStart    = "/v1/start"
	PathCancel   = "/v1/cancel"
	PathCall     = "/v1/call/"
	PathOrder    = "/v1/order"
)

// Headers of calls to plain services and of refusals.
const (
	HeaderRequest   = "X-Request-Id"
	HeaderWorkspace = "X-Workspace"
	HeaderKey       = "Idempotency-Key"
	// HeaderOutcome is "not_run" in a response that refuses a request before running it.
	HeaderOutcome = "X-Outcome"
	// HeaderLeaving is "1" in all responses of a server that leaves.
	HeaderLeaving = "X-Leaving"
	// HeaderLimit is the requests a second, a decimal number, that a server takes from all instances
	// together, for as long as its responses say so.
	HeaderLimit = "X-Request-Limit"
	// HeaderRetryAfter in a refusal with status 503 is the time in seconds for which the server wants
	// no requests from the instance.
	HeaderRetryAfter = "Retry-After"
)

// StageRef identifies one stage of a chain and the server that runs it.
type StageRef struct {
	Server  string      `json:"server"`
	Address string      `json:"address"`
	Layers  fleet.Range `json:"layers"`
}

// OpenStageRequest asks a server to run one stage of a request, or reconnects to a stage that
// the server already runs. The stages pass activations to each other; the last one sends the
// tokens. The response is a stream of Frames, one JSON object per line.
//
// A server that has a session for the request keeps its KV cache and its progress. An
// OpenStageRequest with a higher Attempt replaces the chain; one with the same Attempt only
// replaces the connection.
type OpenStageRequest struct {
	Request   string     `json:"request"`
	Attempt   int        `json:"attempt"`
	Workspace string     `json:"workspace"`
	Priority  int        `json:"priority,omitempty"`
	Chain     []StageRef `json:"chain"`
	// Stage is the receiver's index in Chain.
	Stage  int    `json:"stage"`
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	MaxTokens    int `json:"max_tokens"`
	// From is the index of the first token to send.
	From int `json:"from"`
	// Fresh asks for a new session that replaces any existing one. The stage counts as opened once
	// the session's KV cache holds the prompt and Ready tokens; if Ready is 0, the session starts
	// with the prompt.
	Fresh bool `json:"fresh,omitempty"`
	Ready int  `json:"ready,omitempty"`
	// Text holds the tokens already sent to the caller; the KV cache is rebuilt from them.
	Text []string `json:"text,omitempty"`
	// Import is the server that can export the KV cache; nil when the cache must be rebuilt.
	Import *StageRef `json:"import,omitempty"`
}

// StartRequest asks the first stage of an attempt to start with the token at Index.
type StartRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	// Previous is the text of the preceding token; "" for the first token.
	Previous string `json:"previous,omitempty"`
}

// FrameKind is the type of a frame.
type FrameKind string

// The kinds of frame.
const (
	// FrameOpened reports that the stage is ready, and its progress.
	FrameOpened FrameKind = "opened"
	FrameToken  FrameKind = "token"
	// FrameAlive is a keep-alive, sent when there was nothing else to send for a while. It
	// reports the stage's progress.
	FrameAlive FrameKind = "alive"
	// FrameEnd is the explicit end of the stream.
	FrameEnd   FrameKind = "end"
	FrameError FrameKind = "error"
)

// Frame is one line of a stage's stream.
type Frame struct {
	Kind    FrameKind `json:"kind"`
	Request string    `json:"request"`
	Attempt int       `json:"attempt"`
	// Index, Text and Passed describe the token of a FrameToken: its index in the output, its text
	// and the stages that ran it.
	Index  int             `json:"index,omitempty"`
	Text   string          `json:"text,omitempty"`
	Passed []pipeline.Pass `json:"passed,omitempty"`
	// Received is the number of tokens whose input has reached the stage, whether the stage has run
	// them or not.
	Received int `json:"received,omitempty"`
	// Ran is the number of tokens that the stage has run.
	Ran int `json:"ran,omitempty"`
	// Known is one more than the highest index of a token whose text the stage knows. The last
	// stage knows the tokens that it has sampled, the first stage those that it was given as input.
	Known int `json:"known,omitempty"`
	// Tokens is the number of tokens of the whole output, in a FrameEnd.
	Tokens  int    `json:"tokens,omitempty"`
	Message string `json:"message,omitempty"`
}

// CancelRequest asks a server to stop working on a request.
type CancelRequest struct {
	Request string `json:"request"`
}
