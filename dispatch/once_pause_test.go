package dispatch

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// A request that arrives around a pause of the process is refused, both before and after the
// pause detector has noticed the pause, since it may have waited in a buffer through the pause.
func TestRequestThatMayHaveWaitedThroughPauseIsNotRun(t *testing.T) {
	is := is.New(t)
	c, s := newFakeControl(), &fakeFleet{}
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	d := New("kandy-1", "kandy", s, c, noCredits{}, logr.Discard())
	d.once.pauses.start = time.Now().Add(-time.Hour)
	age := time.Hour
	d.once.pauses.lastTick.Store(int64(age - 2*pauseThreshold))
	_, err := d.Call(t.Context(), bookingCall("a", "k"))
	is.Equal(err.Outcome, outcome.Unknown)
	d.once.pauses.lastTick.Store(int64(age + time.Hour))
	d.once.pauses.resumedAt.Store(int64(age))
	_, err = d.Call(t.Context(), bookingCall("b", "k"))
	is.Equal(err.Outcome, outcome.Unknown)
	is.Equal(c.count(), 0)
	d.once.pauses.resumedAt.Store(int64(age - 2*staleWindow))
	_, err = d.Call(t.Context(), bookingCall("c", "k"))
	is.True(err == nil)
	is.Equal(runCount(t, server, "k"), 1)
}
