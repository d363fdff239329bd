package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Stats are the metrics of a gateway.
type Stats struct {
	requests   *prometheus.CounterVec
	seconds    prometheus.Histogram
	firstEvent prometheus.Histogram
	dials      prometheus.Counter
	repaths    prometheus.Counter
	resumes    prometheus.Counter
}

// Buckets of the histograms, in seconds; the latency objectives of known deployments are 0.1 to 0.5 s.
var (
	requestBuckets    = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20}
	firstEventBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}
)

func newStats() *Stats {
	return &Stats{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "balsamlb_gateway_requests_total", Help: "Requests that have ended, by status."}, []string{"status"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "balsamlb_gateway_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: requestBuckets}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "balsamlb_gateway_first_event_seconds", Help: "Time from a draft's arrival to its first event.", Buckets: firstEventBuckets}),
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamlb_gateway_dials_total", Help: "Connections opened to backend servers."}),
		repaths: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamlb_gateway_repaths_total", Help: "Paths of running drafts that were changed."}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "balsamlb_gateway_resumes_total", Help: "Streams that went on at another server after a break."}),
	}
}

// Register adds the metrics to a registry.
func (s *Stats) Register(r prometheus.Registerer) {
	r.MustRegister(s.requests, s.seconds, s.firstEvent, s.dials, s.repaths, s.resumes)
}

func (s *Stats) dialled() { s.dials.Inc() }

func (s *Stats) ended(status int, took time.Duration) {
	s.requests.WithLabelValues(strconv.Itoa(status)).Inc()
	s.seconds.Observe(took.Seconds())
}
