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

// ErrSilent means that a connection was given up because nothing came over it in time. Its
// peer may be alive and reachable over a new one.
var ErrSilent = errors.New("instance: the connection has gone silent")

// Receiver takes what one subscription brings.
type Receiver interface {
	// Request returns the first message, with the subscriber.
	Request() *wire.SubscribeRequest
	// Clock returns a later message, with the clock alone.
	Clock() *wire.SubscribeRequest
	// Received takes a beat and returns the time to the next one. An error ends the
	// subscription.
	Received(b *wire.Beat) (time.Duration, error)
}

// Subscribe opens a new connection to the instance at the address and passes what it sends
// to r, until ctx ends or the connection fails or goes silent.
func (d Dialer) Subscribe(ctx context.Context, address string, r Receiver) error {
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
	silence := time.AfterFunc(membership.FirstHeartbeatTimeout(), func() { cancel(ErrSilent) })
	defer silence.Stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sendClocks(ctx, stream, r) })
	g.Go(func() error { return receiveBeats(stream, r, silence) })
	return eris.Wrapf(waitStream(ctx, g), "instance: subscription to %s", address)
}

// waitStream waits for the duties of a stream; silence is the cause of its end where it has
// been noticed.
func waitStream(ctx context.Context, g *errgroup.Group) error {
	err := g.Wait()
	if cause := context.Cause(ctx); errors.Is(cause, ErrSilent) {
		return cause
	}
	return err
}

func receiveBeats(stream wire.DRPCInstance_SubscribeClient, r Receiver, silence *time.Timer) error {
	for {
		b, err := stream.Recv()
		if err != nil {
			return err
		}
		interval, err := r.Received(b)
		if err != nil {
			return err
		}
		silence.Reset(membership.ConnectionTimeout(interval))
	}
}

// sendClocks sends the clock at its multiples of the interval, which are the same for all
// subscriptions, so that the processor is woken once for all.
func sendClocks(ctx context.Context, stream wire.DRPCInstance_SubscribeClient, r Receiver) error {
	for {
		reading := time.Duration(r.Clock().ClockMs) * time.Millisecond
		pause(ctx, membership.ClockInterval-reading%membership.ClockInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := stream.Send(r.Clock()); err != nil {
			return err
		}
	}
}
