package gateway

import (
	"net/http"
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/selfreport"
)

// RequestHeader holds the parsed headers of a caller's request.
type RequestHeader struct {
	// ID identifies this attempt; the backend server's response repeats it.
	ID string
	// TimeLeft is how long the caller waits; 0 means not stated.
	TimeLeft time.Duration
	APIKey   string
	// PromptTokens and MaxAnswerTokens are 0 if the request is not a draft.
	PromptTokens    int
	MaxAnswerTokens int
	// LikelyAnswerTokens is the caller's estimate of the answer's length; 0 means none.
	LikelyAnswerTokens int
	// LastEvent is set if the caller resumes a stream: it is the ID of the last event that the
	// caller received.
	LastEvent string
	// SharedParts are the IDs of the parts of the prompt that other requests may have, too: all but
	// the last.
	SharedParts []string
}

// DispatchHeader holds the headers that are added to a request for a backend server.
type DispatchHeader struct {
	TimeLeft time.Duration
	// Server identifies the only server process that may run the request.
	Server    string
	Workspace string
	// Path is empty for plain services.
	Path layers.Path
	// LastEvent is the ID of the event after which the server should resume a stream; empty means
	// none.
	LastEvent string
	// Priority ranks the request among others at a server, 0 first; -1 means not stated.
	Priority int
}

// ResponseHeader holds the parsed headers of a backend server's response.
type ResponseHeader struct {
	// ID is the request that the response belongs to; empty means not stated.
	ID string
	// NotRun means that the server did not run the request and never will.
	NotRun bool
	// IsFromServer means that the response carries the header that every backend server sets.
	IsFromServer bool
	// FaultAddress is the address of the server on the path that could not run its layers.
	FaultAddress string
	// IsLeaving means that the server says that it leaves.
	IsLeaving bool
	// HasLimit means that the server names the requests a second that it takes from all instances, Limit.
	HasLimit bool
	Limit    float64
	// HasPause means that the server has turned the request away and asks for the pause Pause.
	HasPause bool
	Pause    selfreport.PauseRequest
	// HasLoad means that Running, Waiting and Slots are stated.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
}

// HeaderCodec parses and writes the HTTP headers that a platform uses between callers, gateways
// and backend servers. Implementations must be safe for concurrent use.
type HeaderCodec interface {
	ParseRequest(h http.Header) RequestHeader
	// WriteDispatch replaces the headers that only the gateway may set.
	WriteDispatch(h http.Header, d DispatchHeader)
	// WriteRelay sets the headers of a request that is passed on to another gateway: how long the caller still
	// waits, and the event after which a stream goes on, if lastEvent is not empty.
	WriteRelay(h http.Header, timeLeft time.Duration, lastEvent string)
	ParseResponse(status int, h http.Header) ResponseHeader
}
