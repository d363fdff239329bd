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
	// settleRingSize bounds the outcomes that wait to be recorded. When it is full, a new one
	// is lost: its key stays held, and duplicates are told that the outcome is unknown.
	settleRingSize = 4096
	settleWorkers  = 8
	settleTimeout  = 2 * time.Second
	settlePause    = 200 * time.Millisecond
	// probeInterval is how often an instance without a quorum looks for one.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// settler records outcomes that could not be recorded at once, until they are.
type settler struct {
	waiting  *ring.Ring[replica.Command]
	proposer Proposer
	log      logr.Logger
}

func newSettler(p Proposer, log logr.Logger) *settler {
	return &settler{waiting: ring.New[replica.Command](settleRingSize), proposer: p, log: log}
}

func (s *settler) add(c replica.Command) {
	if !s.waiting.Offer(c) {
		s.log.Info("lost an outcome, too many wait to be recorded")
	}
}

// run records outcomes until ctx ends.
func (s *settler) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.settleRest(context.WithoutCancel(ctx))
			return nil
		case c := <-s.waiting.Items():
			if !s.settle(ctx, c) {
				s.add(c)
				sleep(ctx, settlePause)
			}
		}
	}
}

// settleRest tries once to record what is left, before the instance ends.
func (s *settler) settleRest(ctx context.Context) {
	for _, c := range s.waiting.Drain(settleRingSize) {
		if !s.settle(ctx, c) {
			s.log.Info("lost an outcome, the instance ends")
			return
		}
	}
}

func (s *settler) settle(ctx context.Context, c replica.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	_, err := s.proposer.Propose(ctx, c)
	return err == nil
}

// probe opens the gate once a quorum answers.
func (d *Dispatcher) probe(ctx context.Context) error {
	look := replica.Command{Begin: &ledger.Begin{LookupOnly: true, Dispatcher: d.once.self}}
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
		_, err := d.proposer.Propose(probeCtx, look)
		cancel()
		if err == nil {
			d.log.Info("found a quorum again")
			d.once.quorum.answered()
		}
	}
}

// Run settles what calls have left open, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range settleWorkers {
		g.Go(func() error { return d.once.settler.run(ctx) })
	}
	g.Go(func() error { return d.probe(ctx) })
	g.Go(func() error { return d.once.stall.run(ctx) })
	g.Go(func() error { return d.runDeaths(ctx) })
	return g.Wait()
}
