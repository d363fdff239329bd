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
	PathCancel   = "/v1/cancel"
	PathCall     = "/v1/call/"
	PathOrder    = "/v1/order"
)

// Headers of calls to plain services.
const (
	HeaderRequest   = "X-Request-Id"
	HeaderWorkspace = "X-Workspace"
	HeaderKey       = "Idempotency-Key"
)

// StageRef names one stage of a chain and where it runs.
type StageRef struct {
	Server  string      `json:"server"`
	Address string      `json:"address"`
	Layers  fleet.Range `json:"layers"`
}

// StageOpen asks a server to run one stage of a request. The stages pass activations to
// each other; the last one sends the tokens. The answer is a stream of Frames, one JSON
// object a line.
type StageOpen struct {
	Request   string     `json:"request"`
	Attempt   int        `json:"attempt"`
	Workspace string     `json:"workspace"`
	Chain     []StageRef `json:"chain"`
	// Stage is the receiver's place in Chain.
	Stage  int    `json:"stage"`
	Prompt string `json:"prompt"`
	// PromptTokens is the length of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	MaxTokens    int `json:"max_tokens"`
	// From is the index of the first token that is wanted.
	From int `json:"from"`
}

// FrameKind tells what a frame carries.
type FrameKind string

// The kinds of frame.
const (
	// FrameOpened says that the stage is ready.
	FrameOpened FrameKind = "opened"
	FrameToken  FrameKind = "token"
	// FrameAlive is sent when there was nothing else to send for a while.
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
	Index   int             `json:"index"`
	Text    string          `json:"text,omitempty"`
	Passed  []pipeline.Pass `json:"passed,omitempty"`
	// Tokens is the length of the whole answer in an end frame.
	Tokens  int    `json:"tokens,omitempty"`
	Message string `json:"message,omitempty"`
}

// Cancel asks a server to stop working on a request.
type Cancel struct {
	Request string `json:"request"`
}
