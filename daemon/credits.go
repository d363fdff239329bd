package daemon

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/go-logr/logr"
)

const (
	// creditRingSize bounds the credits that wait to be recorded; then new ones are lost
	// and counted.
	creditRingSize = 4096
	creditInterval = 250 * time.Millisecond
	creditTimeout  = 30 * time.Second
)

// creditDuty records the credits of this instance in batches.
type creditDuty struct {
	waiting  *ring.Ring[credit.Entry]
	proposer *instance.Proposer
	log      logr.Logger
}

func newCreditDuty(p *instance.Proposer, log logr.Logger) *creditDuty {
	return &creditDuty{waiting: ring.New[credit.Entry](creditRingSize), proposer: p, log: log}
}

// Credit queues the credit for an answered request.
func (d *creditDuty) Credit(e credit.Entry) {
	if !d.waiting.Offer(e) {
		d.log.Info("lost a credit, too many are waiting", "request", e.Request)
	}
}

// run records batches until ctx ends, and what is left after that.
func (d *creditDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(creditInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.record(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			d.record(ctx)
		}
	}
}

func (d *creditDuty) record(ctx context.Context) {
	batch := d.waiting.Drain(creditRingSize)
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	if _, err := d.proposer.Propose(ctx, replica.Command{Credits: batch}); err != nil {
		d.log.Error(err, "could not record credits", "count", len(batch))
	}
}
