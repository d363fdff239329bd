package backend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// PathResolve is the path at which a backend server reports the state of a request. Servers that
// announce resolves_requests serve it.
const PathResolve = "/v1/resolve"

const (
	// OutcomeNotRun is the value of HeaderOutcome in a refusal. It guarantees that the server
	// has run no part of the request and will not run it later.
	OutcomeNotRun = "not_run"
	// HeaderIncarnation carries the incarnation of the server for which a call is intended. A
	// server that announces resolves_requests refuses a call intended for another incarnation.
	HeaderIncarnation = "X-Server-Incarnation"
)

// ResolveRequest asks for the state of a request. A server that has not received that request yet
// must refuse it if it arrives later.
type ResolveRequest struct {
	// Request is the X-Request-Id of the call.
	Request string `json:"request"`
	// Incarnation is the incarnation of the server to which the call was sent. Any other
	// incarnation of the server doesn't know what happened to the request.
	Incarnation uint64 `json:"incarnation"`
}

// RequestState is the state of a request on a server.
type RequestState string

// The states of a request.
const (
	RequestRunning  RequestState = "running"
	RequestFinished RequestState = "finished"
	// RequestBarred means that the request has not run and never will.
	RequestBarred RequestState = "barred"
)

// Resolution is the response to a ResolveRequest.
type Resolution struct {
	State       RequestState `json:"state"`
	Incarnation uint64       `json:"incarnation"`
	// Status, ContentType and Body are the response of a finished request.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Answer returns the response of a finished request.
func (r Resolution) Answer() CallAnswer {
	return CallAnswer{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
}

// Resolve asks the server at the address for the state of a request.
func Resolve(ctx context.Context, server, address string, rr ResolveRequest) (Resolution, error) {
	var res Resolution
	c, err := dial(ctx, server, address)
	if err != nil {
		return res, err
	}
	defer c.Close()
	if err := c.post(address, PathResolve, rr); err != nil {
		return res, err
	}
	body, err := c.readResponse(2 * maxCallBytes)
	if err != nil {
		return res, err
	}
	if code := c.resp.StatusCode; code != http.StatusOK {
		return res, eris.Errorf("backend: ask %s for the state of a request: status %d", server, code)
	}
	if err := json.Unmarshal(body, &res); err != nil {
		return res, eris.Wrapf(err, "backend: decode response from %s", server)
	}
	if res.Incarnation != rr.Incarnation {
		return res, eris.Errorf("backend: ask %s for the state of a request: the server has restarted", server)
	}
	switch res.State {
	case RequestRunning, RequestFinished, RequestBarred:
		return res, nil
	}
	return res, eris.Errorf("backend: ask %s for the state of a request: unknown state %q", server, res.State)
}
