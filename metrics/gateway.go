package metrics

import "github.com/prometheus/client_golang/prometheus"

// LabelSaid is what a backend server has said about itself.
const LabelSaid = "said"

// LabelRelay is what has happened to a request between two gateways.
const LabelRelay = "relay"

// LabelStatus is the HTTP status of a response; 0 means that the response's stream was aborted.
const LabelStatus = "status"

// LabelLacks is what a backend server lacked that rejected a send.
const LabelLacks = "lacks"

var (
	gatewayRequestsTotal = description{"balsamlb_gateway_requests_total", counter, []string{LabelStatus},
		"Requests that have ended at a gateway, by status; 0: the answer was broken off."}
	gatewayRequestSeconds = description{"balsamlb_gateway_request_seconds", histogram, nil,
		"Time from a request's arrival at a gateway to its end."}
	gatewayFirstEventSeconds = description{"balsamlb_gateway_first_event_seconds", histogram, nil,
		"Time from the begin of an attempt of a draft to its first event."}
	gatewayDialsTotal = description{"balsamlb_gateway_dials_total", counter, nil,
		"Connections that a gateway opened to backend servers."}
	gatewayReroutesTotal = description{"balsamlb_gateway_repaths_total", counter, nil,
		"Paths of running drafts that were changed."}
	gatewayResumesTotal = description{"balsamlb_gateway_resumes_total", counter, nil,
		"Streams that went on at another server after a break."}
	gatewayQuarantinedTotal = description{"balsamlb_gateway_quarantined_total", counter, nil,
		"Requests that were not sent, or not sent again, because their content, or a part of their prompt, crashes backend servers."}
	gatewayLostRunsTotal = description{"balsamlb_gateway_lost_runs_total", counter, nil,
		"Runs of requests that ended without an answer, because a backend server or the connection to it failed."}
	gatewayHeldBackTotal = description{"balsamlb_gateway_held_back_total", counter, []string{LabelSaid},
		"Requests that were kept from a backend server because of what it said about itself, by what it said."}
	gatewayRejectedSendsTotal = description{"balsamlb_gateway_rejected_sends_total", counter, []string{LabelLacks},
		"Drafts that a backend server did not take, by what it lacked: memory, slots, layers, or unknown."}
	gatewayClaimsHeldBackTotal = description{"balsamlb_gateway_claims_held_back_total", counter, nil,
		"Searches for a path that found none, since nearly full backend servers were left to the drafts of other gateways."}
	gatewayCutOff = description{"balsamlb_gateway_cut_off", gauge, nil,
		"1 while a gateway reaches no backend server, 0 otherwise."}
	gatewayRelayedTotal = description{"balsamlb_gateway_relayed_total", counter, []string{LabelRelay},
		"Requests that a gateway passed on to another one, that another one declined, or that it took from others."}
	gatewayUnconfirmedDenialsTotal = description{"balsamlb_gateway_unconfirmed_denials_total", counter, nil,
		"Requests that the routing document did not allow, and that were answered with 503 since the document was not confirmed within the bound."}
	gatewayUnresponsive = description{"balsamlb_gateway_unresponsive_to_others", gauge, nil,
		"Backend servers that a gateway avoids since several gateways report them as unresponsive."}
)

// gatewayDescriptions lists the metrics of a gateway in the order of docs/METRICS.md.
var gatewayDescriptions = []description{
	gatewayRequestsTotal, gatewayRequestSeconds, gatewayFirstEventSeconds, gatewayDialsTotal, gatewayReroutesTotal, gatewayResumesTotal,
	gatewayLostRunsTotal, gatewayQuarantinedTotal, gatewayHeldBackTotal,
	gatewayRejectedSendsTotal, gatewayClaimsHeldBackTotal, gatewayUnconfirmedDenialsTotal,
	gatewayUnresponsive, gatewayCutOff, gatewayRelayedTotal,
	gatewayAdmissionTotal, gatewayRoom, gatewayLevel, gatewayFreeRoom, gatewayHeldRoom, gatewayWaitError,
}

// Histogram buckets of a gateway, in seconds. They cover the latency objectives of known
// deployments, 0.1 to 0.5 s, and their time limits, 0.6 to 20 s.
var (
	gatewayRequestBuckets    = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 20}
	gatewayFirstEventBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5}
)

// Gateway holds the metrics that a gateway updates.
type Gateway struct {
	Requests          *prometheus.CounterVec
	RequestSeconds    *prometheus.HistogramVec
	FirstEventSeconds *prometheus.HistogramVec
	Dials             *prometheus.CounterVec
	Reroutes          *prometheus.CounterVec
	Resumes           *prometheus.CounterVec
	LostRuns          *prometheus.CounterVec
	Quarantined       *prometheus.CounterVec
	HeldBack          *prometheus.CounterVec
	RejectedSends     *prometheus.CounterVec
	ClaimsHeldBack    *prometheus.CounterVec

	UnconfirmedDenials *prometheus.CounterVec

	UnresponsiveToOthers prometheus.Gauge
	CutOff               prometheus.Gauge
	Relayed              *prometheus.CounterVec
	Admission            *Admission
}

// NewGateway creates and registers the metrics of a gateway. It panics if a metric is already
// registered.
func NewGateway(r prometheus.Registerer) *Gateway {
	g := &Gateway{
		Requests:          newCounter(gatewayRequestsTotal),
		RequestSeconds:    newHistogram(gatewayRequestSeconds, gatewayRequestBuckets),
		FirstEventSeconds: newHistogram(gatewayFirstEventSeconds, gatewayFirstEventBuckets),
		Dials:             newCounter(gatewayDialsTotal),
		Reroutes:          newCounter(gatewayReroutesTotal),
		Resumes:           newCounter(gatewayResumesTotal),
		LostRuns:          newCounter(gatewayLostRunsTotal),
		Quarantined:       newCounter(gatewayQuarantinedTotal),
		HeldBack:          newCounter(gatewayHeldBackTotal),
		RejectedSends:     newCounter(gatewayRejectedSendsTotal),
		ClaimsHeldBack:    newCounter(gatewayClaimsHeldBackTotal),

		UnconfirmedDenials: newCounter(gatewayUnconfirmedDenialsTotal),

		UnresponsiveToOthers: prometheus.NewGauge(prometheus.GaugeOpts{Name: gatewayUnresponsive.name, Help: gatewayUnresponsive.help}),
		Relayed:              newCounter(gatewayRelayedTotal),
		CutOff:               prometheus.NewGauge(prometheus.GaugeOpts{Name: gatewayCutOff.name, Help: gatewayCutOff.help}),
	}
	g.Admission = newAdmission(r)
	r.MustRegister(g.Requests, g.RequestSeconds, g.FirstEventSeconds, g.Dials, g.Reroutes, g.Resumes, g.LostRuns, g.Quarantined, g.HeldBack, g.RejectedSends, g.ClaimsHeldBack, g.UnconfirmedDenials, g.UnresponsiveToOthers, g.CutOff, g.Relayed)
	return g
}
