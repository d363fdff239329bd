package instance

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var (
	// errNoPeers means that the instance takes part in watches only.
	errNoPeers = errors.New("instance: subscriptions are not served")
	// errTooMany means that the instance has its most subscribers.
	errTooMany = errors.New("instance: too many subscribers")
	// errGone means that a subscriber has sent no clock for too long.
	errGone = errors.New("instance: the subscriber has gone silent")
)

// maxSubscribers bounds the subscriptions that an instance serves.
const maxSubscribers = 1024

// Feed makes the beats for one subscriber.
type Feed interface {
	// HandleClock takes the subscriber's clock.
	HandleClock(req *wire.SubscribeRequest)
	// Next returns the next beat and the longest time to the one after.
	Next() (*wire.Beat, time.Duration)
	// Wake returns a channel that is closed when the next beat should be sent.
	Wake() <-chan struct{}
}

// enter counts a subscriber or watcher, unless there are too many.
func (s *Server) enter() error {
	if s.subscribers.Add(1) > maxSubscribers {
		s.subscribers.Add(-1)
		return errTooMany
	}
	return nil
}

// Subscribe sends beats until the subscriber goes.
func (s *Server) Subscribe(stream wire.DRPCInstance_SubscribeStream) error {
	if s.peers == nil {
		return errNoPeers
	}
	if err := s.enter(); err != nil {
		return err
	}
	defer s.subscribers.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	feed := s.peers.NewFeed(first)
	var heard atomic.Int64
	heard.Store(s.now())
	g, ctx := errgroup.WithContext(stream.Context())
	g.Go(func() error { return s.receiveClocks(stream, feed, &heard) })
	g.Go(func() error {
		defer stream.Close()
		return s.sendBeats(ctx, stream, feed, &heard)
	})
	return eris.Wrapf(g.Wait(), "instance: publish to %s", first.GetSubscriber().GetName())
}

func (s *Server) receiveClocks(stream wire.DRPCInstance_SubscribeStream, f Feed, heard *atomic.Int64) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return err
		}
		heard.Store(s.now())
		f.HandleClock(req)
	}
}

// goneAfter is the silence of a subscriber after which its subscription ends.
const goneAfter = 15 * time.Second

func (s *Server) sendBeats(ctx context.Context, stream wire.DRPCInstance_SubscribeStream, f Feed, heard *atomic.Int64) error {
	for {
		if s.now()-heard.Load() > goneAfter.Milliseconds() {
			return errGone
		}
		wake := f.Wake()
		beat, interval := f.Next()
		if err := stream.Send(beat); err != nil {
			return err
		}
		if !waitBeat(ctx, wake, interval) {
			return ctx.Err()
		}
	}
}

// waitBeat waits for the next beat and reports false when ctx has ended.
func waitBeat(ctx context.Context, wake <-chan struct{}, interval time.Duration) bool {
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

// now returns the milliseconds since the server was made.
func (s *Server) now() int64 { return time.Since(s.started).Milliseconds() }

// Members takes over the members that the caller knows and returns those known here.
func (s *Server) Members(_ context.Context, req *wire.MembersRequest) (*wire.MembersResponse, error) {
	if s.peers == nil {
		return nil, errNoPeers
	}
	s.peers.HandleMembersRequest(req)
	return &wire.MembersResponse{Responder: s.peers.Self(), Members: s.peers.Members()}, nil
}
