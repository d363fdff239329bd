package metrics

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

var update = flag.Bool("update", false, "write docs/METRICS.md")

func TestMetricsPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	path := filepath.Join("..", "docs", "METRICS.md")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(Markdown()), 0o644))
	}
	page, err := os.ReadFile(path)
	is.NoErr(err)
	if string(page) != Markdown() {
		t.Fatal("docs/METRICS.md is out of date; run go test ./metrics -update")
	}
}

func TestEveryRegisteredMetricIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	s := New(r, func() State { return State{InFlight: 3} })
	s.Requests.WithLabelValues("draft", "answered", "").Inc()
	s.Tokens.WithLabelValues("draft").Inc()
	s.FirstTokenSeconds.WithLabelValues("draft").Observe(1)
	s.TokenGapSeconds.WithLabelValues("draft").Observe(1)
	s.CallSeconds.WithLabelValues("stock").Observe(1)
	families, err := r.Gather()
	is.NoErr(err)
	described := make(map[string]bool)
	for _, d := range descriptions {
		described[d.name] = true
	}
	is.Equal(len(families), len(descriptions))
	for _, f := range families {
		is.True(described[f.GetName()])
	}
}

func TestEveryMetricOfAGatewayIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	g := NewGateway(r)
	g.Requests.WithLabelValues("200").Inc()
	g.RequestSeconds.WithLabelValues().Observe(1)
	g.FirstEventSeconds.WithLabelValues().Observe(1)
	g.Dials.WithLabelValues().Inc()
	g.Reroutes.WithLabelValues().Inc()
	g.Resumes.WithLabelValues().Inc()
	g.LostRuns.WithLabelValues().Inc()
	g.Quarantined.WithLabelValues().Inc()
	g.HeldBack.WithLabelValues("leaving").Inc()
	g.RejectedSends.WithLabelValues("memory").Inc()
	g.ClaimsHeldBack.WithLabelValues().Inc()
	g.UnconfirmedDenials.WithLabelValues().Inc()
	g.Relayed.WithLabelValues("taken").Inc()
	g.Admission.Count("advice", 0, AdmissionStarted)
	g.Admission.SetRoom("advice", 3, 1)
	g.Admission.SetFree("advice", 2, "memory")
	g.Admission.SetHeld("draft", 3, 1)
	g.Admission.SetWaitError("draft", 0)
	families, err := r.Gather()
	is.NoErr(err)
	described := make(map[string]bool)
	for _, d := range gatewayDescriptions {
		described[d.name] = true
	}
	is.Equal(len(families), len(gatewayDescriptions))
	for _, f := range families {
		is.True(described[f.GetName()])
	}
}

func TestEveryMetricOfAControllerIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	RegisterController(r, func() FeedWork {
		return FeedWork{Heartbeats: 1, Bytes: 2, VisitedServers: 3, EncodedServers: 4, EncodedUsage: 5}
	})
	families, err := r.Gather()
	is.NoErr(err)
	is.Equal(len(families), len(controllerDescriptions))
	sum := 0.0
	for _, f := range families {
		sum += f.GetMetric()[0].GetCounter().GetValue()
	}
	is.Equal(sum, 15.0) // each metric shows a value of its own
}

// Guards against a value of the delivery of routing documents that isn't shown.
func TestEveryMetricOfADeliveryIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	RegisterDelivery(r, func() Delivery {
		return Delivery{BehindSeconds: 4, Failures: map[string]uint64{"refused": 8}, WholeBytes: 16, PatchBytes: 32}
	})
	families, err := r.Gather()
	is.NoErr(err)
	is.Equal(len(families), len(deliveryDescriptions))
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	is.Equal(sum, 60.0) // each metric shows a value of its own
}

func TestEveryMetricOfAPlanIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	RegisterPlan(r, func() PlanWork {
		return PlanWork{Moves: 1, Returns: 2, Rooms: []CentreRoom{{Service: "draft", DataCentre: "a", Limit: "slots", Room: 4, Demand: 8, Needed: 16}}}
	})
	families, err := r.Gather()
	is.NoErr(err)
	is.Equal(len(families), len(planDescriptions))
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	is.Equal(sum, 31.0) // each metric shows a value of its own
}

// Guards against a count of elections that is shown under another name or not at all.
func TestEveryMetricOfElectionsIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	delays := NewReplicaDelays(r)
	for _, o := range []prometheus.Observer{delays.LoopDelay, delays.Sync, delays.InputWait} {
		o.Observe(1)
	}
	RegisterElections(r, func() Elections {
		return Elections{Term: 2, HasLeader: true, Campaigns: 4, Elections: 8, StepDowns: map[string]uint64{"pause": 16, "no_answers": 32}}
	})
	families, err := r.Gather()
	is.NoErr(err)
	is.Equal(len(families), len(electionDescriptions))
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	is.Equal(sum, 63.0) // each metric shows a value of its own
}

func TestEveryMetricOfADocumentIsDescribed(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	RegisterDocument(r, func() Document {
		return Document{Version: 2, Newest: 4, IsConfirmed: true, AgeSeconds: 8, By: "10.0.0.1:7", IsExpected: true}
	})
	families, err := r.Gather()
	is.NoErr(err)
	is.Equal(len(families), len(documentDescriptions))
	sum := 0.0
	for _, f := range families {
		sum += f.GetMetric()[0].GetGauge().GetValue()
	}
	is.Equal(sum, 15.0) // each metric shows a value of its own
}
