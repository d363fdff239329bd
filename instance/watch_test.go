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

// sentRequests records when requests are sent, and calls onSend for each.
type sentRequests struct {
	drpc.Stream
	times  []time.Time
	onSend func()
}

func (s *sentRequests) Send(*wire.WatchRequest) error {
	s.times = append(s.times, time.Now())
	s.onSend()
	return nil
}
func (s *sentRequests) Recv() (*wire.WatchBeat, error) { return nil, nil }

// urgentWatcher has something urgent to report whenever wake is closed.
type urgentWatcher struct{ wake chan struct{} }

func (w *urgentWatcher) Request() *wire.WatchRequest             { return &wire.WatchRequest{} }
func (w *urgentWatcher) Wake() <-chan struct{}                   { return w.wake }
func (w *urgentWatcher) Interval() time.Duration                 { return MaxWatchInterval }
func (w *urgentWatcher) HandleHeartbeat(string, *wire.WatchBeat) {}

// Guards against urgent reports that wait for a whole interval because they became so while another one was written.
func TestWhatBecomesUrgentWhileAReportIsWrittenIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &urgentWatcher{wake: make(chan struct{})}
		s := &sentRequests{}
		s.onSend = func() {
			if len(s.times) == 1 {
				close(w.wake)
				w.wake = make(chan struct{})
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), MaxWatchInterval*3/2)
		defer cancel()
		is.True(sendWatchRequests(ctx, s, w, w.Wake()) != nil)
		is.Equal(len(s.times), 2)
		is.Equal(s.times[0], s.times[1])
	})
}

// Guards against a watcher that is gone and still counted for longer than is documented.
func TestSilentWatcherIsClosedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		feed := &busyFeed{changed: make(chan struct{})}
		err := sendWatchHeartbeats(t.Context(), &countingStream{}, feed, newSilence(begun, watchTimeout))
		is.Equal(err, errSubscriberSilent)
		is.Equal(time.Since(begun), 2*MaxWatchInterval)
	})
}
