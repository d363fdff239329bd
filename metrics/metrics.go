// Package metrics defines the Prometheus metrics of instances and gateways.
//
// Label values are configured names or constants, so the number of time series is bounded.
package metrics

import (
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Labels of the metrics.
const (
	LabelService = "service"
	LabelOutcome = "outcome"
	LabelCode    = "code"
)

// kind is the type of a metric.
type kind string

const (
	counter   kind = "counter"
	gauge     kind = "gauge"
	histogram kind = "histogram"
)

// description describes one metric. docs/METRICS.md is generated from the descriptions.
type description struct {
	name   string
	kind   kind
	labels []string
	help   string
}

var (
	requestsTotal = description{"balsamlb_requests_total", counter, []string{LabelService, LabelOutcome, LabelCode},
		"Requests that have ended, by outcome and reason."}
	tokensTotal = description{"balsamlb_tokens_total", counter, []string{LabelService},
		"Tokens sent to callers."}
	firstTokenSeconds = description{"balsamlb_first_token_seconds", histogram, []string{LabelService},
		"Time from a draft's arrival to its first token."}
	tokenGapSeconds = description{"balsamlb_token_gap_seconds", histogram, []string{LabelService},
		"Time between two tokens of a draft."}
	callSeconds = description{"balsamlb_call_seconds", histogram, []string{LabelService},
		"Time from a plain call's arrival to its answer."}
	inFlight = description{"balsamlb_in_flight_requests", gauge, nil,
		"Requests that the instance is working on."}
	configVersion = description{"balsamlb_config_version", gauge, nil,
		"Version of the configuration in force."}
	configAgeSeconds = description{"balsamlb_config_age_seconds", gauge, nil,
		"Time since the instance last knew that its configuration was the newest."}
	backendServers = description{"balsamlb_backend_servers", gauge, nil,
		"Backend servers that may be given new work."}
	instancesAlive = description{"balsamlb_instances_alive", gauge, nil,
		"Instances that were heard lately, with this one."}
)

// descriptions lists the metrics of an instance in the order of docs/METRICS.md.
var descriptions = []description{
	requestsTotal, tokensTotal, firstTokenSeconds, tokenGapSeconds, callSeconds,
	inFlight, configVersion, configAgeSeconds, backendServers, instancesAlive,
	controlBytesTotal, controlConnectionsTotal,
}

// Histogram buckets of an instance, in seconds.
var (
	firstTokenBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 1, 2, 5, 10}
	tokenGapBuckets   = []float64{0.002, 0.005, 0.01, 0.015, 0.02, 0.027, 0.04, 0.07, 0.15, 0.5, 1.5, 5}
	callBuckets       = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10}
)

// Set holds the metrics that are updated while requests are handled.
type Set struct {
	Requests          *prometheus.CounterVec
	Tokens            *prometheus.CounterVec
	FirstTokenSeconds *prometheus.HistogramVec
	TokenGapSeconds   *prometheus.HistogramVec
	CallSeconds       *prometheus.HistogramVec
}

// State holds the values of the metrics that are read at each scrape.
type State struct {
	InFlight         int
	ConfigVersion    uint64
	ConfigAgeSeconds float64
	BackendServers   int
	InstancesAlive   int
	// InstanceTraffic is the traffic with other instances. BackendTraffic is the traffic of the
	// announcements that backend servers send.
	InstanceTraffic Traffic
	BackendTraffic  Traffic
}

// New creates and registers the metrics of an instance. It calls state several times at each
// scrape, possibly concurrently. It panics if a metric is already registered.
func New(r prometheus.Registerer, state func() State) *Set {
	s := &Set{
		Requests:          newCounter(requestsTotal),
		Tokens:            newCounter(tokensTotal),
		FirstTokenSeconds: newHistogram(firstTokenSeconds, firstTokenBuckets),
		TokenGapSeconds:   newHistogram(tokenGapSeconds, tokenGapBuckets),
		CallSeconds:       newHistogram(callSeconds, callBuckets),
	}
	r.MustRegister(s.Requests, s.Tokens, s.FirstTokenSeconds, s.TokenGapSeconds, s.CallSeconds)
	r.MustRegister(
		newGauge(inFlight, func() float64 { return float64(state().InFlight) }),
		newGauge(configVersion, func() float64 { return float64(state().ConfigVersion) }),
		newGauge(configAgeSeconds, func() float64 { return state().ConfigAgeSeconds }),
		newGauge(backendServers, func() float64 { return float64(state().BackendServers) }),
		newGauge(instancesAlive, func() float64 { return float64(state().InstancesAlive) }),
	)
	registerTraffic(r, "instances", func() Traffic { return state().InstanceTraffic })
	registerTraffic(r, "backends", func() Traffic { return state().BackendTraffic })
	return s
}

func newCounter(d description) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: d.name, Help: d.help}, d.labels)
}

func newHistogram(d description, buckets []float64) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Name: d.name, Help: d.help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, d.labels)
}

func newGauge(d description, value func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: d.name, Help: d.help}, value)
}

// Markdown returns the text of docs/METRICS.md, which describes every metric.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nServed at `/metrics` of the platform's address, beside those of the Go runtime and the process.\n\n")
	b.WriteString("| metric | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range descriptions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.name, d.kind, strings.Join(d.labels, ", "), d.help)
	}
	b.WriteString("\nA gateway (`balsamd gateway`) serves these instead, at `/metrics` of its `[listen] metrics` address:\n\n")
	b.WriteString("| metric | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range gatewayDescriptions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.name, d.kind, strings.Join(d.labels, ", "), d.help)
	}
	fmt.Fprintf(&b, "\nGateways and controllers serve `%s` (%s) as well: %s\n", buildInfo.name, strings.Join(buildInfo.labels, ", "), buildInfo.help)
	b.WriteString("\nA controller (`balsamd controller`) serves these:\n\n")
	b.WriteString("| metric | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range slices.Concat(controllerDescriptions, planDescriptions, levelDescriptions, electionDescriptions) {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.name, d.kind, strings.Join(d.labels, ", "), d.help)
	}
	b.WriteString("\nGateways and controllers serve these of the routing document as well:\n\n")
	b.WriteString("| metric | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range slices.Concat(documentDescriptions, deliveryDescriptions) {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.name, d.kind, strings.Join(d.labels, ", "), d.help)
	}
	b.WriteString("\nAll roles serve these of the connections of their clients as well:\n\n")
	b.WriteString("| metric | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, d := range clientDescriptions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.name, d.kind, strings.Join(d.labels, ", "), d.help)
	}
	return b.String()
}
