package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/delivery"
	"github.com/balsamlb/balsamlb/internal/wakeloop"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// viewApplyTime is the time within which an accepted configuration is in force everywhere.
const viewApplyTime = 5 * time.Second

// viewFetches holds the plan of the fetches of views. It is safe for concurrent use.
type viewFetches struct {
	// wake has an element if the plan may have something to do.
	wake chan struct{}

	mu   sync.Mutex
	plan *delivery.Plan
	// cancels ends the fetches in flight, by address.
	cancels map[string]context.CancelFunc
}

func newViewFetches(name string) *viewFetches {
	return &viewFetches{wake: make(chan struct{}, 1), plan: delivery.New(name, viewApplyTime), cancels: make(map[string]context.CancelFunc)}
}

// update changes the plan and has it carried out.
func (f *viewFetches) update(change func(*delivery.Plan)) {
	f.mu.Lock()
	change(f.plan)
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// offerHint records that the peer at the address has the view with the index.
func (p *peerSync) offerHint(address string, index uint64) {
	now := time.Now()
	p.fetches.update(func(plan *delivery.Plan) { plan.Heard(now, address, index) })
}

// forgetHint records that the peer at the address is no longer connected.
func (p *peerSync) forgetHint(address string) {
	p.fetches.update(func(plan *delivery.Plan) { plan.Forget(address) })
}

// runFetches fetches the views that peers name, as planned, until ctx ends. Each fetch has a goroutine of its own; there
// is at most one for each peer.
func (p *peerSync) runFetches(ctx context.Context) error {
	return wakeloop.Run(ctx, p.fetches.wake, p.startFetches)
}

// startFetches starts and cancels fetches as planned, and returns when to look at the plan again, if at any time.
func (p *peerSync) startFetches(ctx context.Context, g *errgroup.Group) (wait time.Duration, ok bool) {
	index := p.state.View().Index
	f := p.fetches
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.InForce(index)
	for {
		now := time.Now()
		step := f.plan.Next(now)
		for _, address := range step.Cancel {
			f.cancels[address]()
		}
		if step.Ask == "" {
			return step.Wake.Sub(now), !step.Wake.IsZero()
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		f.cancels[step.Ask] = cancel
		g.Go(func() error {
			defer cancel()
			p.runFetch(fetchCtx, step.Ask)
			return nil
		})
	}
}

// runFetch fetches from one peer and tells the plan how it went.
func (p *peerSync) runFetch(ctx context.Context, address string) {
	index, err := p.fetch(ctx, address)
	isCancelled := ctx.Err() != nil
	now := time.Now()
	p.fetches.update(func(plan *delivery.Plan) {
		delete(p.fetches.cancels, address)
		if err != nil {
			plan.Failed(now, address)
		} else {
			plan.Ended(address, index)
		}
	})
	if err != nil && !isCancelled {
		p.state.log.Info("could not fetch a view", "address", address, "reason", err.Error())
	}
}

// errViewNotInForce is returned if the view of a peer was not put in force, so that the peer isn't asked again at once.
var errViewNotInForce = errors.New("daemon: the fetched view was not put in force")

// fetch gets the view of a peer and puts it in force. If there is nothing newer, it returns the index of the view there,
// else 0.
func (p *peerSync) fetch(ctx context.Context, address string) (uint64, error) {
	req := p.state.fetchRequest()
	resp, err := p.client.Fetch(ctx, address, req, func(bytes int) { p.recordProgress(address, bytes) })
	if err != nil {
		return 0, err
	}
	if resp.Index == 0 {
		return 0, eris.Wrapf(errViewNotInForce, "daemon: %s has no view", address)
	}
	if resp.Index <= req.HaveIndex {
		return resp.Index, nil
	}
	if err := p.state.applyFetchedView(req, resp); err != nil {
		return 0, eris.Wrapf(err, "daemon: apply view %d of %s", resp.Index, address)
	}
	if resp.Index > p.state.View().Index {
		return 0, eris.Wrapf(errViewNotInForce, "daemon: view %d of %s", resp.Index, address)
	}
	return 0, nil
}

func (p *peerSync) recordProgress(address string, bytes int) {
	now := time.Now()
	p.fetches.mu.Lock()
	defer p.fetches.mu.Unlock()
	p.fetches.plan.Progress(now, address, bytes)
}
