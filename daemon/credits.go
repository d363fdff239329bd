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
	// creditRingSize bounds the credits that wait to be recorded; then new ones are lost,
	// and the log says so.
	creditRingSize = 16384
	// creditBatch bounds the credits of one batch.
	creditBatch = 4096
	// creditWait bounds how long the end of an answer waits for its credit. Without a quorum
	// answers go on, and their credits wait in memory.
	creditWait = 300 * time.Millisecond
	// creditTry bounds one proposal of a batch, which is repeated until it is recorded.
	creditTry   = 2 * time.Second
	creditPause = 100 * time.Millisecond
	// creditFlush bounds the recording of what is left when the instance ends.
	creditFlush = 10 * time.Second
)

// proposer runs commands through the replicated state.
type proposer interface {
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
}

// pendingCredit is a credit whose request waits for it.
type pendingCredit struct {
	entry    credit.Entry
	recorded chan struct{}
}

// creditDuty records the credits of this instance in numbered batches, one at a time.
type creditDuty struct {
	source      string
	incarnation uint64
	sequence    uint64 // of the last batch; only run uses it
	waiting     *ring.Ring[pendingCredit]
	proposer    proposer
	// wait bounds how long the end of an answer waits for its credit.
	wait time.Duration
	log  logr.Logger
}

func newCreditDuty(source string, incarnation uint64, p proposer, log logr.Logger) *creditDuty {
	return &creditDuty{
		source:      source,
		incarnation: incarnation,
		waiting:     ring.New[pendingCredit](creditRingSize),
		proposer:    p,
		wait:        creditWait,
		log:         log,
	}
}

// Credit records the credit for an answered request. It is called before the last byte of the
// answer is sent, and returns once the credit is recorded or has waited for creditWait.
func (d *creditDuty) Credit(e credit.Entry) {
	p := pendingCredit{entry: e, recorded: make(chan struct{})}
	if !d.waiting.Offer(p) {
		d.log.Info("lost a credit, too many are waiting", "request", e.Request)
		return
	}
	timer := time.NewTimer(d.wait)
	defer timer.Stop()
	select {
	case <-p.recorded:
	case <-timer.C:
	}
}

// run records batches until ctx ends, and what is left after that.
func (d *creditDuty) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			d.flush(context.WithoutCancel(ctx))
			return nil
		case first := <-d.waiting.Items():
			d.record(ctx, append([]pendingCredit{first}, d.waiting.Drain(creditBatch-1)...))
		}
	}
}

func (d *creditDuty) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, creditFlush)
	defer cancel()
	for ctx.Err() == nil {
		batch := d.waiting.Drain(creditBatch)
		if len(batch) == 0 {
			return
		}
		d.record(ctx, batch)
	}
}

// record proposes one batch until it is recorded or ctx ends. The number of the batch stays
// the same, so it counts once however often it is proposed.
func (d *creditDuty) record(ctx context.Context, batch []pendingCredit) {
	d.sequence++
	entries := make([]credit.Entry, len(batch))
	for i, p := range batch {
		entries[i] = p.entry
	}
	c := replica.Command{Credits: &credit.Batch{
		Source:      d.source,
		Incarnation: d.incarnation,
		Sequence:    d.sequence,
		Counts:      credit.Collect(entries),
	}}
	for !d.try(ctx, c) {
		if ctx.Err() == nil {
			sleep(ctx, creditPause)
			continue
		}
		if d.try(context.WithoutCancel(ctx), c) {
			break
		}
		d.log.Info("lost credits, the instance ends", "count", len(batch))
		return
	}
	for _, p := range batch {
		close(p.recorded)
	}
}

func (d *creditDuty) try(ctx context.Context, c replica.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, creditTry)
	defer cancel()
	_, err := d.proposer.Propose(ctx, c)
	return err == nil
}
