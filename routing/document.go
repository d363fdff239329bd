// Package routing holds the routing document: which requests go to which service, which of them may
// be repeated, how long a caller waits, and which keys belong to which workspace.
//
// A document is always replaced as a whole. The highest version is in force.
package routing

import "time"

// Kind says whether the requests of a route may run more than once, and whether the answer is an
// event stream.
type Kind uint8

// The kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindRepeatable requests may run more than once.
	KindRepeatable
	// KindStream requests are answered by an event stream.
	KindStream
)

// Share is one service of a split route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// TimeLimit is the longest time that a caller waits.
	TimeLimit time.Duration
	// Objective is the target time to the answer, or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the target for the longest time between two events of a stream.
	GapObjective time.Duration
	// Priority orders the requests; 0 is the highest.
	Priority int
	Split    []Share
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Anonymous routes require no key.
	Anonymous bool
	// Resumable means that another server can continue an interrupted stream after its last event.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Accelerator describes one kind of accelerator of the servers of a service.
type Accelerator struct {
	// MemoryMB is the memory for layers and requests.
	MemoryMB float64
	// StepFactor multiplies the time of a token step, PrefillFactor that of reading a prompt.
	StepFactor    float64
	PrefillFactor float64
}

// Engine describes model servers that each hold a range of layers.
type Engine struct {
	Model string
	// Slots is how many requests a server accepts at a time as the first server of their path.
	Slots  int
	Layers int
	// LayerMB is the memory of one layer, TokenBytes that of one token over all layers.
	LayerMB    float64
	TokenBytes float64
	// StepMS is the time of one token step over all layers with a StepFactor of 1.
	StepMS float64
	// StepPerRequestMS is added to a step for each request that is generating.
	StepPerRequestMS float64
	// StepPerThousandMS is added to a step for each 1,000 tokens of context held.
	StepPerThousandMS float64
	// PrefillTokensPerSecond is the rate at which prompts are read with a PrefillFactor of 1.
	PrefillTokensPerSecond float64
	// ActivationBytes is the size of the activations of one token, which each server of a path sends
	// to the next.
	ActivationBytes float64
	// LinkMbps is the bandwidth between two data centres.
	LinkMbps float64
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// LoadsAtOnce is how many concurrent loads the weight store serves at full speed.
	LoadsAtOnce int
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of a prompt and an answer.
	MeanPromptTokens float64
	MeanAnswerTokens float64
	// TokensPerEvent is how many tokens one event of a stream carries.
	TokensPerEvent int
	Accelerators   map[string]Accelerator
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all instances to one server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a customer whose callers hold keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	// HasPriority is set if Priority replaces the route's priority.
	HasPriority bool
}

// Limits bound the size of requests and how long callers may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the routing document.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
