// Package relay holds what is common to instances that pass callers' requests on to others because they are cut
// off from the backend servers: the request, its answer, and the choice of the other instance. Package
// instance carries them.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// MaxTries bounds the instances to which one request is passed on.
const MaxTries = 3

var (
	// ErrDeclined means that an instance has not taken a request. It has not run there and never will.
	ErrDeclined = errors.New("relay: the request was not taken")
	// ErrBroken means that an instance has taken a request, and its answer has not arrived as a whole.
	ErrBroken = errors.New("relay: the answer of the instance that took the request broke off")
)

// Request is a caller's request that one instance passes on to another. It is passed on once at most.
type Request struct {
	Method string
	// Target is the path and query as sent by the caller.
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool
	// Sender is the name of the instance that passes the request on.
	Sender string
	// ConfigVersion is the version of the configuration by which the sender has admitted the request.
	ConfigVersion uint64
	// Attempts counts the sends by the sender in which the request may have run.
	Attempts int
	// IsCounted means that the sender has counted the request for the retry budget.
	IsCounted bool
	// RetriedService is the service for which the sender needs a retry of the other instance, since its own are
	// used up; empty means that it needs none.
	RetriedService string

	// EndsOnSilence means that the sender gives the request up if the other instance falls silent. Otherwise
	// only the request's context ends it. It is not passed on.
	EndsOnSilence bool
}

// Answer is the answer to a request. Body must be closed; any error of its Read except io.EOF means that the
// answer is incomplete.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Server is the backend server that the answer is from, and Incarnation its incarnation. Server is empty if
	// the instance answers itself.
	Server      string
	Incarnation int64
}

// Progress is what an instance that serves a request of another one tells it besides the answer.
// Implementations must be safe for concurrent use.
type Progress interface {
	// SetAttempts sets the number of sends so far in which the request may have run.
	SetAttempts(n int)
	// SetServer sets the backend server that the answer is from. It must be called before the answer begins.
	SetServer(id string, incarnation int64)
}

// Sender passes requests on. Implementations must be safe for concurrent use.
type Sender interface {
	// Do passes a request on to the instance at the address, and returns the answer once its head has
	// arrived. If ctx ends, the request is given up there. Every error wraps ErrDeclined or ErrBroken.
	// onAttempts is called with the number of sends so far in which the request may have run.
	Do(ctx context.Context, address string, r *Request, onAttempts func(n int)) (*Answer, error)
}

// Handler serves requests that other instances pass on. Implementations must be safe for concurrent use.
type Handler interface {
	// AcceptRelay decides on a request, whose body has not arrived yet. If the request isn't accepted,
	// declined is the reason; otherwise release must be called when it has ended.
	AcceptRelay(r *Request) (release func(), declined string)
	// ServeRelay serves an accepted request. It panics with http.ErrAbortHandler if the answer has broken off.
	ServeRelay(w http.ResponseWriter, r *http.Request, relayed *Request, p Progress)
}
