package metrics

import "github.com/prometheus/client_golang/prometheus"

// Labels of the metrics of the delivery of routing documents. LabelReason is also why a leader has stepped down.
const (
	LabelReason = "reason"
	LabelForm   = "form"
)

var (
	routingBehindSeconds = description{"balsamlb_routing_behind_seconds", gauge, nil,
		"Time since a newer routing document than the one in force has been known; 0: none is."}
	routingFetchFailuresTotal = description{"balsamlb_routing_fetch_failures_total", counter, []string{LabelReason},
		"Fetches of routing documents that have failed: refused, timed_out, broken, damaged, unreadable."}
	routingReceivedBytesTotal = description{"balsamlb_routing_received_bytes_total", counter, []string{LabelForm},
		"Bytes of routing documents received, whole or in parts (whole), and as patches of the document before (patch)."}
)

// deliveryDescriptions lists the metrics of the delivery of routing documents in the order of docs/METRICS.md.
var deliveryDescriptions = []description{
	routingBehindSeconds, routingFetchFailuresTotal, routingReceivedBytesTotal,
}

// Delivery is the state of the delivery of routing documents to an instance.
type Delivery struct {
	BehindSeconds float64
	// Failures counts failed fetches by reason.
	Failures               map[string]uint64
	WholeBytes, PatchBytes uint64
}

// deliveryCollector reads a Delivery at each scrape.
type deliveryCollector struct {
	state        func() Delivery
	descriptions []*prometheus.Desc
}

// RegisterDelivery registers the metrics of the delivery of routing documents. It calls state at each scrape, possibly
// concurrently. It panics if a metric is already registered.
func RegisterDelivery(r prometheus.Registerer, state func() Delivery) {
	c := &deliveryCollector{state: state}
	for _, d := range deliveryDescriptions {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(d.name, d.help, d.labels, nil))
	}
	r.MustRegister(c)
}

// Describe implements prometheus.Collector.
func (c *deliveryCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descriptions {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *deliveryCollector) Collect(out chan<- prometheus.Metric) {
	s := c.state()
	behind, failures, received := c.descriptions[0], c.descriptions[1], c.descriptions[2]
	out <- prometheus.MustNewConstMetric(behind, prometheus.GaugeValue, s.BehindSeconds)
	for reason, n := range s.Failures {
		out <- prometheus.MustNewConstMetric(failures, prometheus.CounterValue, float64(n), reason)
	}
	out <- prometheus.MustNewConstMetric(received, prometheus.CounterValue, float64(s.WholeBytes), "whole")
	out <- prometheus.MustNewConstMetric(received, prometheus.CounterValue, float64(s.PatchBytes), "patch")
}
