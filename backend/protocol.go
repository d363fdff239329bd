// Package backend talks to backend servers: it receives their announcements, runs stages
// and calls on them, and cancels work.
package backend

import (
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
)

// Paths of the HTTP protocol with backend servers.
const (
	// PathAnnounce and PathRenew are served by instances; the others by backend servers.
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
	// HeaderOutcome is "not_run" in an answer that refuses a request before running it.
	HeaderOutcome = "X-Outcome"
)

// StageRef names one stage of a chain and where it runs.
type StageRef struct {
	Server  string      `json:"server"`
	Address string      `json:"address"`
	Layers  fleet.Range `json:"layers"`
}

// OpenStageRequest asks a server to run one stage of a request, or connects again to a stage that
// it runs already. The stages pass activations to each other; the last one sends the tokens.
// The answer is a stream of Frames, one JSON object a line.
//
// A server that has a session of the request keeps its KV cache and what it has run. A
// higher attempt puts the new chain in force; the same attempt only replaces the connection.
type OpenStageRequest struct {
	Request   string     `json:"request"`
	Attempt   int        `json:"attempt"`
	Workspace string     `json:"workspace"`
	Priority  int        `json:"priority,omitempty"`
	Chain     []StageRef `json:"chain"`
	// Stage is the receiver's place in Chain.
	Stage  int    `json:"stage"`
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	MaxTokens    int `json:"max_tokens"`
	// From is the index of the first token that is wanted.
	From int `json:"from"`
	// Fresh asks for a new session in place of any that the server has. Its KV cache must hold
	// the prompt and Ready tokens before the stage is opened; with 0 it starts with the prompt.
	Fresh bool `json:"fresh,omitempty"`
	Ready int  `json:"ready,omitempty"`
	// Text holds the tokens that the caller was sent, to rebuild the KV cache from.
	Text []string `json:"text,omitempty"`
	// Import names the server that can export the KV cache, nil when the cache must be rebuilt.
	Import *StageRef `json:"import,omitempty"`
}

// StartRequest tells the first stage to begin the token at Index under the attempt.
type StartRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	// Previous is the text of the token before, "" for the first.
	Previous string `json:"previous,omitempty"`
}

// FrameKind tells what a frame carries.
type FrameKind string

// The kinds of frame.
const (
	// FrameOpened says that the stage is ready, and how far it has got.
	FrameOpened FrameKind = "opened"
	FrameToken  FrameKind = "token"
	// FrameAlive is sent when there was nothing else to send for a while, and says how far
	// the stage has got.
	FrameAlive FrameKind = "alive"
	// FrameEnd is the explicit end of the stream.
	FrameEnd   FrameKind = "end"
	FrameError FrameKind = "error"
)

// Frame is one line of a stage's stream.
type Frame struct {
	Kind    FrameKind       `json:"kind"`
	Request string          `json:"request"`
	Attempt int             `json:"attempt"`
	Index   int             `json:"index,omitempty"`
	Text    string          `json:"text,omitempty"`
	Passed  []pipeline.Pass `json:"passed,omitempty"`
	// Received is the number of tokens whose input the stage holds or has run.
	Received int `json:"received,omitempty"`
	// Ran is the number of tokens that the stage has run.
	Ran int `json:"ran,omitempty"`
	// Known is one more than the highest index whose text the stage knows: what it has sampled
	// as the last stage, or was given as input as the first one.
	Known int `json:"known,omitempty"`
	// Tokens is the length of the whole answer in an end frame.
	Tokens  int    `json:"tokens,omitempty"`
	Message string `json:"message,omitempty"`
}

// CancelRequest asks a server to stop working on a request.
type CancelRequest struct {
	Request string `json:"request"`
}
