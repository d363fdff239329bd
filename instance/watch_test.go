package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
	"storj.io/drpc"
)

// countingStream counts the heartbeats sent on it.
type countingStream struct {
	wire.DRPCInstance_WatchStream
	sent int
}

func (s *countingStream) MsgSend(drpc.Message, drpc.Encoding) error {
	s.sent++
	return nil
}

// busyFeed always has a change to send.
type busyFeed struct{ changed chan struct{} }

func (f *busyFeed) HandleRequest(*wire.WatchRequest) {}
func (f *busyFeed) Next(b []byte) ([]byte, error)    { return b, nil }
func (f *busyFeed) Sent()                            {}
func (f *busyFeed) Wake() <-chan struct{}            { return f.changed }
func (f *busyFeed) Interval() time.Duration          { return WatchInterval }
func (f *busyFeed) Close()                           {}

func TestBurstOfChangesIsSentInFewHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stream := &countingStream{}
		feed := &busyFeed{changed: make(chan struct{})}
		close(feed.changed)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second-time.Millisecond)
		defer cancel()
		is.True(sendWatchHeartbeats(ctx, stream, feed, newSilence(time.Now(), watchTimeout)) != nil)
		is.Equal(stream.sent, int(time.Second/minHeartbeatInterval))
	})
}
