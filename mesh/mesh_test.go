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

func TestRoutingDocumentNeverGoesBack(t *testing.T) {
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

func TestControlInstancesThatAreNoLongerNamedAreForgotten(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	is.Equal(m.Controls(), []string{"10.0.0.1:7"})
	m.received("10.0.0.1:7", &wire.WatchBeat{Controls: []string{"10.0.0.1:7", "10.0.0.2:7"}})
	is.Equal(m.Controls(), []string{"10.0.0.1:7", "10.0.0.2:7"})
	m.received("10.0.0.1:7", &wire.WatchBeat{Controls: []string{"10.0.0.1:7", "10.0.0.3:7"}})
	is.Equal(m.Controls(), []string{"10.0.0.1:7", "10.0.0.3:7"})
	m.SetSeeds([]string{"10.0.0.9:7"})
	is.Equal(m.Controls(), []string{"10.0.0.1:7", "10.0.0.3:7", "10.0.0.9:7"})
	m.lost("10.0.0.1:7")
	is.Equal(m.Controls(), []string{"10.0.0.9:7"})
}

func TestControlInstanceDoesNotPassOnNamesFromHearsay(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	m.SetVoters([]string{"10.0.0.5:7", "10.0.0.6:7"})
	m.received("10.0.0.6:7", &wire.WatchBeat{Controls: []string{"10.0.0.8:7"}})
	f := m.Watched(&wire.WatchRequest{Name: "g"})
	is.Equal(f.Next().Controls, []string{"10.0.0.5:7", "10.0.0.6:7"})
	standby := m.Watched(&wire.WatchRequest{Name: "s", ControlAddress: "10.0.0.7:7"})
	is.Equal(f.Next().Controls, []string{"10.0.0.5:7", "10.0.0.6:7", "10.0.0.7:7"})
	standby.Close()
	is.Equal(f.Next().Controls, []string{"10.0.0.5:7", "10.0.0.6:7"})
}

func TestTwoGatewaysMakeASuspect(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	feeds := []string{"g1", "g2", "g3"}
	for _, name := range feeds {
		m.Watched(&wire.WatchRequest{Name: name})
	}
	first := m.Watched(&wire.WatchRequest{Name: "g1", Faulty: []string{"s1"}})
	is.Equal(len(m.Snapshot().Unresponsive), 0)
	wake := first.Wake()
	second := m.Watched(&wire.WatchRequest{Name: "g2", Faulty: []string{"s1"}})
	is.True(m.Snapshot().Unresponsive["s1"])
	<-wake // the others are told at once
	is.Equal(first.Next().Suspects, []string{"s1"})
	second.Received(&wire.WatchRequest{Name: "g2"})
	is.Equal(len(m.Snapshot().Unresponsive), 0)
}

func TestAWatcherGetsOnlyWhatHasChanged(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	m.Announce(now, discovery.Announcement{ID: "a", Sequence: 1, Address: "1", State: discovery.StateReady})
	f := m.Watched(&wire.WatchRequest{Name: "g"})
	is.Equal(len(f.Next().Servers), 1)
	is.Equal(len(f.Next().Servers), 0)
	m.Leave(now, "a")
	b := f.Next()
	is.Equal(len(b.Servers), 1)
	is.Equal(discovery.State(b.Servers[0].State), discovery.StateGone)
}

func TestUsageOfTheOthersLeavesOutOnesOwn(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	f := m.Watched(&wire.WatchRequest{Name: "g1", Running: []*wire.DraftUse{{Server: "s", Drafts: 3, TokenLayers: 30, Heads: 1}}})
	m.Watched(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
	m.Watched(&wire.WatchRequest{Name: "g3", Running: []*wire.DraftUse{{Server: "s", Drafts: 5, TokenLayers: 50, Heads: 2}}})
	b := f.Next()
	is.Equal(usesFromWire(b.Others), []Usage{{Server: "s", Drafts: 9, TokenLayers: 90, Heads: 2}})
	is.Equal(b.Gateways, uint32(3))
}

// expirer returns a function that expires servers some time after now, with a silence of 3 s.
func expirer(m *Mesh, now time.Time) func(after time.Duration) []string {
	return func(after time.Duration) []string { return m.Expire(now.Add(after), now.Add(after-3*time.Second)) }
}

func TestServerIsSilentOnceTheOnlyControlInstanceThatHeardItIsLost(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	expire := expirer(m, now)
	heard := &wire.WatchBeat{Servers: []*wire.AnnouncedServer{{Id: "a", Sequence: 4, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.6:7"}}}
	m.received("10.0.0.6:7", heard)
	m.received("10.0.0.7:7", heard)
	is.Equal(len(expire(10*time.Second)), 0) // the other one hears it
	m.lost("10.0.0.6:7")
	is.Equal(len(expire(11*time.Second)), 0)
	is.Equal(len(expire(13*time.Second)), 0) // it may turn to another one
	is.Equal(expire(15*time.Second), []string{"a"})
}

func TestServerThatTurnsToAnotherControlInstanceIsNotSilent(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	expire := expirer(m, now)
	server := &wire.AnnouncedServer{Id: "a", Sequence: 4, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.6:7"}
	m.received("10.0.0.6:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{server}})
	m.received("10.0.0.7:7", &wire.WatchBeat{})
	m.lost("10.0.0.6:7")
	is.Equal(len(expire(11*time.Second)), 0)
	moved := &wire.AnnouncedServer{Id: "a", Sequence: 5, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.7:7"}
	m.received("10.0.0.7:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{moved}})
	is.Equal(len(expire(20*time.Second)), 0)
}

func TestRestartedControlInstanceMissesTheServersThatItHeardBefore(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	expire := expirer(m, now)
	m.received("10.0.0.6:7", &wire.WatchBeat{Servers: []*wire.AnnouncedServer{
		{Id: "a", Sequence: 4, Address: "1", State: uint32(discovery.StateReady), HeardBy: "10.0.0.5:7"},
		{Id: "b", Sequence: 4, Address: "2", State: uint32(discovery.StateReady), HeardBy: "10.0.0.5:7"},
	}})
	is.Equal(len(expire(0)), 0)
	m.Announce(now.Add(time.Second), discovery.Announcement{ID: "b", Sequence: 5, Address: "2", State: discovery.StateReady})
	is.Equal(expire(3500*time.Millisecond), []string{"a"})
}

// BenchmarkOneChangeAmong66 is what one change costs a control instance that 66 gateways watch:
// a beat to each of them, with the usage of 93 servers.
func BenchmarkOneChangeAmong66(b *testing.B) {
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
		feeds = append(feeds, m.Watched(&wire.WatchRequest{Name: fmt.Sprint("g", i), Running: running}))
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, f := range feeds {
			f.Next()
		}
	}
}

func TestUsageIsNotRepeatedInEachBeat(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		m := newTestMesh(t, "10.0.0.5:7")
		f := m.Watched(&wire.WatchRequest{Name: "g1"})
		m.Watched(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
		is.Equal(len(f.Next().Others), 1)
		is.Equal(len(f.Next().Others), 0) // a change of something else soon after
		time.Sleep(usageInterval)
		is.Equal(len(f.Next().Others), 1)
	})
}

func TestBeatWithoutUsageLeavesWhatIsKnownOfIt(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	m.received("10.0.0.5:7", &wire.WatchBeat{Others: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}, Gateways: 3})
	m.received("10.0.0.5:7", &wire.WatchBeat{Gateways: 3, LeavesOutUsage: true})
	is.Equal(m.PeerUsage()["s"].Drafts, 4)
	m.received("10.0.0.5:7", &wire.WatchBeat{Gateways: 3})
	is.Equal(len(m.PeerUsage()), 0)
}

func TestUsageOfWatchersThatGoIsTakenOff(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	f := m.Watched(&wire.WatchRequest{Name: "g1"})
	second := m.Watched(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
	second.Received(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 5, TokenLayers: 50, Heads: 1}}})
	is.Equal(usesFromWire(f.Next().Others), []Usage{{Server: "s", Drafts: 5, TokenLayers: 50, Heads: 1}})
	second.Close()
	is.Equal(len(m.totals), 0)
}

func TestUsageIsTakenFromTheOwnDataCentreWhileItHasAControlInstance(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "") // stands in "a"
	beat := func(centre string, drafts uint32) *wire.WatchBeat {
		return &wire.WatchBeat{DataCentre: centre, Others: []*wire.DraftUse{{Server: "s", Drafts: drafts, TokenLayers: uint64(drafts)}}}
	}
	near, far := &watcher{mesh: m, address: "10.0.0.1:7"}, &watcher{mesh: m, address: "10.0.0.2:7"}
	m.received(far.address, beat("b", 9))
	is.Equal(m.PeerUsage()["s"].Drafts, 9)
	is.True(!far.Request().NeedsNoUsage)
	m.received(near.address, beat("a", 4))
	is.True(!near.Request().NeedsNoUsage)
	is.True(far.Request().NeedsNoUsage)
	is.Equal(near.Interval(), usageInterval)
	is.Equal(far.Interval(), farUsageInterval)
	m.received(far.address, beat("b", 9)) // it has not read the request yet
	is.Equal(m.PeerUsage()["s"].Drafts, 4)
	m.lost(near.address)
	is.True(!far.Request().NeedsNoUsage)
	m.received(far.address, beat("b", 7))
	is.Equal(m.PeerUsage()["s"].Drafts, 7)
}

func TestWatcherThatNeedsNoUsageIsToldNone(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	f := m.Watched(&wire.WatchRequest{Name: "g1", NeedsNoUsage: true})
	m.Watched(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
	b := f.Next()
	is.True(b.LeavesOutUsage)
	is.Equal(f.Interval(), instance.WatchInterval)
	f.Received(&wire.WatchRequest{Name: "g1"})
	is.Equal(len(f.Next().Others), 1)
	is.Equal(f.Interval(), usageInterval)
}
