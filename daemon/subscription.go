package daemon

import (
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// errStranger means that a peer is of an older incarnation, has left, or does not say who
// it is.
var errStranger = errors.New("daemon: the peer is not a member")

// subscription receives the beats of one connection to a peer.
type subscription struct {
	s       *shared
	address string
	// newer is called with the address when the peer has a newer view in force.
	newer func(address string, index uint64)
	// onBeat is called with every beat.
	onBeat   func()
	follower *fleet.Follower
	peer     membership.Member
	interval time.Duration
	beats    int
}

func newSubscription(s *shared, address string, newer func(string, uint64)) *subscription {
	return &subscription{s: s, address: address, newer: newer, onBeat: func() {}, follower: fleet.NewFollower()}
}

// Request returns the first message.
func (r *subscription) Request() *wire.SubscribeRequest {
	req := r.ClockRequest()
	req.Subscriber = r.s.Self()
	return req
}

// ClockRequest returns a later message.
func (r *subscription) ClockRequest() *wire.SubscribeRequest {
	return &wire.SubscribeRequest{ClockMs: uint64(r.s.clock.read(time.Now()))}
}

// HandleHeartbeat takes a beat and returns the time to the next one.
func (r *subscription) HandleHeartbeat(b *wire.Beat) (time.Duration, error) {
	now := time.Now()
	sent := r.s.clock.at(b.EchoMs, now)
	if err := r.takeMember(b, sent); err != nil {
		return 0, err
	}
	r.beats++
	r.onBeat()
	if r.peer.Region == r.s.process.Region {
		if err := r.takeLeases(b, now, sent); err != nil {
			return 0, err
		}
	}
	r.takeView(b, sent)
	if r.peer.DataCentre == r.s.process.DataCentre {
		r.s.facts.received(sent, now, r.peer.Name, b.Notices, b.NoticesDigest)
		r.s.facts.receivedUsage(now, r.peer.Name, b.Usage)
	}
	if r.peer.Left {
		return 0, errStranger
	}
	return r.interval, nil
}

func (r *subscription) takeMember(b *wire.Beat, sent time.Time) error {
	if b.Member != nil {
		r.peer = fromWire(b.Member)
	}
	if b.SharedIndex != 0 {
		r.peer.SharedIndex = b.SharedIndex
		r.peer.ConfigVersion = b.ConfigVersion
	}
	if b.IntervalMs != 0 {
		r.interval = time.Duration(b.IntervalMs) * time.Millisecond
	}
	if !r.s.hear(r.peer, sent, membership.FailureTimeout(r.interval)) {
		return errStranger
	}
	return nil
}

func (r *subscription) takeLeases(b *wire.Beat, now, sent time.Time) error {
	u, err := updateOf(b)
	if err != nil {
		return err
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.follower.Apply(now, sent, u, r.s.registry)
}

// takeView compares the peer's view with the one in force here.
func (r *subscription) takeView(b *wire.Beat, sent time.Time) {
	have := r.s.View().Index
	switch {
	case r.peer.SharedIndex > have:
		r.newer(r.address, r.peer.SharedIndex)
	case r.peer.SharedIndex == have && b.ConfirmedMs > 0:
		r.s.confirmView(have, sent.Add(-time.Duration(b.ConfirmedMs-1)*time.Millisecond))
	}
}
