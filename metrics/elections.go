package metrics

import "github.com/prometheus/client_golang/prometheus"

var (
	electionTerm = description{"balsamlb_controller_term", gauge, nil,
		"Highest term that the replica has seen."}
	electionHasLeader = description{"balsamlb_controller_has_leader", gauge, nil,
		"1 if the replica knows a leader of its term, 0 otherwise."}
	electionCampaigns = description{"balsamlb_controller_campaigns_total", counter, nil,
		"Times that the replica asked whether it could win an election."}
	electionElections = description{"balsamlb_controller_elections_total", counter, nil,
		"Elections that the replica has started, each with a new term."}
	electionStepDowns = description{"balsamlb_controller_stepdowns_total", counter, []string{LabelReason},
		"Times that the replica stopped leading: no_answers of a quorum, a pause of the process, a newer_term, or a transfer."}
	loopDelaySeconds = description{"balsamlb_controller_loop_delay_seconds", histogram, nil,
		"By how much the replica's loop ran later than its next tick was due."}
	syncSeconds = description{"balsamlb_controller_save_seconds", histogram, nil,
		"Time to save log entries, the hard state or a snapshot."}
	inputWaitSeconds = description{"balsamlb_controller_input_wait_seconds", histogram, nil,
		"Time that messages of other replicas waited in the replica's queue."}
)

// electionDescriptions lists the metrics of elections in the order of docs/METRICS.md.
var electionDescriptions = []description{
	electionTerm, electionHasLeader, electionCampaigns, electionElections, electionStepDowns,
	loopDelaySeconds, syncSeconds, inputWaitSeconds,
}

// replicaDelayBuckets are in seconds. 0.02 is a tick, 0.24 the least election timeout.
var replicaDelayBuckets = []float64{0.001, 0.005, 0.02, 0.04, 0.08, 0.12, 0.24, 0.48, 1, 2, 5}

// Elections is what a replica has seen of elections since its start.
type Elections struct {
	Term                 uint64
	HasLeader            bool
	Campaigns, Elections uint64
	// StepDowns has all reasons.
	StepDowns map[string]uint64
}

// ReplicaDelays are the histograms of what delays a replica, in seconds.
type ReplicaDelays struct{ LoopDelay, Sync, InputWait prometheus.Observer }

// NewReplicaDelays creates and registers the histograms. It panics if one is already registered.
func NewReplicaDelays(r prometheus.Registerer) ReplicaDelays {
	var out [3]prometheus.Observer
	for i, d := range []description{loopDelaySeconds, syncSeconds, inputWaitSeconds} {
		h := newHistogram(d, replicaDelayBuckets)
		r.MustRegister(h)
		out[i] = h.WithLabelValues()
	}
	return ReplicaDelays{LoopDelay: out[0], Sync: out[1], InputWait: out[2]}
}

// electionCollector reads Elections at each scrape.
type electionCollector struct {
	elections    func() Elections
	descriptions []*prometheus.Desc
}

// RegisterElections registers the metrics of elections. It calls elections at each scrape, possibly concurrently.
// It panics if a metric is already registered.
func RegisterElections(r prometheus.Registerer, elections func() Elections) {
	c := &electionCollector{elections: elections}
	for _, d := range electionDescriptions {
		if d.kind != histogram {
			c.descriptions = append(c.descriptions, prometheus.NewDesc(d.name, d.help, d.labels, nil))
		}
	}
	r.MustRegister(c)
}

// Describe implements prometheus.Collector.
func (c *electionCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descriptions {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *electionCollector) Collect(out chan<- prometheus.Metric) {
	e := c.elections()
	hasLeader := 0.0
	if e.HasLeader {
		hasLeader = 1
	}
	out <- prometheus.MustNewConstMetric(c.descriptions[0], prometheus.GaugeValue, float64(e.Term))
	out <- prometheus.MustNewConstMetric(c.descriptions[1], prometheus.GaugeValue, hasLeader)
	out <- prometheus.MustNewConstMetric(c.descriptions[2], prometheus.CounterValue, float64(e.Campaigns))
	out <- prometheus.MustNewConstMetric(c.descriptions[3], prometheus.CounterValue, float64(e.Elections))
	for reason, count := range e.StepDowns {
		out <- prometheus.MustNewConstMetric(c.descriptions[4], prometheus.CounterValue, float64(count), reason)
	}
}
