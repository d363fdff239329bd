package instance

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

// countingStream counts what is sent on it.
type countingStream struct {
	wire.DRPCInstance_WatchStream
	sent int
}

func (s *countingStream) Send(*wire.WatchBeat) error {
	s.sent++
	return nil
}

// restlessFeed always has something new.
type restlessFeed struct{ changed chan struct{} }

func (f *restlessFeed) HandleRequest(*wire.WatchRequest) {}
func (f *restlessFeed) Next() *wire.WatchBeat       { return &wire.WatchBeat{} }
func (f *restlessFeed) Wake() <-chan struct{}       { return f.changed }
func (f *restlessFeed) Interval() time.Duration     { return WatchInterval }
func (f *restlessFeed) Close()                      {}

func TestBurstOfChangesIsSentInFewBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Server{started: time.Now()}
		stream := &countingStream{}
		feed := &restlessFeed{changed: make(chan struct{})}
		close(feed.changed)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second-time.Millisecond)
		defer cancel()
		var heard atomic.Int64
		is.True(s.sendWatchBeats(ctx, stream, feed, &heard) != nil)
		is.Equal(stream.sent, int(time.Second/beatGap))
	})
}
