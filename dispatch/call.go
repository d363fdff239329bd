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
	// Key is the caller's idempotency key.
	Key string
	// FirstSend is set when the caller states that it has never sent this request before.
	FirstSend   bool
	ContentType string
	Body        []byte
}

// Call runs the request, up to its deadline, and returns the backend server's answer. The answer
// is valid only if the error is nil.
func (d *Dispatcher) Call(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.working.Add(1)
	defer d.working.Add(-1)
	if r.Service.Idempotent {
		return d.callIdempotent(ctx, r)
	}
	return d.callOnce(ctx, r)
}

// send makes one attempt to call the server, and then releases the server.
func (d *Dispatcher) send(ctx context.Context, r Call, server fleet.BackendServer) (backend.CallAnswer, error) {
	defer d.releaseServers(server.Name)
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
