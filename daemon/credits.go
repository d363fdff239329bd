package daemon

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/go-logr/logr"
)

const (
	// creditRingSize bounds the credits that wait to be recorded. Further credits are dropped and
	// logged.
	creditRingSize = 16384
	// maxCreditBatch bounds the credits in one batch.
	maxCreditBatch = 4096
	// creditWaitTimeout bounds how long the end of an answer is delayed until its credit is recorded.
	// Without a quorum, answers are completed anyway and their credits wait in memory.
	creditWaitTimeout = 300 * time.Millisecond
	// creditProposeTimeout bounds one proposal of a batch. A batch is proposed again every
	// creditRetryInterval until it is recorded.
	creditProposeTimeout = 2 * time.Second
	creditRetryInterval  = 100 * time.Millisecond
	// creditFlushTimeout bounds the recording of the pending credits at shutdown.
	creditFlushTimeout = 10 * time.Second
)

// proposer applies commands to the replicated state.
type proposer interface {
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
}

// pendingCredit is a credit that is not recorded yet. recorded is closed once the credit is
// recorded.
type pendingCredit struct {
	entry    credit.Entry
	recorded chan struct{}
}

// creditRecorder records the credits of this instance in numbered batches, one batch at a time.
type creditRecorder struct {
	source      string
	incarnation uint64
	sequence    uint64 // number of the last batch; used by run only
	pending     *ring.Ring[pendingCredit]
	proposer    proposer
	// waitTimeout is creditWaitTimeout, except in tests.
	waitTimeout time.Duration
	log         logr.Logger
}

func newCreditRecorder(source string, incarnation uint64, p proposer, log logr.Logger) *creditRecorder {
	return &creditRecorder{
		source:      source,
		incarnation: incarnation,
		pending:     ring.New[pendingCredit](creditRingSize),
		proposer:    p,
		waitTimeout: creditWaitTimeout,
		log:         log,
	}
}

// Credit records the credit for an answered request. It is called before the last byte of the
// answer is sent, and returns once the credit is recorded or creditWaitTimeout has passed.
func (r *creditRecorder) Credit(e credit.Entry) {
	p := pendingCredit{entry: e, recorded: make(chan struct{})}
	if !r.pending.Offer(p) {
		r.log.Info("did not record the credit for a request: the queue of pending credits is full", "request", e.Request)
		return
	}
	timer := time.NewTimer(r.waitTimeout)
	defer timer.Stop()
	select {
	case <-p.recorded:
	case <-timer.C:
	}
}

// run records batches until ctx ends. Then it records the credits that are still pending.
func (r *creditRecorder) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			r.flush(context.WithoutCancel(ctx))
			return nil
		case first := <-r.pending.Items():
			r.record(ctx, append([]pendingCredit{first}, r.pending.Drain(maxCreditBatch-1)...))
		}
	}
}

func (r *creditRecorder) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, creditFlushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		batch := r.pending.Drain(maxCreditBatch)
		if len(batch) == 0 {
			return
		}
		r.record(ctx, batch)
	}
}

// record proposes one batch until it is recorded. If ctx ends first, the batch is proposed once more.
// Every proposal has the same sequence number, so the batch is counted once however often it is
// proposed.
func (r *creditRecorder) record(ctx context.Context, batch []pendingCredit) {
	r.sequence++
	entries := make([]credit.Entry, len(batch))
	for i, p := range batch {
		entries[i] = p.entry
	}
	c := replica.Command{Credits: &credit.Batch{
		Source:      r.source,
		Incarnation: r.incarnation,
		Sequence:    r.sequence,
		Counts:      credit.Collect(entries),
	}}
	for !r.propose(ctx, c) {
		if ctx.Err() == nil {
			sleep(ctx, creditRetryInterval)
			continue
		}
		if r.propose(context.WithoutCancel(ctx), c) {
			break
		}
		r.log.Info("lost credits: the instance is shutting down", "count", len(batch))
		return
	}
	for _, p := range batch {
		close(p.recorded)
	}
}

func (r *creditRecorder) propose(ctx context.Context, c replica.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, creditProposeTimeout)
	defer cancel()
	_, err := r.proposer.Propose(ctx, c)
	return err == nil
}
