package dispatch

import (
	"context"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/outcome"
)

// maxCallTries bounds the servers that an idempotent call is sent to.
const maxCallTries = 3

func (d *Dispatcher) callIdempotent(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	var tried []string
	for range maxCallTries {
		server, err := d.chooseServer(r.Request, tried)
		if err != nil {
			return backend.CallAnswer{}, asOutcome(err)
		}
		answer, err := d.send(ctx, r, server)
		if err == nil {
			d.credit(r.Request, r.ID)
			return answer, nil
		}
		tried = append(tried, server.Name)
		if ctx.Err() != nil {
			return backend.CallAnswer{}, errStopped(ctx)
		}
	}
	return backend.CallAnswer{}, errServerFailed(outcome.Failed, "every backend server that was tried has failed")
}
