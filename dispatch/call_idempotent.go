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

// maxCallTries limits how many servers an idempotent call is sent to, including hedges.
const maxCallTries = 4

// callTry is the result of one try of an idempotent call.
type callTry struct {
	server   fleet.BackendServer
	answer   backend.CallAnswer
	err      error
	duration time.Duration
}

// idempotentCall is the state of an idempotent call, which may be sent to several servers.
type idempotentCall struct {
	d           *Dispatcher
	r           Call
	fingerprint quarantine.Fingerprint
	ctx         context.Context
	// results has capacity for every try, so that the goroutine of an abandoned try never blocks.
	results chan callTry
	tried   []string
	running int
	hedged  bool
	// mayHaveRun is set when a failed try may have run in part.
	mayHaveRun bool
}

func (d *Dispatcher) callIdempotent(ctx context.Context, r Call) (backend.CallAnswer, *outcome.Error) {
	ctx, cancel := context.WithCancel(ctx)
	// Cancels the tries that are still running.
	defer cancel()
	c := &idempotentCall{d: d, r: r, fingerprint: r.fingerprint(), ctx: ctx, results: make(chan callTry, maxCallTries)}
	d.resilience.recordRequest(r.Request)
	if refusal := c.start(); refusal != nil {
		return backend.CallAnswer{}, refusal
	}
	for {
		hedge, stop := c.hedgeTimer()
		select {
		case <-ctx.Done():
			stop()
			return backend.CallAnswer{}, errContextDone(ctx, outcome.Failed)
		case <-hedge:
			c.hedge()
		case result := <-c.results:
			stop()
			c.running--
			if result.err == nil {
				d.resilience.recordLatency(r.Service.Name, result.duration)
				d.served(r.ID)
				d.credit(r.Request, r.ID)
				return result.answer, nil
			}
			if refusal := c.handleFailure(result); refusal != nil {
				return backend.CallAnswer{}, refusal
			}
		}
	}
}

// start sends the call to one more server.
func (c *idempotentCall) start() *outcome.Error {
	server, refusal := c.d.chooseForCall(c.ctx, c.r.Request, c.fingerprint, c.tried)
	if refusal != nil {
		return refusal
	}
	c.tried = append(c.tried, server.Name)
	c.running++
	go func() {
		start := time.Now()
		answer, err := c.d.sendTracked(c.ctx, c.r, server, c.fingerprint)
		if err == nil && answer.NotRun {
			err = errRefused
		}
		c.results <- callTry{server: server, answer: answer, err: err, duration: time.Since(start)}
	}()
	return nil
}

// errRefused means that a server reported that it did not run the call.
var errRefused = errors.New("dispatch: the backend server refused the call")

// handleFailure handles a failed try: it waits for a try that is still running, or starts
// another one if the retry budget allows it.
func (c *idempotentCall) handleFailure(failed callTry) *outcome.Error {
	c.d.log.Info("call failed", "request", c.r.ID, "server", failed.server.Name, "err", failed.err.Error())
	c.mayHaveRun = c.mayHaveRun || (wasSent(failed.err) && !errors.Is(failed.err, errRefused))
	if c.running > 0 {
		return nil
	}
	o := outcome.NotRun
	if c.mayHaveRun {
		o = outcome.Failed
	}
	if c.d.resilience.check(c.fingerprint) == quarantine.Quarantined {
		return errQuarantined(o)
	}
	if len(c.tried) >= maxCallTries {
		return errServerFailed(o, "every backend server that was tried has failed")
	}
	backoff, ok := c.d.resilience.allowRetry(c.r.Request, len(c.tried))
	if !ok {
		return errServerFailed(o, "a backend server has failed, and there is no room for retries now")
	}
	if !sleep(c.ctx, backoff) {
		return errContextDone(c.ctx, o)
	}
	refusal := c.start()
	if refusal != nil && c.mayHaveRun {
		refusal.Outcome = outcome.Failed
	}
	return refusal
}

// hedgeTimer returns a channel that fires when the call should be sent to a second server.
func (c *idempotentCall) hedgeTimer() (<-chan time.Time, func()) {
	delay, ok := c.d.resilience.hedgeDelay(c.r.Service.Name)
	if !ok || c.hedged || c.running != 1 || len(c.tried) >= maxCallTries {
		return nil, func() {}
	}
	t := time.NewTimer(delay)
	return t.C, func() { t.Stop() }
}

// hedge also sends a slow call to a second server. Suspect requests are never hedged, so that
// they don't run on two servers at once.
func (c *idempotentCall) hedge() {
	c.hedged = true
	if c.d.resilience.check(c.fingerprint) != quarantine.Clear {
		return
	}
	if _, ok := c.d.resilience.allowRetry(c.r.Request, 1); !ok {
		return
	}
	c.d.log.Info("hedging slow call", "request", c.r.ID, "service", c.r.Service.Name)
	// If no second server is available, the call waits for the first one.
	_ = c.start()
}

func (r Call) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Workspace.Name, r.Service.Name, r.Body)
}

// chooseForCall chooses a server. It avoids servers that failed recently and servers that run a
// suspect request, unless no other server is left. A suspect request waits for a server that runs
// no other suspect.
func (d *Dispatcher) chooseForCall(ctx context.Context, r Request, f quarantine.Fingerprint, tried []string) (fleet.BackendServer, *outcome.Error) {
	for {
		verdict := d.resilience.check(f)
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
		runs := func(s fleet.BackendServer) bool { return s.Runs(r.Service.Name) && !slices.Contains(tried, s.Name) }
		if left, ok := d.pauseLeft(runs); ok && left <= maxPauseWait && sleep(ctx, left) {
			continue
		}
		if verdict == quarantine.Clear {
			return fleet.BackendServer{}, d.withPause(asOutcome(err), runs)
		}
		if !sleep(ctx, isolationRetryInterval) {
			return fleet.BackendServer{}, errContextDone(ctx, outcome.NotRun)
		}
	}
}

// sendTracked calls the server once and records the result.
func (d *Dispatcher) sendTracked(ctx context.Context, r Call, server fleet.BackendServer, f quarantine.Fingerprint) (backend.CallAnswer, error) {
	trials, isFree := d.beginTrial(server)
	if !isFree || !d.isAnnounced(server) {
		d.endTrial(trials, false)
		d.releaseServers(server.Name)
		return backend.CallAnswer{}, &backend.CallError{Err: errLeaving}
	}
	d.resilience.recordStart(r.ID, f, server)
	start := time.Now()
	answer, err := d.send(ctx, r, server)
	d.recordSelfReport(r.ID, server, answer.Said)
	d.recordLimit(start, r.ID, server, answer.Said)
	d.endTrial(trials, err == nil && !answer.NotRun)
	switch {
	case err == nil:
		d.resilience.recordAnswer(r.ID, server.Name)
		d.links.RecordAnswer(time.Now(), allServices)
		d.observeCall(server, time.Since(start))
	case ctx.Err() != nil:
		d.resilience.recordStop(r.ID, server.Name)
	default:
		d.resilience.recordFailure(context.WithoutCancel(ctx), r.ID, server, backend.WasClosed(err))
	}
	return answer, err
}

// errLeaving means that the server began to leave, was restarted or asked for a pause after it was chosen
// and before the call was sent.
var errLeaving = errors.New("dispatch: the chosen backend server takes no requests any more")
