package metrics

import "github.com/prometheus/client_golang/prometheus"

// Labels of the metrics of a plan.
const (
	LabelDataCentre = "data_centre"
	LabelLimit      = "limit"
)

var (
	roomDrafts = description{"balsamlb_controller_room_drafts", gauge, []string{LabelService, LabelDataCentre, LabelLimit},
		"Drafts of mean length that the servers of a data centre hold once all orders are carried out, by what limits them. Only the leader has this metric."}
	demandDrafts = description{"balsamlb_controller_demand_drafts", gauge, []string{LabelService, LabelDataCentre},
		"Drafts that callers of a data centre ask for. Only the leader has this metric."}
	neededDrafts = description{"balsamlb_controller_needed_drafts", gauge, []string{LabelService, LabelDataCentre},
		"Room in drafts that the recent peak of demand needs. Only the leader has this metric."}
	movesTotal = description{"balsamlb_controller_moves_total", counter, []string{LabelDirection},
		"Moves of layers that were ordered because of demand: to raise the room, or to return to the usual plan."}
)

// planDescriptions lists the metrics of a plan in the order of docs/METRICS.md.
var planDescriptions = []description{roomDrafts, demandDrafts, neededDrafts, movesTotal}

// CentreRoom is the room of a data centre for drafts of a service.
type CentreRoom struct {
	Service, DataCentre, Limit string
	Room, Demand, Needed       float64
}

// PlanWork is the work of a planner since its start, and the present state of each data centre.
type PlanWork struct {
	Moves, Returns uint64
	Rooms          []CentreRoom
}

// planCollector reads a PlanWork at each scrape.
type planCollector struct {
	work         func() PlanWork
	descriptions []*prometheus.Desc
}

// RegisterPlan registers the metrics of a planner. It calls work at each scrape, possibly concurrently. It panics if a
// metric is already registered.
func RegisterPlan(r prometheus.Registerer, work func() PlanWork) {
	c := &planCollector{work: work}
	for _, d := range planDescriptions {
		c.descriptions = append(c.descriptions, prometheus.NewDesc(d.name, d.help, d.labels, nil))
	}
	r.MustRegister(c)
}

// Describe implements prometheus.Collector.
func (c *planCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descriptions {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *planCollector) Collect(out chan<- prometheus.Metric) {
	w := c.work()
	room, demand, needed, moves := c.descriptions[0], c.descriptions[1], c.descriptions[2], c.descriptions[3]
	for _, r := range w.Rooms {
		out <- prometheus.MustNewConstMetric(room, prometheus.GaugeValue, r.Room, r.Service, r.DataCentre, r.Limit)
		out <- prometheus.MustNewConstMetric(demand, prometheus.GaugeValue, r.Demand, r.Service, r.DataCentre)
		out <- prometheus.MustNewConstMetric(needed, prometheus.GaugeValue, r.Needed, r.Service, r.DataCentre)
	}
	out <- prometheus.MustNewConstMetric(moves, prometheus.CounterValue, float64(w.Moves), "raise")
	out <- prometheus.MustNewConstMetric(moves, prometheus.CounterValue, float64(w.Returns), "return")
}
