package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica"
)

const (
	// resolveTimeout limits one query to a backend server for the outcome of a request.
	resolveTimeout = time.Second
	// resolvePause is the time between two queries while the request is running.
	resolvePause = 50 * time.Millisecond
)

// wasSent reports whether the call that failed with err may have reached the server.
func wasSent(err error) bool {
	var ce *backend.CallError
	return !errors.As(err, &ce) || ce.Sent
}

// resolveUnanswered settles an attempt that was sent but not answered. The attempt is never sent
// again.
func (d *Dispatcher) resolveUnanswered(ctx context.Context, a attempt, server fleet.BackendServer) reply {
	r := ledger.Record{Key: a.key, Attempt: a.ID, Server: ledger.Server{
		Name: server.Name, Incarnation: server.Incarnation, Address: server.Address, Resolves: server.ResolvesRequests,
	}}
	result := d.resolve(ctx, a, r)
	if result.Verdict == ledger.VerdictAbandoned {
		return reply{err: markSettled(errServerFailed(outcomeNotRun, "the backend server has not run the request, and never will"))}
	}
	return replyFromVerdict(result)
}

// resolveOrphaned determines the outcome of an attempt whose dispatcher is down. While the
// dispatcher is up, the attempt is left to it.
func (d *Dispatcher) resolveOrphaned(ctx context.Context, a attempt, begin ledger.Result) ledger.Result {
	switch begin.Verdict {
	case ledger.VerdictRunning:
		if begin.Record.Dispatcher == d.once.self || !d.once.peers.IsDown(begin.Record.Dispatcher) {
			return begin
		}
	case ledger.VerdictUnknown:
		if !begin.Record.Server.Resolves {
			return begin
		}
	default:
		return begin
	}
	return d.resolve(ctx, a, begin.Record)
}

// resolve asks the server for the outcome of the recorded attempt, if the server supports that,
// and records the result. Without a report from the server the outcome is unknown.
func (d *Dispatcher) resolve(ctx context.Context, a attempt, r ledger.Record) ledger.Result {
	unknown := ledger.Result{Verdict: ledger.VerdictUnknown, Record: r}
	c := replica.Command{Finish: &replica.Finish{Finish: ledger.Finish{Key: r.Key, Attempt: r.Attempt, Phase: ledger.PhaseUnknown}}}
	if r.Server.Resolves {
		res, err := d.queryServer(ctx, r)
		switch {
		case err != nil:
			d.log.Info("could not resolve the outcome of a request", "request", r.Attempt, "server", r.Server.Name, "err", err.Error())
		case res.State == backend.RequestFinished:
			c.Finish = d.finishOf(a, r.Attempt, res.Answer())
		case res.State == backend.RequestBarred:
			c = replica.Command{Abandon: &ledger.Abandon{Key: r.Key, Attempt: r.Attempt}}
		}
	}
	result, err := d.propose(ctx, c)
	if err != nil {
		d.once.recorder.add(c)
		return unknown
	}
	d.log.Info("settled an unanswered request", "request", r.Attempt, "server", r.Server.Name, "verdict", result.Verdict)
	if result.Verdict == ledger.VerdictStale {
		return unknown
	}
	return result
}

// queryServer returns the server's report on a request once the request is no longer running.
func (d *Dispatcher) queryServer(ctx context.Context, r ledger.Record) (backend.Resolution, error) {
	for {
		queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
		res, err := backend.Resolve(queryCtx, r.Server.Name, r.Server.Address, backend.ResolveRequest{
			Request:     r.Attempt,
			Incarnation: r.Server.Incarnation,
		})
		cancel()
		if err != nil || res.State != backend.RequestRunning {
			return res, err
		}
		if !sleep(ctx, resolvePause) {
			return res, ctx.Err()
		}
	}
}
