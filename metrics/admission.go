package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Labels of the metrics of admission.
const (
	// LabelRank is the rank of a request: 0 is the most urgent.
	LabelRank = "rank"
	// LabelDecision is what was decided about a request.
	LabelDecision = "decision"
)

// Values of LabelDecision.
const (
	AdmissionStarted = "started"
	AdmissionWaited  = "waited"
	AdmissionRefused = "refused"
	AdmissionInTime  = "in_time"
	AdmissionLate    = "late"
)

// LabelState is whether a request begins to be answered by its objective: AdmissionInTime or AdmissionLate.
const LabelState = "state"

var (
	gatewayAdmissionTotal = description{"balsamlb_gateway_admission_total", counter, []string{LabelService, LabelRank, LabelDecision},
		"Requests of ranked services by rank: started at once, started after a wait, refused for lack of room, begun to be answered by their objective, and begun later."}
	gatewayHeldRoom = description{"balsamlb_gateway_held_room", gauge, []string{LabelService, LabelState},
		"Running requests of a ranked service at this gateway: those that begin to be answered by their objective, and late ones."}
	gatewayWaitError = description{"balsamlb_gateway_wait_error_seconds", gauge, []string{LabelService},
		"By how much the last request of a ranked service that waited for room has waited longer than predicted; negative: shorter."}
	gatewayRoom = description{"balsamlb_gateway_room", gauge, []string{LabelService},
		"Requests of a ranked service that the gateways of this data centre can run together, those that run included."}
	gatewayLevel = description{"balsamlb_gateway_admitted_rank", gauge, []string{LabelService},
		"The least urgent rank of a service whose whole demand is admitted; -1: not even the most urgent."}
	gatewayFreeRoom = description{"balsamlb_gateway_free_room", gauge, []string{LabelService, LabelLimit},
		"Further drafts that the servers of this data centre can hold, by what limits that."}
)

// Admission holds the metrics of admission at a gateway. It is safe for concurrent use.
type Admission struct {
	decisions *prometheus.CounterVec
	room      *prometheus.GaugeVec
	level     *prometheus.GaugeVec
	free      *prometheus.GaugeVec
	held      *prometheus.GaugeVec
	waitError *prometheus.GaugeVec
}

func newAdmission(r prometheus.Registerer) *Admission {
	a := &Admission{
		decisions: newCounter(gatewayAdmissionTotal),
		room:      newGaugeVec(gatewayRoom),
		level:     newGaugeVec(gatewayLevel),
		free:      newGaugeVec(gatewayFreeRoom),
		held:      newGaugeVec(gatewayHeldRoom),
		waitError: newGaugeVec(gatewayWaitError),
	}
	r.MustRegister(a.decisions, a.room, a.level, a.free, a.held, a.waitError)
	return a
}

func newGaugeVec(d description) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: d.name, Help: d.help}, d.labels)
}

// Count counts a decision about a request.
func (a *Admission) Count(service string, rank int, decision string) {
	a.decisions.WithLabelValues(service, strconv.Itoa(rank), decision).Inc()
}

// SetRoom sets the room of a service in requests, and the least urgent rank that is admitted whole.
func (a *Admission) SetRoom(service string, room float64, rank int) {
	a.room.WithLabelValues(service).Set(room)
	a.level.WithLabelValues(service).Set(float64(rank))
}

// SetFree sets the further drafts that this data centre can hold, and what limits them.
func (a *Admission) SetFree(service string, drafts float64, limit string) {
	a.free.DeletePartialMatch(prometheus.Labels{LabelService: service})
	a.free.WithLabelValues(service, limit).Set(drafts)
}

// SetHeld sets how many running requests of a service are in time and how many are late.
func (a *Admission) SetHeld(service string, inTime, late int) {
	a.held.WithLabelValues(service, AdmissionInTime).Set(float64(inTime))
	a.held.WithLabelValues(service, AdmissionLate).Set(float64(late))
}

// SetWaitError sets by how much a request has waited longer than predicted.
func (a *Admission) SetWaitError(service string, longer time.Duration) {
	a.waitError.WithLabelValues(service).Set(longer.Seconds())
}
