package metrics

import "github.com/prometheus/client_golang/prometheus"

// Labels of the metrics of clients' connections.
const (
	LabelListener = "listener"
	LabelWas      = "was"
)

var (
	clientConnections = description{"balsamlb_client_connections", gauge, []string{LabelListener},
		"Connections of clients, by listener."}
	clientBytes = description{"balsamlb_client_bytes", gauge, []string{LabelListener},
		"Memory in bytes that is charged to the connections of clients, by listener."}
	clientClosedTotal = description{"balsamlb_client_closed_total", counter, []string{LabelListener, LabelWas},
		"Connections of clients that were closed for lack of memory or descriptors, by what they were: idle, arriving (a request had arrived in part), unread (the client did not read an answer), refused (new)."}
)

// clientDescriptions lists the metrics of clients' connections in the order of docs/METRICS.md.
var clientDescriptions = []description{clientConnections, clientBytes, clientClosedTotal}

// Clients is the state of the connections of a listener's clients.
type Clients struct {
	Listener    string
	Connections int
	Bytes       int64
	// Closed counts connections by what they were.
	Closed map[string]uint64
}

// clientCollector reads the state of all listeners at each scrape.
type clientCollector struct {
	state        func() []Clients
	descriptions []*prometheus.Desc
}

// RegisterClients registers the metrics of clients' connections. It calls state at each scrape, possibly concurrently.
// It panics if a metric is already registered.
func RegisterClients(r prometheus.Registerer, state func() []Clients) {
	c := &clientCollector{state: state}
	for _, d := range clientDescriptions {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(d.name, d.help, d.labels, nil))
	}
	r.MustRegister(c)
}

// Describe implements prometheus.Collector.
func (c *clientCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descriptions {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *clientCollector) Collect(out chan<- prometheus.Metric) {
	connections, bytes, closed := c.descriptions[0], c.descriptions[1], c.descriptions[2]
	for _, s := range c.state() {
		out <- prometheus.MustNewConstMetric(connections, prometheus.GaugeValue, float64(s.Connections), s.Listener)
		out <- prometheus.MustNewConstMetric(bytes, prometheus.GaugeValue, float64(s.Bytes), s.Listener)
		for was, n := range s.Closed {
			out <- prometheus.MustNewConstMetric(closed, prometheus.CounterValue, float64(n), s.Listener, was)
		}
	}
}
