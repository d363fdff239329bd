package metrics

import "github.com/prometheus/client_golang/prometheus"

// Labels of the metrics of builds and levels.
const (
	LabelBuild   = "build"
	LabelReplica = "replica"
)

var (
	buildInfo = description{"balsamlb_build_info", gauge, []string{LabelBuild},
		"1 for the build that runs."}
	levelInForce = description{"balsamlb_controller_level", gauge, nil,
		"Level of entries in force."}
	levelSupported = description{"balsamlb_controller_supported_level", gauge, nil,
		"Highest level of entries that the build applies."}
	levelHeld = description{"balsamlb_controller_level_held", gauge, []string{LabelReplica},
		"1 for each control instance that holds the next level of entries back. Only the leader has this metric."}
)

// levelDescriptions lists the metrics of levels in the order of docs/METRICS.md.
var levelDescriptions = []description{levelInForce, levelSupported, levelHeld}

// LevelWork is the state of the levels of entries.
type LevelWork struct {
	InForce, Supported uint32
	// HeldBy names the control instances that hold the next level back.
	HeldBy []string
}

// RegisterBuild registers the metric of the build. It panics if the metric is already registered.
func RegisterBuild(r prometheus.Registerer, build string) {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: buildInfo.name, Help: buildInfo.help}, buildInfo.labels)
	g.WithLabelValues(build).Set(1)
	r.MustRegister(g)
}

// levelCollector reads a LevelWork at each scrape.
type levelCollector struct {
	work         func() LevelWork
	descriptions []*prometheus.Desc
}

// RegisterLevels registers the metrics of levels. It calls work at each scrape, possibly concurrently. It
// panics if a metric is already registered.
func RegisterLevels(r prometheus.Registerer, work func() LevelWork) {
	c := &levelCollector{work: work}
	for _, d := range levelDescriptions {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(d.name, d.help, d.labels, nil))
	}
	r.MustRegister(c)
}

// Describe implements prometheus.Collector.
func (c *levelCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descriptions {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *levelCollector) Collect(out chan<- prometheus.Metric) {
	w := c.work()
	out <- prometheus.MustNewConstMetric(c.descriptions[0], prometheus.GaugeValue, float64(w.InForce))
	out <- prometheus.MustNewConstMetric(c.descriptions[1], prometheus.GaugeValue, float64(w.Supported))
	for _, name := range w.HeldBy {
		out <- prometheus.MustNewConstMetric(c.descriptions[2], prometheus.GaugeValue, 1, name)
	}
}
