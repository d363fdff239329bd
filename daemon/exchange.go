package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	tickInterval = 200 * time.Millisecond
	// planTicks is the number of ticks between two looks at whom to subscribe to.
	planTicks = 2
	// fetchRing bounds the hints of newer views that wait; more are dropped, since the next
	// beat gives the hint again.
	fetchRing    = 64
	fetchWorkers = 2
	// dialLimit bounds the connections that are being opened, so that many peers that come
	// back at once are taken one after the other.
	dialLimit = 8

	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

// newerView is a hint that a peer has a newer view.
type newerView struct {
	address string
	index   uint64
}

// exchangeDuty keeps this instance up to date with the others: it subscribes to them, asks
// them whom they know, and fetches newer views.
type exchangeDuty struct {
	shared    *shared
	host      *control.Host // nil on an instance without a replica
	dialer    instance.Dialer
	exchanger *instance.Exchanger
	hints     *ring.Ring[newerView]
	dials     chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	active map[string]context.CancelFunc // by address
}

func newExchangeDuty(s *shared, h *control.Host, d instance.Dialer) *exchangeDuty {
	return &exchangeDuty{
		shared:    s,
		host:      h,
		dialer:    d,
		exchanger: instance.NewExchanger(d),
		hints:     ring.New[newerView](fetchRing),
		dials:     make(chan struct{}, dialLimit),
		random:    rand.New(rand.NewPCG(s.process.Seed, xxhash.Sum64String(s.process.Name))),
		active:    make(map[string]context.CancelFunc),
	}
}

// run works until ctx ends.
func (d *exchangeDuty) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runMembers(ctx) })
	for range fetchWorkers {
		g.Go(func() error { return d.runFetches(ctx) })
	}
	if d.host != nil {
		g.Go(func() error { return d.runConfirms(ctx) })
	}
	g.Go(func() error { return d.shared.pulse.run(ctx, d.shared.currentInterval) })
	g.Go(func() error { return d.runPlan(ctx, g) })
	return g.Wait()
}

// runPlan starts and stops subscriptions as members come and go.
func (d *exchangeDuty) runPlan(ctx context.Context, g *errgroup.Group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		d.shared.tick()
		if n%planTicks == 0 {
			d.follow(ctx, g, d.shared.plan())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *exchangeDuty) follow(ctx context.Context, g *errgroup.Group, addresses []string) {
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if _, ok := d.active[a]; ok {
			continue
		}
		sctx, cancel := context.WithCancel(ctx)
		d.active[a] = cancel
		g.Go(func() error {
			d.subscribe(sctx, a)
			return nil
		})
	}
	for a, cancel := range d.active {
		if !wanted[a] {
			cancel()
			delete(d.active, a)
		}
	}
}

// subscribe keeps a subscription to the address until ctx ends.
func (d *exchangeDuty) subscribe(ctx context.Context, address string) {
	retry := minRetry
	for ctx.Err() == nil {
		since := time.Now()
		r := newSubscription(d.shared, address, d.hint)
		err := d.try(ctx, address, r)
		if ctx.Err() != nil {
			break
		}
		if r.peer.Name != "" {
			d.shared.facts.ended(time.Now(), r.peer.Name)
		}
		if r.beats > 0 {
			d.shared.memberLog.V(1).Info("a subscription ended", "instance", r.peer.Name, "reason", err.Error())
			retry = minRetry
			continue
		}
		d.shared.failed(address, since)
		pauseFor(ctx, d.jitter(retry))
		retry = min(2*retry, maxRetry)
	}
}

func (d *exchangeDuty) try(ctx context.Context, address string, r *subscription) error {
	select {
	case d.dials <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	release := sync.OnceFunc(func() { <-d.dials })
	defer release()
	r.onBeat = release
	return d.dialer.Subscribe(ctx, address, r)
}

// jitter returns a time between half of d and d.
func (d *exchangeDuty) jitter(t time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t/2 + time.Duration(d.random.Int64N(int64(t/2)+1))
}

func (d *exchangeDuty) hint(address string, index uint64) {
	d.hints.Offer(newerView{address: address, index: index})
}

// runFetches fetches newer views.
func (d *exchangeDuty) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-d.hints.Items():
			d.fetch(ctx, h)
		}
	}
}

func (d *exchangeDuty) fetch(ctx context.Context, h newerView) {
	req := d.shared.fetchRequest()
	if h.index <= req.HaveIndex {
		return
	}
	resp, err := d.exchanger.Fetch(ctx, h.address, req)
	if err == nil {
		err = d.shared.fetched(req, resp)
	}
	if err != nil && ctx.Err() == nil {
		d.shared.log.Info("could not fetch a view", "address", h.address, "reason", err.Error())
	}
}

// joinAsks is how often a new instance asks at short intervals whom the others know, since
// others may be joining too.
const (
	joinAsks     = 4
	joinInterval = 500 * time.Millisecond
)

// runMembers asks another instance whom it knows, now and then.
func (d *exchangeDuty) runMembers(ctx context.Context) error {
	for asked := 0; ctx.Err() == nil; {
		address, known := d.somePeer()
		if address != "" {
			req := &wire.MembersRequest{Sender: d.shared.Self()}
			if resp, err := d.exchanger.Members(ctx, address, req); err == nil {
				d.shared.learn(append(resp.Members, resp.Responder))
				asked++
			}
		}
		interval := membership.MembersInterval(known)
		if asked < joinAsks {
			interval = joinInterval
		}
		pauseFor(ctx, d.jitter(interval))
	}
	return nil
}

// somePeer returns the address of a member or seed, and the number of members.
func (d *exchangeDuty) somePeer() (string, int) {
	addresses := d.shared.plan()
	if len(addresses) == 0 {
		return "", 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return addresses[d.random.IntN(len(addresses))], len(addresses)
}

// confirmInterval is how often a control instance looks whether its view is the newest.
const confirmInterval = 250 * time.Millisecond

// runConfirms confirms the view of a control instance while it hears the leader.
func (d *exchangeDuty) runConfirms(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		status, err := d.host.Status(ctx)
		if err == nil && status.Leader != "" {
			d.shared.confirmView(d.shared.View().Index, now)
		}
		pauseFor(ctx, confirmInterval)
	}
	return nil
}

func pauseFor(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
