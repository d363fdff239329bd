package dispatch

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestARequestThatMayHaveWaitedThroughAStopIsNotRun plays a process that was stopped, before
// and after its ticker has noticed.
func TestARequestThatMayHaveWaitedThroughAStopIsNotRun(t *testing.T) {
	is := is.New(t)
	c, s := newControl(), &servers{}
	server := startServer(t, "s", false, settings.CallFaults{})
	s.set(server)
	d := New("kandy-1", "kandy", s, c, noCredits{}, logr.Discard())
	d.once.stall.start = time.Now().Add(-time.Hour)
	age := time.Hour
	d.once.stall.ticked.Store(int64(age - 2*stallLimit))
	_, err := d.Call(t.Context(), booking("a", "k"))
	is.Equal(err.Outcome, outcome.Unknown)
	d.once.stall.ticked.Store(int64(age + time.Hour))
	d.once.stall.woke.Store(int64(age))
	_, err = d.Call(t.Context(), booking("b", "k"))
	is.Equal(err.Outcome, outcome.Unknown)
	is.Equal(c.count(), 0)
	d.once.stall.woke.Store(int64(age - 2*stallGuard))
	_, err = d.Call(t.Context(), booking("c", "k"))
	is.True(err == nil)
	is.Equal(ran(t, server, "k"), 1)
}
