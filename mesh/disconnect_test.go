package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

// isClosed reports whether the channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a gateway that avoids a server long after the only control instance that called it
// unresponsive is gone: what such an instance had reported was dropped without a word.
func TestForgottenReportsAreAChange(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	m.mergeHeartbeat("10.0.0.1:7", &wire.WatchBeat{Suspects: []string{"s1"}})
	changed := m.Changed()
	m.forgetReports("10.0.0.1:7")
	is.Equal(len(m.Snapshot().Unresponsive), 0)
	is.True(isClosed(changed))
	changed = m.Changed()
	m.forgetReports("10.0.0.1:7") // it could not be reached again
	is.True(!isClosed(changed))
}

// Guards against watchers that are told late of what a watcher's end changes.
func TestEndOfAWatchIsAChange(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	first := m.NewWatchFeed(&wire.WatchRequest{Name: "g1", Faulty: []string{"s1"}})
	second := m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Faulty: []string{"s1"}})
	m.NewWatchFeed(&wire.WatchRequest{Name: "g3"})
	is.True(m.Snapshot().Unresponsive["s1"])
	changed := m.Changed()
	first.Close()
	is.Equal(len(m.Snapshot().Unresponsive), 0)
	is.True(isClosed(changed))
	changed = m.Changed()
	second.Close() // it changes nothing for others
	is.True(!isClosed(changed))
	standby := m.NewWatchFeed(&wire.WatchRequest{Name: "s", ControlAddress: "10.0.0.7:7"})
	changed = m.Changed()
	standby.Close()
	is.True(isClosed(changed))
}

// Guards against losing the report of a watcher that has connected again before the end of its earlier
// connection was noticed.
func TestReportOfAReconnectedWatcherIsKept(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	request := &wire.WatchRequest{Name: "g1", Faulty: []string{"s1"}, Running: []*wire.DraftUse{{Server: "s2", Drafts: 3, TokenLayers: 9}}}
	earlier := m.NewWatchFeed(request)
	m.NewWatchFeed(request)
	earlier.Close()
	is.True(m.Snapshot().Unresponsive["s1"])
	other := m.NewWatchFeed(&wire.WatchRequest{Name: "g2"})
	is.Equal(len(next(t, other).Others), 1)
}

// Pattern: many gateways connect again before their earlier connections have ended. Guards against heartbeats on those
// connections each tenth of a second: they carry no usage, so they stayed due for as long as the usage changed.
func TestEarlierConnectionOfAWatcherIsNotDueForUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newTestMesh(t, "10.0.0.5:7")
		report := func(number uint64, drafts uint32) *wire.WatchRequest {
			return &wire.WatchRequest{Name: "g1", Report: number, Running: []*wire.DraftUse{{Server: "s", Drafts: drafts, TokenLayers: 9}}}
		}
		earlier := m.NewWatchFeed(report(1, 1)).(*feed)
		next(t, earlier)
		later := m.NewWatchFeed(report(1, 2)).(*feed)
		next(t, earlier)
		next(t, later)
		m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Report: 1, Running: report(1, 7).Running})
		time.Sleep(usageInterval)
		next(t, earlier) // the number of gateways has changed
		isDue := func(f *feed) bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return f.isDue(time.Now())
		}
		time.Sleep(usageInterval)
		is.True(!isDue(earlier))
		is.True(isDue(later))
		is.Equal(len(next(t, later).Others), 1)
		is.True(!isDue(later))
		earlier.Close()
		later.Close()
		time.Sleep(usageInterval)
	})
}

// Guards against a control instance that has lost another one and calls its servers silent: an instance
// that is connected to the one that receives their announcements goes by that one.
func TestOnlyTheControlInstanceOfAServerCallsItSilent(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	report := func(by string, sequence uint64, state discovery.State) {
		m.mergeHeartbeat(by, &wire.WatchBeat{Servers: []*wire.AnnouncedServer{
			{Id: "a", Sequence: sequence, Address: "1", State: uint32(state), HeardBy: "10.0.0.6:7"},
		}})
	}
	state := func() discovery.State { return m.Snapshot().Servers[0].State }
	report("10.0.0.6:7", 5, discovery.StateReady)
	report("10.0.0.7:7", 5, discovery.StateSilent)
	is.Equal(state(), discovery.StateReady)

	// It counts once this instance has lost that control instance, too.
	m.forgetReports("10.0.0.6:7")
	is.Equal(state(), discovery.StateSilent)

	// The server announces itself to another control instance.
	m.mergeHeartbeat("10.0.0.7:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{
		{Id: "a", Sequence: 6, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.7:7"},
	}})
	is.Equal(state(), discovery.StateReady)

	// A control instance calls its own servers silent.
	m.mergeHeartbeat("10.0.0.7:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{
		{Id: "a", Sequence: 6, Address: "1", State: uint32(discovery.StateSilent), HeardBy: "10.0.0.7:7"},
	}})
	is.Equal(state(), discovery.StateSilent)
}
