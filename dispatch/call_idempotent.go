package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/quarantine"
)

// maxCallTries bounds the servers that an idempotent call is sent to, hedges included.
const maxCallTries = 4

// callTry is the end of one try.
type callTry struct {
	server fleet.BackendServer
	answer backend.CallAnswer
	err    error
	took   time.Duration
}

// idempotentCall is an idempotent call, which may run on several servers.
type idempotentCall struct {
	d   *Dispatcher
	r   Call
	f   quarantine.Fingerprint
	ctx context.Context
	// ends has room for every try, so that a loser never waits.
	ends    chan callTry
	tried   []string
	running int
	hedged  bool
	// ran means that a try may have run in part.
	ran bool
}

func (d *Dispatcher) callIdempotent(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	ctx, cancel := context.WithCancel(ctx)
	// Ends the tries that lost.
	defer cancel()
	c := &idempotentCall{d: d, r: r, f: r.fingerprint(), ctx: ctx, ends: make(chan callTry, maxCallTries)}
	d.guard.requested(r.Request)
	if refusal := c.start(); refusal != nil {
		return backend.CallAnswer{}, refusal
	}
	for {
		hedge, stop := c.hedgeTimer()
		select {
		case <-ctx.Done():
			stop()
			return backend.CallAnswer{}, errStopped(ctx)
		case <-hedge:
			c.hedge()
		case end := <-c.ends:
			stop()
			c.running--
			if end.err == nil {
				d.guard.took(r.Service.Name, end.took)
				d.served(r.ID)
				d.credit(r.Request, r.ID)
				return end.answer, nil
			}
			if refusal := c.afterFailure(end); refusal != nil {
				return backend.CallAnswer{}, refusal
			}
		}
	}
}

// start sends the call to one more server.
func (c *idempotentCall) start() *outcome.Error {
	server, refusal := c.d.chooseForCall(c.ctx, c.r.Request, c.f, c.tried)
	if refusal != nil {
		return refusal
	}
	c.tried = append(c.tried, server.Name)
	c.running++
	go func() {
		start := time.Now()
		answer, err := c.d.sendGuarded(c.ctx, c.r, server, c.f)
		if err == nil && answer.NotRun {
			err = errRefused
		}
		c.ends <- callTry{server: server, answer: answer, err: err, took: time.Since(start)}
	}()
	return nil
}

// errRefused means that a server said that it did not run a call.
var errRefused = errors.New("dispatch: the backend server refused the call")

// afterFailure waits for a try that still runs, or starts another one within the budget.
func (c *idempotentCall) afterFailure(end callTry) *outcome.Error {
	c.d.log.Info("a call has failed", "request", c.r.ID, "server", end.server.Name, "err", end.err.Error())
	c.ran = c.ran || (wasSent(end.err) && !errors.Is(end.err, errRefused))
	o := outcome.NotRun
	if c.ran {
		o = outcome.Failed
	}
	if c.d.guard.check(c.f) == quarantine.Quarantined {
		return errQuarantined(o)
	}
	if c.running > 0 {
		return nil
	}
	if len(c.tried) >= maxCallTries {
		return errServerFailed(o, "every backend server that was tried has failed")
	}
	pause, ok := c.d.guard.allowRetry(c.r.Request, len(c.tried))
	if !ok {
		return errServerFailed(o, "a backend server has failed, and there is no room for retries now")
	}
	if !sleep(c.ctx, pause) {
		return errStopped(c.ctx)
	}
	refusal := c.start()
	if refusal != nil && c.ran {
		refusal.Outcome = outcome.Failed
	}
	return refusal
}

// hedgeTimer returns a channel that fires when a second server should be tried.
func (c *idempotentCall) hedgeTimer() (<-chan time.Time, func()) {
	delay, ok := c.d.guard.hedgeDelay(c.r.Service.Name)
	if !ok || c.hedged || c.running != 1 || len(c.tried) >= maxCallTries {
		return nil, func() {}
	}
	t := time.NewTimer(delay)
	return t.C, func() { t.Stop() }
}

// hedge sends a slow call to a second server as well. A suspect is never run twice at a time.
func (c *idempotentCall) hedge() {
	c.hedged = true
	if c.d.guard.check(c.f) != quarantine.Clear {
		return
	}
	if _, ok := c.d.guard.allowRetry(c.r.Request, 1); !ok {
		return
	}
	c.d.log.Info("hedges a slow call", "request", c.r.ID, "service", c.r.Service.Name)
	// Without another server the first one is waited for.
	_ = c.start()
}

func (r Call) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(r.Workspace.Name, r.Service.Name, r.Body)
}

// chooseForCall chooses a server, leaving out those that failed lately and those that run a
// suspect. A suspect waits for a server that it can have apart.
func (d *Dispatcher) chooseForCall(ctx context.Context, r Request, f quarantine.Fingerprint, tried []string) (fleet.BackendServer, *outcome.Error) {
	for {
		verdict := d.guard.check(f)
		if verdict == quarantine.Quarantined {
			return fleet.BackendServer{}, errQuarantined(outcome.NotRun)
		}
		var err error
		for _, exclude := range d.exclusions(f) {
			var server fleet.BackendServer
			if server, err = d.chooseServer(r, slices.Concat(exclude, tried)); err == nil {
				return server, nil
			}
		}
		if verdict == quarantine.Clear {
			return fleet.BackendServer{}, asOutcome(err)
		}
		if !sleep(ctx, suspectPause) {
			return fleet.BackendServer{}, errDeadline(outcome.NotRun)
		}
	}
}

// sendGuarded dispatches the call once and notes how it ended.
func (d *Dispatcher) sendGuarded(ctx context.Context, r Call, server fleet.BackendServer, f quarantine.Fingerprint) (backend.CallAnswer, error) {
	if !d.isSameServer(server) {
		d.ended(server.Name)
		return backend.CallAnswer{}, &backend.CallError{Err: errLeaving}
	}
	d.guard.started(r.ID, f, server)
	start := time.Now()
	answer, err := d.send(ctx, r, server)
	switch {
	case err == nil:
		d.guard.answered(r.ID, server.Name)
		d.observeCall(server, time.Since(start))
	case ctx.Err() != nil:
		d.guard.stopped(r.ID, server.Name)
	default:
		d.guard.failed(context.WithoutCancel(ctx), r.ID, server, backend.WasClosed(err))
	}
	return answer, err
}

// errLeaving means that a server began to leave between choice and dispatch.
var errLeaving = errors.New("dispatch: the chosen backend server is leaving")
