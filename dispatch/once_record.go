package dispatch

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

const (
	// recordRingSize limits the outcomes that wait to be recorded. When the ring is full, new
	// outcomes are dropped: the request's key stays held, and duplicates are answered that the
	// outcome is unknown.
	recordRingSize   = 4096
	recordWorkers    = 8
	recordTimeout    = 2 * time.Second
	recordRetryPause = 200 * time.Millisecond
	// probeInterval is how often an instance without quorum checks whether a quorum answers again.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// outcomeRecorder records the outcomes that could not be recorded at first. It retries each outcome
// until the ledger has recorded it.
type outcomeRecorder struct {
	pending  *ring.Ring[replica.Command]
	proposer Proposer
	log      logr.Logger
}

func newOutcomeRecorder(p Proposer, log logr.Logger) *outcomeRecorder {
	return &outcomeRecorder{pending: ring.New[replica.Command](recordRingSize), proposer: p, log: log}
}

func (r *outcomeRecorder) add(c replica.Command) {
	if !r.pending.Offer(c) {
		r.log.Info("dropped an outcome: too many are waiting to be recorded")
	}
}

// run records outcomes until ctx ends.
func (r *outcomeRecorder) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.recordRemaining(context.WithoutCancel(ctx))
			return nil
		case c := <-r.pending.Items():
			if !r.record(ctx, c) {
				r.add(c)
				sleep(ctx, recordRetryPause)
			}
		}
	}
}

// recordRemaining tries once to record the remaining outcomes before the instance shuts down. It
// gives up at the first failure.
func (r *outcomeRecorder) recordRemaining(ctx context.Context) {
	for _, c := range r.pending.Drain(recordRingSize) {
		if !r.record(ctx, c) {
			r.log.Info("dropped outcomes: the instance is shutting down")
			return
		}
	}
}

func (r *outcomeRecorder) record(ctx context.Context, c replica.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := r.proposer.Propose(ctx, c)
	return err == nil
}

// probeQuorum opens the gate once a quorum answers.
func (d *Dispatcher) probeQuorum(ctx context.Context) error {
	lookup := replica.Command{Begin: &ledger.Begin{LookupOnly: true, Dispatcher: d.once.self}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if d.once.quorum.isOpen() {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := d.proposer.Propose(probeCtx, lookup)
		cancel()
		if err == nil {
			d.log.Info("quorum is available again")
			d.once.quorum.recordSuccess()
		}
	}
}

// Run runs the background work of the dispatcher until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range recordWorkers {
		g.Go(func() error { return d.once.recorder.run(ctx) })
	}
	g.Go(func() error { return d.probeQuorum(ctx) })
	g.Go(func() error { return d.once.pauses.run(ctx) })
	g.Go(func() error { return d.runCrashChecks(ctx) })
	return g.Wait()
}
