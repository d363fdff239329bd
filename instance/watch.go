package instance

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// WatchInterval is the longest time between two messages on a watch, either way. It is a
	// sixth of the shortest contact time that a deployment states (3 s).
	WatchInterval = 500 * time.Millisecond
	// beatGap is the shortest time between two beats on a watch, so that a burst of changes, such
	// as the servers of a lost control instance that turn elsewhere, costs few beats.
	beatGap = 20 * time.Millisecond
	// watchSilence is after how long without a message a watch is given up.
	watchSilence = 3 * WatchInterval
)

// errNotControl means that the instance keeps no shared state.
var errNotControl = errors.New("instance: not a control instance")

// WatchSource is what a control instance tells its watchers.
type WatchSource interface {
	// NewWatchFeed returns the feed for a new watcher.
	NewWatchFeed(first *wire.WatchRequest) WatchFeed
	// Routing returns the routing document that is applied here.
	Routing() (version uint64, document []byte)
}

// WatchFeed makes the beats for one watcher.
type WatchFeed interface {
	// HandleRequest takes a message of the watcher.
	HandleRequest(req *wire.WatchRequest)
	// Next returns the next beat.
	Next() *wire.WatchBeat
	// Wake returns a channel that is closed when the next beat should be sent.
	Wake() <-chan struct{}
	// Interval is the longest time to the next beat, at most WatchInterval.
	Interval() time.Duration
	// Close ends the feed.
	Close()
}

// SetWatchSource lets the server answer watchers. It is called before Serve.
func (s *Server) SetWatchSource(w WatchSource) { s.watched = w }

// Watch sends beats until the watcher goes.
func (s *Server) Watch(stream wire.DRPCInstance_WatchStream) error {
	if s.watched == nil {
		return errNotControl
	}
	if err := s.enter(); err != nil {
		return err
	}
	defer s.subscribers.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	feed := s.watched.NewWatchFeed(first)
	defer feed.Close()
	var heard atomic.Int64
	heard.Store(s.now())
	g, ctx := errgroup.WithContext(stream.Context())
	g.Go(func() error {
		for {
			req, err := stream.Recv()
			if err != nil {
				return err
			}
			heard.Store(s.now())
			feed.HandleRequest(req)
		}
	})
	g.Go(func() error {
		defer stream.Close()
		return s.sendWatchBeats(ctx, stream, feed, &heard)
	})
	return eris.Wrapf(g.Wait(), "instance: watch by %s", first.GetName())
}

func (s *Server) sendWatchBeats(ctx context.Context, stream wire.DRPCInstance_WatchStream, f WatchFeed, heard *atomic.Int64) error {
	for {
		if s.now()-heard.Load() > watchSilence.Milliseconds() {
			return errGone
		}
		wake := f.Wake()
		if err := stream.Send(f.Next()); err != nil {
			return err
		}
		if !waitBeat(ctx, nil, beatGap) || !waitBeat(ctx, wake, f.Interval()-beatGap) {
			return ctx.Err()
		}
	}
}

// FetchRouting returns the routing document if it is newer than the caller's.
func (s *Server) FetchRouting(_ context.Context, req *wire.FetchRoutingRequest) (*wire.FetchRoutingResponse, error) {
	if s.watched == nil {
		return nil, errNotControl
	}
	version, document := s.watched.Routing()
	if version <= req.HaveVersion {
		return &wire.FetchRoutingResponse{Version: version}, nil
	}
	return &wire.FetchRoutingResponse{Version: version, Document: document}, nil
}

// Watcher takes what a watch brings.
type Watcher interface {
	// Request describes the watcher and its usage.
	Request() *wire.WatchRequest
	// Wake returns a channel that is closed when the usage should be told at once.
	Wake() <-chan struct{}
	// Interval is the longest time to the next request, at most WatchInterval.
	Interval() time.Duration
	// HandleHeartbeat takes a beat of the control instance at the address.
	HandleHeartbeat(address string, b *wire.WatchBeat)
}

// Watch opens a connection to the control instance at the address and passes its beats to w,
// until ctx ends or the connection fails or goes silent.
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
	if err := stream.Send(w.Request()); err != nil {
		return eris.Wrapf(err, "instance: watch %s", address)
	}
	silence := time.AfterFunc(watchSilence, func() { cancel(ErrSilent) })
	defer silence.Stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return sendWatchRequests(ctx, stream, w) })
	g.Go(func() error {
		for {
			b, err := stream.Recv()
			if err != nil {
				return err
			}
			silence.Reset(watchSilence)
			w.HandleHeartbeat(address, b)
		}
	})
	return eris.Wrapf(waitStream(ctx, g), "instance: watch of %s", address)
}

func sendWatchRequests(ctx context.Context, stream wire.DRPCInstance_WatchClient, w Watcher) error {
	for {
		if !waitBeat(ctx, w.Wake(), w.Interval()) {
			return ctx.Err()
		}
		if err := stream.Send(w.Request()); err != nil {
			return err
		}
	}
}

// FetchRouting asks the control instance at the address for a document newer than have.
func (d Dialer) FetchRouting(ctx context.Context, address string, have uint64) (*wire.FetchRoutingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	l := &link{dialer: d, address: address}
	defer l.close()
	var resp *wire.FetchRoutingResponse
	err := l.call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		resp, err = c.FetchRouting(ctx, &wire.FetchRoutingRequest{HaveVersion: have})
		return err
	})
	return resp, err
}

// fetchTimeout bounds one fetch of the routing document; a large one takes 0.1 s on the
// slowest link of a deployment.
const fetchTimeout = time.Second

// AnnouncementToWire returns the form between instances.
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

// AnnouncementFromWire reads the form between instances.
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
