package metrics

import "github.com/prometheus/client_golang/prometheus"

// LabelBy is the address of the control instance that has confirmed a routing document.
const LabelBy = "by"

var (
	documentVersion = description{"balsamlb_routing_version", gauge, nil,
		"Version of the routing document in force; 0: none."}
	documentNewest = description{"balsamlb_routing_newest_version", gauge, nil,
		"Highest version of a routing document that the instance has heard of."}
	documentAge = description{"balsamlb_routing_confirmed_age_seconds", gauge, []string{LabelBy},
		"Time since the routing document in force was last known to be the newest, by the control instance that said so. Missing until the first confirmation."}
	documentExpected = description{"balsamlb_routing_confirmation_expected", gauge, nil,
		"0 if all connected control instances are of builds that confirm no documents, or follow a leader of such a build; 1 otherwise."}
)

// documentDescriptions lists the metrics of the routing document, of gateways and controllers, in the order of
// docs/METRICS.md.
var documentDescriptions = []description{documentVersion, documentNewest, documentAge, documentExpected}

// Document says how recent the routing document of an instance is.
type Document struct {
	Version, Newest uint64
	IsConfirmed     bool
	AgeSeconds      float64 // since the last confirmation
	By              string
	IsExpected      bool // a confirmation
}

// documentCollector reads a Document at each scrape.
type documentCollector struct {
	document     func() Document
	descriptions []*prometheus.Desc
}

// RegisterDocument registers the metrics of the routing document. It calls document at each scrape, possibly
// concurrently. It panics if a metric is already registered.
func RegisterDocument(r prometheus.Registerer, document func() Document) {
	c := &documentCollector{document: document}
	for _, d := range documentDescriptions {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(d.name, d.help, d.labels, nil))
	}
	r.MustRegister(c)
}

// Describe implements prometheus.Collector.
func (c *documentCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descriptions {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *documentCollector) Collect(out chan<- prometheus.Metric) {
	d := c.document()
	expected := 0.0
	if d.IsExpected {
		expected = 1
	}
	version, newest, age, isExpected := c.descriptions[0], c.descriptions[1], c.descriptions[2], c.descriptions[3]
	out <- prometheus.MustNewConstMetric(version, prometheus.GaugeValue, float64(d.Version))
	out <- prometheus.MustNewConstMetric(newest, prometheus.GaugeValue, float64(d.Newest))
	if d.IsConfirmed {
		out <- prometheus.MustNewConstMetric(age, prometheus.GaugeValue, d.AgeSeconds, d.By)
	}
	out <- prometheus.MustNewConstMetric(isExpected, prometheus.GaugeValue, expected)
}
