package gateway

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a server that leaves and is chosen for drafts again and again, since it answers after it
// was unresponsive and there is no other.
func TestServerThatLeavesAndAnswersAgainGetsNoDraft(t *testing.T) {
	is := is.New(t)
	m, err := mesh.New(mesh.Options{Name: "g", DataCentre: "a", Log: logr.Discard(),
		Decode: func([]byte) (*routing.Document, error) { return &routing.Document{}, nil }})
	is.NoErr(err)
	g := New(Options{Name: "g", DataCentre: "a", Mesh: m, Orders: noOrders{}, Registry: prometheus.NewRegistry(), Log: logr.Discard()})
	engine := &routing.Engine{
		Layers: 4, Slots: 8, TokenBytes: 1, LayerMB: 1, MeanPromptTokens: 1, MeanAnswerTokens: 1,
		Accelerators: map[string]routing.Accelerator{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}
	v := newView(m.Snapshot())
	v.searches["advice"] = &search{engine: engine, paths: layers.NewSearch(engine, []layers.Holder{
		{ID: "a", Address: "a:1", DataCentre: "a", Accelerator: "card", From: 0, To: 4},
	})}
	v.byAddress["a:1"] = "a"
	g.view.Store(v)
	d := &draft{job: &job{service: &routing.Service{Name: "advice", Engine: engine}}, gateway: g, size: layers.Draft{PromptTokens: 1, AnswerTokens: 1}}
	_, ok := g.findPath(d, layers.Part{})
	is.True(ok)
	now := time.Now()
	g.faults.markUnresponsive(now, "a", observedElsewhere)
	g.faults.dueChecks(now)
	g.faults.recordAnswer("a")
	_, ok = g.findPath(d, layers.Part{})
	is.True(ok) // there is no other
	g.RecordLeaving("a:1")
	_, ok = g.findPath(d, layers.Part{})
	is.True(!ok)
}
