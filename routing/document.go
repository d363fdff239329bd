// Package routing holds the routing document: which requests go to which service, what may be
// repeated, how long a caller waits, and which keys belong to which workspace.
//
// A document is replaced as a whole; the highest version is in force.
package routing

import "time"

// Kind says what may be repeated.
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

// Share is one service of a split route.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// TimeLimit is the longest time that a caller is kept waiting.
	TimeLimit time.Duration
	// Objective is the time to the answer, or to the first event of a stream.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority is the rank of the requests; 0 goes first.
	Priority int
	Split    []Share
	// MaxAttempts is the most backend servers that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams go on at another server after the last event.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Accelerator is one kind of accelerator of a service's servers.
type Accelerator struct {
	// MemoryMB holds the layers and the memory of requests.
	MemoryMB float64
	// StepFactor multiplies the time of a token step, ReadFactor that of reading a prompt.
	StepFactor    float64
	PrefillFactor float64
}

// Engine describes model servers that each hold a range of layers.
type Engine struct {
	Model string
	// Slots is how many requests a server takes as the first one of a path.
	Slots  int
	Layers int
	// LayerMB is the memory of one layer, TokenBytes that of one token over all layers.
	LayerMB    float64
	TokenBytes float64
	// StepMS is the time of one token step over all layers at pace 1.
	StepMS float64
	// StepPerRequestMS is added to a step for each request that is writing.
	StepPerRequestMS float64
	// StepPerThousandMS is added to a step for each 1,000 tokens of context that are held.
	StepPerThousandMS float64
	// PrefillTokensPerSecond is the rate at which prompts are read at factor 1.
	PrefillTokensPerSecond float64
	// ActivationBytes is sent for each token from one server of a path to the next.
	ActivationBytes float64
	// LinkMbps is the bandwidth between two data centres.
	LinkMbps float64
	// LoadTime is the time that loading all layers takes.
	LoadTime time.Duration
	// LoadsAtOnce is how many loads the weight store serves at full speed.
	LoadsAtOnce int
	// MeanPromptTokens and UsualAnswer are mean token counts.
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
	// MaxConnections is the most connections that one server takes from all instances.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a party whose callers hold keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	// HasPriority says that Priority replaces the route's.
	HasPriority bool
}

// Limits bound what callers may send and how long they may take.
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
