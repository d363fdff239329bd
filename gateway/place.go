package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/routing"
)

// place is the place of a request among those of its service. A request of a service that is not ranked has a
// place that is only counted.
type place struct {
	gateway *Gateway
	job     *job
	id      string
	ranked  bool
	// decisions receives what is decided about the request; hasArrived means that it was asked for.
	decisions  chan admission.Action
	hasArrived bool
	isStarted  bool
	// refusal is set if the request was refused.
	refusal *admission.Action
	arrived time.Time
	// waitedBefore is how long the caller has waited at least before it sent this request.
	waitedBefore time.Duration
	// returnAfter is the time after which the caller is recognized as one that retries.
	returnAfter time.Duration
	size        admission.Size
	// predictedWait is the predicted time until the start, as of the arrival.
	predictedWait time.Duration
}

// newPlace returns the place of a request, which leave must end.
func (g *Gateway) newPlace(j *job, size admission.Size) *place {
	p := &place{gateway: g, job: j, size: size, arrived: time.Now()}
	t := g.view.Load().table
	p.ranked = t != nil && t.IsRanked(j.service.Name)
	a := g.admitter
	if p.ranked {
		g.ensureForecast(j.service.Name, p.arrived)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.ranked {
		a.running[j.service.Name]++
		return p
	}
	p.recordCaller()
	a.services[j.service.Name] = true
	a.nextID++
	p.id = strconv.FormatUint(a.nextID, 10)
	return p
}

func (a *admitter) needsForecast(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.NeedsForecast(service)
}

// leave ends the place; answered means that the request got its whole answer.
func (p *place) leave(answered bool) {
	a := p.gateway.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.ranked {
		if a.running[p.job.service.Name]--; a.running[p.job.service.Name] == 0 {
			delete(a.running, p.job.service.Name)
		}
		return
	}
	delete(a.waiting, p.id)
	a.deliver(a.controller.Ended(time.Now(), p.id, answered && p.isStarted))
}

// rank returns the rank of the request in the range that the engine knows.
func (p *place) rank() int { return min(admission.MaxRank, max(0, p.job.rank)) }

// begun records that the request's answer has begun.
func (p *place) begun() {
	if !p.ranked {
		return
	}
	if p.job.route.Objective > 0 {
		state := metrics.AdmissionInTime
		if time.Now().After(p.request().InTimeUntil) {
			state = metrics.AdmissionLate
		}
		p.gateway.metrics.Admission.Count(p.job.service.Name, p.rank(), state)
	}
	a := p.gateway.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Begun(time.Now(), p.id)
}

// waitedBefore returns how long the caller of a request has waited at least before it sent this one. One that goes on
// with a stream that broke off is late.
func waitedBefore(patience *admission.Patience, r *routing.Route, h *RequestHeader) time.Duration {
	if h.LastEvent != "" {
		return r.Objective
	}
	return patience.Waited(r.TimeLimit, h.TimeLeft)
}

// recordCaller learns from what the caller of a new request states, and sets how long it has waited before. The
// caller holds the lock of the admitter.
func (p *place) recordCaller() {
	j := p.job
	patience := p.gateway.admitter.patienceOf(j.service.Name)
	if j.origin == nil && j.header.LastEvent == "" {
		patience.Observe(p.arrived, j.route.TimeLimit, j.header.TimeLeft)
	}
	p.waitedBefore = waitedBefore(patience, j.route, &j.header)
	p.returnAfter = patience.RecognizedAfter(j.route.TimeLimit, j.header.TimeLeft, j.route.Objective)
}

// request describes the place for the admission engine.
func (p *place) request() admission.Request {
	j := p.job
	objective := j.route.Objective
	r := admission.Request{
		ID: p.id, Pool: j.service.Name, Workspace: j.workspace, Share: 1, MaxInFlight: maxWorkspaceInFlight, Deadline: j.deadline,
		Rank: p.rank(), Objective: objective, Size: p.size, ReturnAfter: p.returnAfter,
	}
	if objective > 0 {
		r.InTimeUntil = j.arrived.Add(objective - p.waitedBefore)
	}
	return r
}

// maxWorkspaceInFlight bounds the requests of one workspace at an instance: as many as any instance serves.
const maxWorkspaceInFlight = 4096

// isLate reports whether the request arrived too late to be answered by its objective.
func (p *place) isLate() bool {
	until := p.request().InTimeUntil
	return !until.IsZero() && p.arrived.After(until)
}

// await waits until the request may start, and reports whether it may. If it may not, refusal says why, unless
// ctx has ended.
func (p *place) await(ctx context.Context) bool {
	if !p.ranked || p.isStarted {
		return true
	}
	if p.refusal != nil {
		return false
	}
	a := p.gateway.admitter
	if !p.hasArrived {
		p.hasArrived = true
		p.decisions = make(chan admission.Action, 1)
		a.mu.Lock()
		a.waiting[p.id] = p.decisions
		actions := a.controller.Arrive(time.Now(), p.request())
		p.predictedWait = actions[0].PredictedWait
		a.deliver(actions)
		a.mu.Unlock()
	}
	ticker := time.NewTicker(resumePollInterval)
	defer ticker.Stop()
	for !p.isStarted {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if p.gateway.hasRelay(p.job) {
				return false // another instance takes it
			}
		case d := <-p.decisions:
			if d.Verdict == admission.Refuse {
				p.refuse(d)
				return false
			}
			p.isStarted = true
		}
	}
	p.gateway.recordAdmitted(p)
	return true
}

// refuse keeps the decision that the request is not to run now.
func (p *place) refuse(d admission.Action) {
	p.refusal = &d
	p.gateway.recordRefused(p, d)
}

// failure says why the request may not run.
func (p *place) failure() *failure {
	if p.refusal == nil {
		return &failure{reason: "its time ended while it waited for room"}
	}
	return &failure{reason: "no room for a request of rank " + strconv.Itoa(p.refusal.Rank) + ": " + string(p.refusal.Reason), retryAfter: p.refusal.RetryAfter}
}

// blocked tells the engine that no server had room for the request, which then waits in its old place.
func (p *place) blocked() {
	a := p.gateway.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	p.isStarted = false
	a.waiting[p.id] = p.decisions
	a.deliver(a.controller.Blocked(time.Now(), p.id))
}

func (g *Gateway) recordAdmitted(p *place) {
	waited := time.Since(p.arrived)
	decision := metrics.AdmissionStarted
	if waited > admissionInterval/2 {
		decision = metrics.AdmissionWaited
		g.metrics.Admission.SetWaitError(p.job.service.Name, waited-p.predictedWait)
		g.options.Log.Info("a request has waited for room", "request", p.job.header.ID, "service", p.job.service.Name, "rank", p.rank(),
			"is_late", p.isLate(), "waited_ms", waited.Milliseconds(), "predicted_wait_ms", p.predictedWait.Milliseconds(), "waited_before_ms", p.waitedBefore.Milliseconds(), "time_left_ms", p.job.header.TimeLeft.Milliseconds())
	}
	g.metrics.Admission.Count(p.job.service.Name, p.rank(), decision)
}

func (g *Gateway) recordRefused(p *place, d admission.Action) {
	j := p.job
	a := g.admitter
	a.recordRefusal(time.Now(), j.service.Name, p.rank())
	a.mu.Lock()
	level := a.levels[j.service.Name]
	a.mu.Unlock()
	g.metrics.Admission.Count(j.service.Name, p.rank(), metrics.AdmissionRefused)
	g.options.Log.Info("refused a request for lack of room", "request", j.header.ID, "service", j.service.Name, "rank", p.rank(), "workspace", j.workspace,
		"why", string(d.Reason), "predicted_wait_ms", p.predictedWait.Milliseconds(), "predicted_ms", d.Predicted.Milliseconds(), "time_left_ms", time.Until(j.deadline).Milliseconds(), "is_late", p.isLate(), "level", level.Rank, "room", level.Capacity, "waited_ms", time.Since(p.arrived).Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds(),
		"demand_age_ms", time.Since(g.options.Mesh.PeerDemand().At).Milliseconds())
}
