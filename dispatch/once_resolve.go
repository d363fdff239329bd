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
	// resolveTimeout bounds one question to a backend server.
	resolveTimeout = time.Second
	// resolvePause is the time between two questions while the request runs.
	resolvePause = 50 * time.Millisecond
)

func wasSent(err error) bool {
	var ce *backend.CallError
	return !errors.As(err, &ce) || ce.Sent
}

// loseAnswer settles an attempt that was sent and has no answer. It is never sent again.
func (d *Dispatcher) loseAnswer(ctx context.Context, a attempt, server fleet.BackendServer) reply {
	r := ledger.Record{Key: a.key, Attempt: a.ID, Server: ledger.Server{
		Name: server.Name, Incarnation: server.Incarnation, Address: server.Address, Resolves: server.ResolvesRequests,
	}}
	result := d.resolve(ctx, a, r)
	if result.Verdict == ledger.VerdictAbandoned {
		return reply{err: granted(errServerFailed(outcomeNotRun, "the backend server has not run the request, and never will"))}
	}
	return settled(result)
}

// resolveGone finds out what became of an attempt whose dispatcher is gone. An attempt whose
// dispatcher lives is left to it.
func (d *Dispatcher) resolveGone(ctx context.Context, a attempt, begin ledger.Result) ledger.Result {
	switch begin.Verdict {
	case ledger.VerdictRunning:
		if begin.Record.Dispatcher == d.once.self || !d.once.peers.IsGone(begin.Record.Dispatcher) {
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

// resolve asks the server what became of the recorded attempt, where it can tell, and records
// what it says. Without its word the outcome is unknown.
func (d *Dispatcher) resolve(ctx context.Context, a attempt, r ledger.Record) ledger.Result {
	unknown := ledger.Result{Verdict: ledger.VerdictUnknown, Record: r}
	c := replica.Command{Finish: &replica.Finish{Finish: ledger.Finish{Key: r.Key, Attempt: r.Attempt, Phase: ledger.PhaseUnknown}}}
	if r.Server.Resolves {
		res, err := d.ask(ctx, r)
		switch {
		case err != nil:
			d.log.Info("could not learn what became of a request", "request", r.Attempt, "server", r.Server.Name, "err", err.Error())
		case res.State == backend.RequestFinished:
			c.Finish = d.finishOf(a, r.Attempt, res.Answer())
		case res.State == backend.RequestBarred:
			c = replica.Command{Abandon: &ledger.Abandon{Key: r.Key, Attempt: r.Attempt}}
		}
	}
	result, err := d.propose(ctx, c)
	if err != nil {
		d.once.settler.add(c)
		return unknown
	}
	d.log.Info("settled a request without its dispatcher's word", "request", r.Attempt, "server", r.Server.Name, "verdict", result.Verdict)
	if result.Verdict == ledger.VerdictStale {
		return unknown
	}
	return result
}

// ask returns the server's word on a request once it no longer runs.
func (d *Dispatcher) ask(ctx context.Context, r ledger.Record) (backend.Resolution, error) {
	for {
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
		res, err := backend.Resolve(askCtx, r.Server.Name, r.Server.Address, backend.ResolveRequest{
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
