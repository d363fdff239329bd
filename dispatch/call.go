package dispatch

import (
	"context"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
)

// Call is a request to a plain service.
type Call struct {
	Request
	Key string
	// FirstSend means that the caller has stated that it never sent the request before.
	FirstSend   bool
	ContentType string
	Body        []byte
}

// Call runs the request and returns the server's answer.
func (d *Dispatcher) Call(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Service.Idempotent {
		return d.callIdempotent(ctx, r)
	}
	return d.callOnce(ctx, r)
}

// send dispatches the call once and releases the server.
func (d *Dispatcher) send(ctx context.Context, r Call, server fleet.BackendServer) (backend.CallAnswer, error) {
	defer d.ended(server.Name)
	return backend.Call(ctx, backend.CallRequest{
		Server:      server.Name,
		Address:     server.Address,
		Incarnation: server.Incarnation,
		Service:     r.Service.Name,
		Request:     r.ID,
		Workspace:   r.Workspace.Name,
		Key:         r.Key,
		ContentType: r.ContentType,
		Body:        r.Body,
	})
}
