package mesh

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
)

func newTestMesh(t *testing.T, control string) *Mesh {
	t.Helper()
	m, err := New(Options{
		Name: "me", DataCentre: "a", ControlAddress: control, Seeds: []string{"10.0.0.1:7"}, Log: logr.Discard(),
		Decode: func(text []byte) (*routing.Document, error) {
			if string(text) == "bad" {
				return nil, errors.New("bad")
			}
			return &routing.Document{Version: uint64(len(text))}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func compressed(t *testing.T, text string) []byte {
	t.Helper()
	e, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	return e.EncodeAll([]byte(text), nil)
}

func TestOlderRoutingDocumentsAreIgnored(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	is.NoErr(m.Publish(routing.Publication{Version: 5, Bytes: compressed(t, "five!")}))
	is.NoErr(m.Publish(routing.Publication{Version: 4, Bytes: compressed(t, "four")}))
	version, _ := m.Routing()
	is.Equal(version, uint64(5))
	is.Equal(m.Snapshot().Table.Version, uint64(5))
	is.True(m.Publish(routing.Publication{Version: 6, Bytes: compressed(t, "bad")}) != nil)
	is.True(m.Publish(routing.Publication{Version: 7, Bytes: []byte("not compressed")}) != nil)
	version, _ = m.Routing()
	is.Equal(version, uint64(5))
}

func TestControlInstancesNoLongerReportedAreRemoved(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	is.Equal(m.Controls(), []string{"10.0.0.1:7"})
	m.mergeHeartbeat("10.0.0.1:7", &wire.WatchBeat{Controls: []string{"10.0.0.1:7", "10.0.0.2:7"}})
	is.Equal(m.Controls(), []string{"10.0.0.1:7", "10.0.0.2:7"})
	m.mergeHeartbeat("10.0.0.1:7", &wire.WatchBeat{Controls: []string{"10.0.0.1:7", "10.0.0.3:7"}})
	is.Equal(m.Controls(), []string{"10.0.0.1:7", "10.0.0.3:7"})
	m.SetSeeds([]string{"10.0.0.9:7"})
	is.Equal(m.Controls(), []string{"10.0.0.1:7", "10.0.0.3:7", "10.0.0.9:7"})
	m.forgetReports("10.0.0.1:7")
	is.Equal(m.Controls(), []string{"10.0.0.9:7"})
}

func TestControlInstanceReportsOnlyDirectlyKnownControlInstances(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	m.SetVoters([]string{"10.0.0.5:7", "10.0.0.6:7"})
	m.mergeHeartbeat("10.0.0.6:7", &wire.WatchBeat{Controls: []string{"10.0.0.8:7"}})
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g"})
	is.Equal(next(t, f).Controls, []string{"10.0.0.5:7", "10.0.0.6:7"})
	standby := m.NewWatchFeed(&wire.WatchRequest{Name: "s", ControlAddress: "10.0.0.7:7"})
	is.Equal(next(t, f).Controls, []string{"10.0.0.5:7", "10.0.0.6:7", "10.0.0.7:7"})
	standby.Close()
	is.Equal(next(t, f).Controls, []string{"10.0.0.5:7", "10.0.0.6:7"})
}

func TestServerReportedByTwoGatewaysIsUnresponsive(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	feeds := []string{"g1", "g2", "g3"}
	for _, name := range feeds {
		m.NewWatchFeed(&wire.WatchRequest{Name: name})
	}
	first := m.NewWatchFeed(&wire.WatchRequest{Name: "g1", Faulty: []string{"s1"}})
	is.Equal(len(m.Snapshot().Unresponsive), 0)
	wake := first.Wake()
	second := m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Faulty: []string{"s1"}})
	is.True(m.Snapshot().Unresponsive["s1"])
	<-wake // the other watchers are notified immediately
	is.Equal(next(t, first).Suspects, []string{"s1"})
	second.HandleRequest(&wire.WatchRequest{Name: "g2"})
	is.Equal(len(m.Snapshot().Unresponsive), 0)
}

func TestWatcherReceivesOnlyChangedServers(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	m.Announce(now, discovery.Announcement{ID: "a", Sequence: 1, Address: "1", State: discovery.StateReady})
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g"})
	is.Equal(len(next(t, f).Servers), 1)
	is.Equal(len(next(t, f).Servers), 0)
	m.Leave(now, "a")
	b := next(t, f)
	is.Equal(len(b.Servers), 1)
	is.Equal(discovery.State(b.Servers[0].State), discovery.StateLeft)
}

func TestUsageSentToWatcherExcludesItsOwn(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g1", Running: []*wire.DraftUse{{Server: "s", Drafts: 3, TokenLayers: 30, Heads: 1}}})
	m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
	m.NewWatchFeed(&wire.WatchRequest{Name: "g3", Running: []*wire.DraftUse{{Server: "s", Drafts: 5, TokenLayers: 50, Heads: 2}}})
	b := next(t, f)
	is.Equal(usageListFromWire(b.Others), []Usage{{Server: "s", Drafts: 9, TokenLayers: 90, Heads: 2}})
	is.Equal(b.Gateways, uint32(3))
}

// newExpireFunc returns a function that expires servers after 3 s of silence, at a time relative
// to now.
func newExpireFunc(m *Mesh, now time.Time) func(after time.Duration) []string {
	return func(after time.Duration) []string { return m.Expire(now.Add(after), now.Add(after-3*time.Second)) }
}

func TestServerIsSilentAfterItsControlInstanceDisconnects(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	expire := newExpireFunc(m, now)
	heartbeat := &wire.WatchBeat{Servers: []*wire.AnnouncedServer{{Id: "a", Sequence: 4, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.6:7"}}}
	m.mergeHeartbeat("10.0.0.6:7", heartbeat)
	m.mergeHeartbeat("10.0.0.7:7", heartbeat)
	is.Equal(len(expire(10*time.Second)), 0) // the server's control instance is still connected
	m.forgetReports("10.0.0.6:7")
	is.Equal(len(expire(11*time.Second)), 0)
	is.Equal(len(expire(13*time.Second)), 0) // the server may still move to another control instance
	is.Equal(expire(15*time.Second), []string{"a"})
}

func TestServerThatMovesToAnotherControlInstanceIsNotSilent(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	expire := newExpireFunc(m, now)
	server := &wire.AnnouncedServer{Id: "a", Sequence: 4, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.6:7"}
	m.mergeHeartbeat("10.0.0.6:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{server}})
	m.mergeHeartbeat("10.0.0.7:7", &wire.WatchBeat{})
	m.forgetReports("10.0.0.6:7")
	is.Equal(len(expire(11*time.Second)), 0)
	moved := &wire.AnnouncedServer{Id: "a", Sequence: 5, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.7:7"}
	m.mergeHeartbeat("10.0.0.7:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{moved}})
	is.Equal(len(expire(20*time.Second)), 0)
}

func TestRestartedControlInstanceExpiresItsFormerServers(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	expire := newExpireFunc(m, now)
	m.mergeHeartbeat("10.0.0.6:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{
		{Id: "a", Sequence: 4, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.5:7"},
		{Id: "b", Sequence: 4, Address: "2", State: uint32(discovery.StateReady), HeardBy: "10.0.0.5:7"},
	}})
	is.Equal(len(expire(0)), 0)
	m.Announce(now.Add(time.Second), discovery.Announcement{ID: "b", Sequence: 5, Address: "2", State: discovery.StateReady})
	is.Equal(expire(3500*time.Millisecond), []string{"a"})
}

// BenchmarkChangeSentTo66Watchers measures one change at a control instance that 66 gateways
// watch: a heartbeat to each of them, with the usage of 93 servers.
func BenchmarkChangeSentTo66Watchers(b *testing.B) {
	m, err := New(Options{ControlAddress: "10.0.0.5:7", Log: logr.Discard()})
	if err != nil {
		b.Fatal(err)
	}
	var running []*wire.DraftUse
	for i := range 93 {
		running = append(running, &wire.DraftUse{Server: fmt.Sprintf("i-%010d", i), Drafts: 3, TokenLayers: 9000})
	}
	var feeds []instance.WatchFeed
	for i := range 66 {
		feeds = append(feeds, m.NewWatchFeed(&wire.WatchRequest{Name: fmt.Sprint("g", i), Running: running}))
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, f := range feeds {
			if _, err := f.Next(nil); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func TestUsageIsNotSentInEveryHeartbeat(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		m := newTestMesh(t, "10.0.0.5:7")
		f := m.NewWatchFeed(&wire.WatchRequest{Name: "g1"})
		m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
		is.Equal(len(next(t, f).Others), 1)
		is.Equal(len(next(t, f).Others), 0) // within usageInterval, only other changes are sent
		time.Sleep(usageInterval)
		is.Equal(len(next(t, f).Others), 1)
	})
}

func TestHeartbeatWithoutUsageKeepsKnownUsage(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	m.mergeHeartbeat("10.0.0.5:7", &wire.WatchBeat{Others: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}, Gateways: 3})
	m.mergeHeartbeat("10.0.0.5:7", &wire.WatchBeat{Gateways: 3, LeavesOutUsage: true})
	is.Equal(m.PeerUsage()["s"].Drafts, 4)
	m.mergeHeartbeat("10.0.0.5:7", &wire.WatchBeat{Gateways: 3})
	is.Equal(len(m.PeerUsage()), 0)
}

func TestUsageOfDisconnectedWatchersIsSubtracted(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g1"})
	second := m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
	second.HandleRequest(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 5, TokenLayers: 50, Heads: 1}}})
	is.Equal(usageListFromWire(next(t, f).Others), []Usage{{Server: "s", Drafts: 5, TokenLayers: 50, Heads: 1}})
	second.Close()
	is.Equal(len(m.usageTotals), 0)
}

func TestUsageComesFromLocalDataCentreWhileItHasAControlInstance(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "") // in data centre "a"
	heartbeat := func(centre string, drafts uint32) *wire.WatchBeat {
		return &wire.WatchBeat{DataCentre: centre, Others: []*wire.DraftUse{{Server: "s", Drafts: drafts, TokenLayers: uint64(drafts)}}}
	}
	near, far := m.newWatcher("10.0.0.1:7"), m.newWatcher("10.0.0.2:7")
	m.mergeHeartbeat(far.address, heartbeat("b", 9))
	is.Equal(m.PeerUsage()["s"].Drafts, 9)
	is.True(!far.Request().NeedsNoUsage)
	m.mergeHeartbeat(near.address, heartbeat("a", 4))
	is.True(!near.Request().NeedsNoUsage)
	is.True(far.Request().NeedsNoUsage)
	is.Equal(near.Interval(), usageInterval)
	is.Equal(far.Interval(), remoteUsageInterval)
	m.mergeHeartbeat(far.address, heartbeat("b", 9)) // sent before it read the request
	is.Equal(m.PeerUsage()["s"].Drafts, 4)
	m.forgetReports(near.address)
	is.True(!far.Request().NeedsNoUsage)
	m.mergeHeartbeat(far.address, heartbeat("b", 7))
	is.Equal(m.PeerUsage()["s"].Drafts, 7)
}

func TestWatcherThatNeedsNoUsageReceivesNone(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g1", NeedsNoUsage: true})
	other := m.NewWatchFeed(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
	b := next(t, f)
	is.True(b.LeavesOutUsage)
	isDue := func() bool { return f.(*feed).isDue(time.Now().Add(usageInterval)) }
	is.True(!isDue())
	f.HandleRequest(&wire.WatchRequest{Name: "g1"})
	is.True(isDue())
	is.Equal(len(next(t, f).Others), 1)
	is.True(!isDue()) // unchanged
	other.HandleRequest(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 5, TokenLayers: 50}}})
	is.True(isDue())
	is.Equal(f.Interval(), instance.WatchInterval)
}

// Guards against the report of one gateway that counts for all because the others watch other control
// instances, or have yet to watch this one after its restart.
func TestReportOfOneGatewayDoesNotCountForGatewaysElsewhere(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	m.mergeHeartbeat("10.0.0.6:7", &wire.WatchBeat{Controls: []string{"10.0.0.5:7"}, Gateways: 7})
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g1", Faulty: []string{"s1"}})
	is.Equal(m.Gateways(), 7)
	is.Equal(len(next(t, f).Suspects), 0)
	is.Equal(len(m.Snapshot().Unresponsive), 0)
}
