package instance

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var (
	// errSubscriptionsDisabled means that the instance serves watches but no subscriptions.
	errSubscriptionsDisabled = errors.New("instance: subscriptions are not served")
	// errTooManySubscribers means that the instance has reached maxSubscribers.
	errTooManySubscribers = errors.New("instance: too many subscribers")
	// errSubscriberSilent means that a subscriber or watcher has sent no message for too long.
	errSubscriberSilent = errors.New("instance: the subscriber has gone silent")
)

// maxSubscribers bounds the subscriptions and watches that an instance serves.
const maxSubscribers = 1024

// Feed builds the heartbeats for one subscriber.
type Feed interface {
	// HandleClock records the subscriber's clock.
	HandleClock(req *wire.SubscribeRequest)
	// Next returns the next heartbeat and the longest time until the one after.
	Next() (*wire.Beat, time.Duration)
	// Wake returns a channel that is closed when the next heartbeat should be sent.
	Wake() <-chan struct{}
}

// addSubscriber counts a subscriber or watcher. It fails if there are too many.
func (s *Server) addSubscriber() error {
	if s.subscribers.Add(1) > maxSubscribers {
		s.subscribers.Add(-1)
		return errTooManySubscribers
	}
	return nil
}

// Subscribe sends heartbeats until the subscriber disconnects or goes silent.
func (s *Server) Subscribe(stream wire.DRPCInstance_SubscribeStream) error {
	if s.peers == nil {
		return errSubscriptionsDisabled
	}
	if err := s.addSubscriber(); err != nil {
		return err
	}
	defer s.subscribers.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	feed := s.peers.NewFeed(first)
	silence := newSilence(time.Now(), subscriberTimeout)
	g, ctx := errgroup.WithContext(stream.Context())
	g.Go(func() error { return receiveClocks(stream, feed, silence) })
	g.Go(func() error {
		defer stream.Close()
		return sendHeartbeats(ctx, stream, feed, silence)
	})
	return eris.Wrapf(g.Wait(), "instance: publish to %s", first.GetSubscriber().GetName())
}

func receiveClocks(stream wire.DRPCInstance_SubscribeStream, f Feed, silence *silence) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.hear(time.Now(), subscriberTimeout)
		f.HandleClock(req)
	}
}

// subscriberTimeout is how long a subscription lasts after the subscriber's latest clock message.
const subscriberTimeout = 15 * time.Second

func sendHeartbeats(ctx context.Context, stream wire.DRPCInstance_SubscribeStream, f Feed, silence *silence) error {
	for {
		if isSilent, _ := silence.check(time.Now()); isSilent {
			return errSubscriberSilent
		}
		wake := f.Wake()
		heartbeat, interval := f.Next()
		if err := stream.Send(heartbeat); err != nil {
			return err
		}
		if !waitNext(ctx, wake, interval) {
			return ctx.Err()
		}
	}
}

// waitNext waits until wake is closed or the interval has passed. It returns false if ctx ends.
func waitNext(ctx context.Context, wake <-chan struct{}, interval time.Duration) bool {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}

// Members records the caller and returns the instances that this instance knows.
func (s *Server) Members(_ context.Context, req *wire.MembersRequest) (*wire.MembersResponse, error) {
	if s.peers == nil {
		return nil, errSubscriptionsDisabled
	}
	s.peers.HandleMembersRequest(req)
	return &wire.MembersResponse{Responder: s.peers.Self(), Members: s.peers.Members()}, nil
}
