package instance

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
)

const (
	// WatchInterval is the usual longest time between two messages on a watch in either direction. It
	// is a sixth of the shortest contact timeout that a deployment specifies (3 s).
	WatchInterval = 500 * time.Millisecond
	// MaxWatchInterval is the longest one, at control instances that many gateways watch. Earlier builds close a watch
	// that is silent for 1.5 s.
	MaxWatchInterval = time.Second
	// minHeartbeatInterval is the shortest time between two heartbeats on a watch. It limits the
	// heartbeats in a burst of changes, as when the servers of a failed control instance move to another.
	minHeartbeatInterval = 20 * time.Millisecond
	// watchTimeout is how long a watch may receive no message before the peer is suspected to be silent.
	watchTimeout = 2*MaxWatchInterval - silenceGrace
)

// errNotControl means that the instance has no replica of the shared state.
var errNotControl = errors.New("instance: not a control instance")

// WatchSource provides what a control instance sends to its watchers.
type WatchSource interface {
	// NewWatchFeed returns the feed for a new watcher.
	NewWatchFeed(first *wire.WatchRequest) WatchFeed
	// FetchRouting returns the routing document that this instance has applied, if it is newer than the caller's.
	FetchRouting(req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error)
}

// WatchFeed builds the heartbeats for one watcher.
type WatchFeed interface {
	// HandleRequest handles a message from the watcher.
	HandleRequest(req *wire.WatchRequest)
	// Next appends the next heartbeat, an encoded wire.WatchBeat, to buf.
	Next(buf []byte) ([]byte, error)
	// Sent records that the heartbeat that Next returned last has been written to the connection.
	Sent()
	// Wake returns a channel that is closed when the next heartbeat should be sent.
	Wake() <-chan struct{}
	// Interval is the longest time until the next heartbeat, at most MaxWatchInterval.
	Interval() time.Duration
	// Close releases the feed.
	Close()
}

// SetWatchSource enables watches on the server. It must be called before Serve.
func (s *Server) SetWatchSource(w WatchSource) { s.watchSource = w }

// Watch sends heartbeats until the watcher disconnects or goes silent.
func (s *Server) Watch(stream wire.DRPCInstance_WatchStream) error {
	if s.watchSource == nil {
		return errNotControl
	}
	if err := s.addSubscriber(); err != nil {
		return err
	}
	defer s.subscribers.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	feed := s.watchSource.NewWatchFeed(first)
	defer feed.Close()
	silence := newSilence(time.Now(), watchTimeout)
	g, ctx := errgroup.WithContext(stream.Context())
	g.Go(func() error {
		for {
			req, err := stream.Recv()
			if err != nil {
				return err
			}
			silence.hear(time.Now(), watchTimeout)
			feed.HandleRequest(req)
		}
	})
	g.Go(func() error {
		defer stream.Close()
		return sendWatchHeartbeats(ctx, stream, feed, silence)
	})
	return eris.Wrapf(g.Wait(), "instance: watch by %s", first.GetName())
}

func sendWatchHeartbeats(ctx context.Context, stream wire.DRPCInstance_WatchStream, f WatchFeed, silence *silence) error {
	for {
		wake := f.Wake()
		if err := stream.MsgSend(f, heartbeatEncoding{}); err != nil {
			return err
		}
		f.Sent()
		sent := time.Now()
		if err := awaitHeartbeat(ctx, wake, sent.Add(f.Interval()), silence); err != nil {
			return err
		}
		if early := minHeartbeatInterval - time.Since(sent); early > 0 && !waitNext(ctx, nil, early) {
			return ctx.Err()
		}
	}
}

// awaitHeartbeat waits until wake is closed or the next heartbeat is due. It returns errSubscriberSilent if the watcher
// counts as silent by then.
func awaitHeartbeat(ctx context.Context, wake <-chan struct{}, due time.Time, silence *silence) error {
	for {
		isSilent, nextCheck := silence.check(time.Now())
		if isSilent {
			return errSubscriberSilent
		}
		left := time.Until(due)
		if !waitNext(ctx, wake, min(left, nextCheck)) {
			return ctx.Err()
		}
		select {
		case <-wake:
			return nil
		default:
			if left <= nextCheck {
				return nil
			}
		}
	}
}

// heartbeatEncoding is the drpc encoding by which a WatchFeed writes its next heartbeat.
type heartbeatEncoding struct{}

// Marshal returns the next heartbeat.
func (e heartbeatEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	return e.MarshalAppend(nil, msg)
}

// MarshalAppend appends the next heartbeat to buf.
func (heartbeatEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	feed, ok := msg.(WatchFeed)
	if !ok {
		return nil, eris.Errorf("instance: a message of type %T is no watch feed", msg)
	}
	return feed.Next(buf)
}

// Unmarshal fails, since heartbeats are only sent in this encoding.
func (heartbeatEncoding) Unmarshal([]byte, drpc.Message) error {
	return eris.New("instance: heartbeats are not received from a watch feed")
}

// Watcher provides the messages to send on a watch and handles those received.
type Watcher interface {
	// Request returns a description of the watcher and its usage, or nil if there is nothing to send now. The first one is
	// not nil.
	Request() *wire.WatchRequest
	// Wake returns a channel that is closed when the usage should be reported immediately.
	Wake() <-chan struct{}
	// Interval is the time after which Request is called again if Wake is not closed before.
	Interval() time.Duration
	// HandleHeartbeat handles a heartbeat from the control instance at the address.
	HandleHeartbeat(address string, b *wire.WatchBeat)
}

// Watch opens a connection to the control instance at the address and passes the heartbeats of that
// instance to w, until ctx ends or the connection fails or goes silent.
func (d Dialer) Watch(ctx context.Context, address string, w Watcher) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := d.open(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := wire.NewDRPCInstanceClient(conn).Watch(ctx)
	if err != nil {
		return eris.Wrapf(err, "instance: watch %s", address)
	}
	wake := w.Wake()
	if err := stream.Send(w.Request()); err != nil {
		return eris.Wrapf(err, "instance: watch %s", address)
	}
	silence := newSilence(time.Now(), watchTimeout)
	defer startPatientTimer(silence, func() { cancel(ErrSilent) }).Stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sendWatchRequests(ctx, stream, w, wake) })
	g.Go(func() error {
		for {
			b, err := stream.Recv()
			if err != nil {
				return err
			}
			silence.hear(time.Now(), watchTimeout)
			w.HandleHeartbeat(address, b)
		}
	})
	return eris.Wrapf(waitStream(ctx, g), "instance: watch of %s", address)
}

// sendWatchRequests sends the requests after the first. wake was taken before that one.
func sendWatchRequests(ctx context.Context, stream wire.DRPCInstance_WatchClient, w Watcher, wake <-chan struct{}) error {
	for {
		if !waitNext(ctx, wake, w.Interval()) {
			return ctx.Err()
		}
		wake = w.Wake() // what becomes urgent while the request is written is sent next
		req := w.Request()
		if req == nil {
			continue
		}
		if err := stream.Send(req); err != nil {
			return err
		}
	}
}

// AnnouncementToWire converts an announcement to the message sent between instances.
func AnnouncementToWire(a discovery.Announcement) *wire.AnnouncedServer {
	return &wire.AnnouncedServer{
		Id:            a.ID,
		Incarnation:   a.Incarnation,
		Sequence:      a.Sequence,
		Service:       a.Service,
		Address:       a.Address,
		DataCentre:    a.DataCentre,
		Release:       a.Release,
		State:         uint32(a.State),
		Slots:         uint32(a.Slots),
		ColdMs:        uint32(a.ColdMS),
		Accelerator:   a.Accelerator,
		Model:         a.Model,
		HasLayers:     a.HasLayers,
		LayersFrom:    uint32(a.LayersFrom),
		LayersTo:      uint32(a.LayersTo),
		LayersVersion: a.LayersVersion,
		HeardBy:       a.HeardBy,
	}
}

// AnnouncementFromWire converts a message sent between instances to an announcement.
func AnnouncementFromWire(w *wire.AnnouncedServer) discovery.Announcement {
	return discovery.Announcement{
		ID:            w.Id,
		Incarnation:   w.Incarnation,
		Sequence:      w.Sequence,
		Service:       w.Service,
		Address:       w.Address,
		DataCentre:    w.DataCentre,
		Release:       w.Release,
		State:         discovery.State(w.State),
		Slots:         int(w.Slots),
		ColdMS:        int(w.ColdMs),
		Accelerator:   w.Accelerator,
		Model:         w.Model,
		HasLayers:     w.HasLayers,
		LayersFrom:    int(w.LayersFrom),
		LayersTo:      int(w.LayersTo),
		LayersVersion: w.LayersVersion,
		HeardBy:       w.HeardBy,
	}
}
