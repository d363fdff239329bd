package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/control"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/bootclock"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	tickInterval = 200 * time.Millisecond
	// ticksPerPlan is the number of ticks between two updates of the subscriptions.
	ticksPerPlan = 2
	// maxConcurrentDials bounds the connections that are being opened at a time, so that this
	// instance reconnects gradually when many peers return at once.
	maxConcurrentDials = 8

	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// peerSync keeps this instance in sync with its peers: it subscribes to their heartbeats, queries
// them for the members that they know, and fetches newer views.
type peerSync struct {
	state *instanceState
	host  *control.Host // nil on an instance without a replica
	// openStream is the dialer's Subscribe.
	openStream func(ctx context.Context, address string, r instance.SubscriptionHandler) error
	client     *instance.Exchanger
	fetches    *viewFetches
	dialSlots  chan struct{}

	mu            sync.Mutex
	random        *rand.Rand
	subscriptions map[string]context.CancelFunc // by address
}

func newPeerSync(s *instanceState, h *control.Host, d instance.Dialer) *peerSync {
	return &peerSync{
		state:         s,
		host:          h,
		openStream:    d.Subscribe,
		client:        instance.NewExchanger(d),
		fetches:       newViewFetches(s.process.Name),
		dialSlots:     make(chan struct{}, maxConcurrentDials),
		random:        rand.New(rand.NewPCG(s.process.Seed, xxhash.Sum64String(s.process.Name))),
		subscriptions: make(map[string]context.CancelFunc),
	}
}

// run runs the background tasks of peerSync until ctx ends.
func (p *peerSync) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.runMemberQueries(ctx) })
	g.Go(func() error { return p.runFetches(ctx) })
	if p.host != nil {
		g.Go(func() error { return p.runConfirmations(ctx) })
	}
	g.Go(func() error { return p.state.heartbeats.run(ctx, p.state.currentHeartbeatInterval) })
	g.Go(func() error { return p.runSubscriptions(ctx, g) })
	return g.Wait()
}

// runSubscriptions starts and stops subscriptions as the membership changes, until ctx ends.
func (p *peerSync) runSubscriptions(ctx context.Context, g *errgroup.Group) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		p.state.tick()
		if n%ticksPerPlan == 0 {
			p.updateSubscriptions(ctx, g, p.state.planSubscriptions())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *peerSync) updateSubscriptions(ctx context.Context, g *errgroup.Group, addresses []string) {
	planned := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		planned[a] = true
		if _, ok := p.subscriptions[a]; ok {
			continue
		}
		subscriptionCtx, cancel := context.WithCancel(ctx)
		p.subscriptions[a] = cancel
		g.Go(func() error {
			p.subscribe(subscriptionCtx, a)
			return nil
		})
	}
	for a, cancel := range p.subscriptions {
		if !planned[a] {
			cancel()
			delete(p.subscriptions, a)
		}
	}
}

// lastingStream is how long a stream with heartbeats must have lasted for an immediate reconnection. It is
// shorter than membership.ConnectionTimeout, since a peer with a silent connection must be reached over a
// new one before it counts as failed.
const lastingStream = 500 * time.Millisecond

// subscribe keeps up a subscription to the address until ctx ends. It reconnects at once after a stream
// that has lasted, and otherwise with exponential backoff.
func (p *peerSync) subscribe(ctx context.Context, address string) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		started := time.Now()
		r := newSubscription(p.state, address, p.offerHint)
		err := p.subscribeOnce(ctx, address, r)
		p.forgetHint(address)
		if ctx.Err() != nil {
			break
		}
		if r.peer.Name != "" {
			p.state.gossip.peerDisconnected(time.Now(), r.peer.Name)
		}
		if r.heartbeats > 0 {
			p.state.memberLog.V(1).Info("a subscription ended", "instance", r.peer.Name, "reason", err.Error())
			if time.Since(started) >= lastingStream {
				delay = minRetryDelay
				continue
			}
		} else {
			p.state.connectFailed(address, started)
		}
		sleepFor(ctx, p.jitter(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (p *peerSync) subscribeOnce(ctx context.Context, address string, r *subscription) error {
	select {
	case p.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	release := sync.OnceFunc(func() { <-p.dialSlots })
	defer release()
	r.onHeartbeat = release
	return p.openStream(ctx, address, r)
}

// jitter returns a random time between t/2 and t.
func (p *peerSync) jitter(t time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t/2 + time.Duration(p.random.Int64N(int64(t/2)+1))
}

// A new instance asks its peers which instances they know. It sends the first queries at the short
// joinInterval, since other instances may be joining at the same time. After joinQueries answered
// queries, it uses membership.MembersInterval.
const (
	joinQueries  = 4
	joinInterval = 500 * time.Millisecond
)

// runMemberQueries periodically asks a random peer which instances the peer knows.
func (p *peerSync) runMemberQueries(ctx context.Context) error {
	for answered := 0; ctx.Err() == nil; {
		address, known := p.randomPeer()
		if address != "" {
			req := &wire.MembersRequest{Sender: p.state.Self()}
			if resp, err := p.client.Members(ctx, address, req); err == nil {
				p.state.learnMembers(append(resp.Members, resp.Responder))
				answered++
			}
		}
		interval := membership.MembersInterval(known)
		if answered < joinQueries {
			interval = joinInterval
		}
		sleepFor(ctx, p.jitter(interval))
	}
	return nil
}

// randomPeer returns the address of a random member or seed among those to which this instance
// subscribes, and their number. The address is "" if there are none.
func (p *peerSync) randomPeer() (string, int) {
	addresses := p.state.planSubscriptions()
	if len(addresses) == 0 {
		return "", 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return addresses[p.random.IntN(len(addresses))], len(addresses)
}

// confirmInterval is how often a control instance checks whether its view is the newest.
const confirmInterval = 250 * time.Millisecond

// runConfirmations confirms the view of a control instance, at every confirmInterval, as of the time since
// which its replica is known to lack nothing that was acknowledged.
func (p *peerSync) runConfirmations(ctx context.Context) error {
	for ctx.Err() == nil {
		status, err := p.host.Status(ctx)
		if err == nil && status.ConfirmedAt > 0 {
			now := time.Now() // before the other clock is read, so that a pause in between confirms nothing later
			p.state.confirmView(status.ViewIndex, now.Add(status.ConfirmedAt-bootclock.Now()))
		}
		sleepFor(ctx, confirmInterval)
	}
	return nil
}

func sleepFor(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
