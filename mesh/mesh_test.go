package mesh

import (
	"errors"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
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
	m.Reseed([]string{"10.0.0.9:7"})
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
	is.Equal(len(m.Snapshot().Suspects), 0)
	wake := first.Wake()
	second := m.Watched(&wire.WatchRequest{Name: "g2", Faulty: []string{"s1"}})
	is.True(m.Snapshot().Suspects["s1"])
	<-wake // the others are told at once
	is.Equal(first.Next().Suspects, []string{"s1"})
	second.Received(&wire.WatchRequest{Name: "g2"})
	is.Equal(len(m.Snapshot().Suspects), 0)
}

func TestAWatcherGetsOnlyWhatHasChanged(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Unix(1000, 0)
	m.Heard(now, discovery.Announcement{ID: "a", Sequence: 1, Address: "1", State: discovery.StateReady})
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
	is.Equal(usesFromWire(b.Others), []Use{{Server: "s", Drafts: 9, TokenLayers: 90, Heads: 2}})
	is.Equal(b.Gateways, uint32(3))
}
