package daemon

import (
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// errNotMember means that a peer is of an older incarnation, has left, or does not identify itself.
var errNotMember = errors.New("daemon: the peer is not a member")

// subscription handles the heartbeats received over one connection to a peer.
type subscription struct {
	state   *instanceState
	address string
	// onNewerView is called with the address and the view's index if the peer has a newer view in force.
	onNewerView func(address string, index uint64)
	// onHeartbeat is called at every heartbeat.
	onHeartbeat func()
	follower    *fleet.Follower
	peer        membership.Member
	interval    time.Duration // between the peer's heartbeats
	heartbeats  int           // received so far
}

func newSubscription(s *instanceState, address string, onNewerView func(string, uint64)) *subscription {
	return &subscription{state: s, address: address, onNewerView: onNewerView, onHeartbeat: func() {}, follower: fleet.NewFollower()}
}

// Request returns the first message to the peer, which identifies this instance.
func (r *subscription) Request() *wire.SubscribeRequest {
	req := r.ClockRequest()
	req.Subscriber = r.state.Self()
	return req
}

// ClockRequest returns a later message, with a new reading of this instance's clock.
func (r *subscription) ClockRequest() *wire.SubscribeRequest {
	return &wire.SubscribeRequest{ClockMs: uint64(r.state.clock.read(time.Now()))}
}

// HandleHeartbeat handles a heartbeat and returns the time to the next one.
func (r *subscription) HandleHeartbeat(b *wire.Beat) (time.Duration, error) {
	now := time.Now()
	sent := r.state.clock.timeOf(b.EchoMs, now)
	if err := r.applyMember(b, sent); err != nil {
		return 0, err
	}
	r.heartbeats++
	r.onHeartbeat()
	if r.peer.Region == r.state.process.Region {
		if err := r.applyLeases(b, now, sent); err != nil {
			return 0, err
		}
	}
	r.compareView(b, sent)
	if r.peer.DataCentre == r.state.process.DataCentre {
		r.state.gossip.receiveNotices(sent, now, r.peer.Name, b.Notices, b.NoticesDigest)
		r.state.gossip.receiveUsage(now, r.peer.Name, b.Usage)
	}
	if r.peer.Left {
		return 0, errNotMember
	}
	return r.interval, nil
}

func (r *subscription) applyMember(b *wire.Beat, sent time.Time) error {
	if b.Member != nil {
		r.peer = memberFromWire(b.Member)
	}
	if b.SharedIndex != 0 {
		r.peer.SharedIndex = b.SharedIndex
		r.peer.ConfigVersion = b.ConfigVersion
	}
	if b.IntervalMs != 0 {
		r.interval = time.Duration(b.IntervalMs) * time.Millisecond
	}
	if !r.state.recordHeartbeat(r.peer, sent, membership.FailureTimeout(r.interval)) {
		return errNotMember
	}
	return nil
}

func (r *subscription) applyLeases(b *wire.Beat, now, sent time.Time) error {
	u, err := updateFromWire(b)
	if err != nil {
		return err
	}
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.follower.Apply(now, sent, u, r.state.registry)
}

// compareView compares the peer's view with the view in force here. If the peer's view is newer, it is
// fetched. If both are the same, the peer's confirmation of the view also counts here.
func (r *subscription) compareView(b *wire.Beat, sent time.Time) {
	have := r.state.View().Index
	switch {
	case r.peer.SharedIndex > have:
		r.onNewerView(r.address, r.peer.SharedIndex)
	case r.peer.SharedIndex == have && b.ConfirmedMs > 0:
		r.state.confirmView(have, sent.Add(-time.Duration(b.ConfirmedMs-1)*time.Millisecond))
	}
}
