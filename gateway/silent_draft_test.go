package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// noOrders is an Orders that nothing calls.
type noOrders struct{}

func (noOrders) StallingServers(context.Context, string) (map[string]string, error) { return nil, nil }

func (noOrders) Reroute(context.Context, string, string, layers.Path, uint64) (string, error) {
	return "", nil
}

// Guards against traffic that is counted each time a silent draft looks for another path, although the
// retry budget lets it send nothing: the link between the data centres then counts as full.
func TestSilentDraftWithoutRetriesCountsNoTraffic(t *testing.T) {
	is := is.New(t)
	engine := &routing.Engine{
		Slots: 8, Layers: 4, LayerMB: 10, TokenBytes: 10, StepMS: 1, PrefillTokensPerSecond: 1e5, ActivationBytes: 1000, LinkMbps: 1000,
		MeanPromptTokens: 1000, MeanAnswerTokens: 10, Accelerators: map[string]routing.Accelerator{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}
	service := &routing.Service{Name: "advice", Engine: engine}
	m, err := mesh.New(mesh.Options{Name: "g", DataCentre: "a", Log: logr.Discard(), Decode: func([]byte) (*routing.Document, error) {
		return &routing.Document{Version: 1, Services: []routing.Service{*service}}, nil
	}})
	is.NoErr(err)
	encoder, err := zstd.NewWriter(nil)
	is.NoErr(err)
	is.NoErr(m.Publish(routing.Publication{Version: 1, Bytes: encoder.EncodeAll([]byte("x"), nil)}))
	for _, s := range []struct {
		id, centre string
		from, to   int
	}{{"a1", "a", 0, 2}, {"b1", "b", 2, 4}} {
		m.Announce(time.Now(), discovery.Announcement{
			ID: s.id, Incarnation: 1, Sequence: 1, Service: "advice", Address: s.id, DataCentre: s.centre, State: discovery.StateReady,
			Slots: 8, Accelerator: "card", HasLayers: true, LayersFrom: s.from, LayersTo: s.to,
		})
	}
	g := New(Options{Name: "g", DataCentre: "a", Mesh: m, Orders: noOrders{}, Registry: prometheus.NewRegistry(), Log: logr.Discard()})
	r := httptest.NewRequest("POST", "/", nil)
	j := &job{request: r, service: service, arrived: time.Now(), deadline: time.Now().Add(time.Minute), route: &routing.Route{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2}}
	d := g.newDraft(t.Context(), httptest.NewRecorder(), j)
	silent := g.newAttempt(t.Context(), d, nil)
	d.race.open(silent)
	_, hasPath := g.findNewPath(d)
	is.True(hasPath)
	before := g.linkTraffic.wait(time.Now(), "a", "b")
	is.True(before > 0) // the path crosses the link
	for range 10 {
		g.startBeside(silent, "silent")
	}
	is.True(g.linkTraffic.wait(time.Now(), "a", "b") <= before)
}
