package instance

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// ErrSilent means that a connection was closed because no message was received on it in time.
// The peer may still be alive and reachable over a new connection.
var ErrSilent = errors.New("instance: the connection has gone silent")

// SubscriptionHandler provides the messages to send on one subscription and handles those received.
type SubscriptionHandler interface {
	// Request returns the first message, which describes the subscriber.
	Request() *wire.SubscribeRequest
	// ClockRequest returns a later message, which contains only a reading of the subscriber's clock.
	ClockRequest() *wire.SubscribeRequest
	// HandleHeartbeat handles a heartbeat and returns the expected time until the next one. An
	// error ends the subscription.
	HandleHeartbeat(b *wire.Beat) (time.Duration, error)
}

// Subscribe opens a new connection to the instance at the address and passes the heartbeats of that
// instance to r, until ctx ends or the connection fails or goes silent.
func (d Dialer) Subscribe(ctx context.Context, address string, r SubscriptionHandler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := d.open(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := wire.NewDRPCInstanceClient(conn).Subscribe(ctx)
	if err != nil {
		return eris.Wrapf(err, "instance: subscribe to %s", address)
	}
	if err := stream.Send(r.Request()); err != nil {
		return eris.Wrapf(err, "instance: subscribe to %s", address)
	}
	silence := newSilence(time.Now(), membership.FirstHeartbeatTimeout())
	defer startPatientTimer(silence, func() { cancel(ErrSilent) }).Stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sendClocks(ctx, stream, r) })
	g.Go(func() error { return receiveHeartbeats(stream, r, silence) })
	return eris.Wrapf(waitStream(ctx, g), "instance: subscription to %s", address)
}

// waitStream waits for the goroutines of a stream and returns the first error. If the stream
// ended because the connection went silent, it returns ErrSilent.
func waitStream(ctx context.Context, g *errgroup.Group) error {
	err := g.Wait()
	if cause := context.Cause(ctx); errors.Is(cause, ErrSilent) {
		return cause
	}
	return err
}

func receiveHeartbeats(stream wire.DRPCInstance_SubscribeClient, r SubscriptionHandler, silence *silence) error {
	for {
		b, err := stream.Recv()
		if err != nil {
			return err
		}
		interval, err := r.HandleHeartbeat(b)
		if err != nil {
			return err
		}
		silence.hear(time.Now(), membership.ConnectionTimeout(interval))
	}
}

// sendClocks sends the clock whenever it reaches a multiple of the interval. These times are the
// same for all subscriptions, so that the processor wakes up only once for all of them.
func sendClocks(ctx context.Context, stream wire.DRPCInstance_SubscribeClient, r SubscriptionHandler) error {
	for {
		reading := time.Duration(r.ClockRequest().ClockMs) * time.Millisecond
		sleep(ctx, membership.ClockInterval-reading%membership.ClockInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := stream.Send(r.ClockRequest()); err != nil {
			return err
		}
	}
}
