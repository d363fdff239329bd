package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

const (
	// retryAfterLeaving is the Retry-After delay of an instance that is leaving. After this delay,
	// the load balancer sends the caller to another instance.
	retryAfterLeaving = time.Second
	// maxQueued bounds the requests that wait for one pool on this instance.
	maxQueued = 512
	// admissionInterval is the time between two checks of the waiting requests.
	admissionInterval = 20 * time.Millisecond
)

// admitter admits or refuses requests as the admission controller decides, and counts them from their
// arrival until they end.
type admitter struct {
	log    logr.Logger
	config func() settings.SharedConfig
	// forecast returns the capacity and speed of a service. It must be set before the first request.
	forecast func(settings.Service) admission.Forecast
	// admitAll admits every request at once, for the naive baseline of benchmarks.
	admitAll bool

	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[string]chan admission.Action
	inFlight   int
	leaving    bool
	idle       chan struct{}
	// queued wakes runTicks, which sleeps while no request waits. It holds at most one signal.
	queued chan struct{}
}

func newAdmitter(seed uint64, admitAll bool, config func() settings.SharedConfig, log logr.Logger) *admitter {
	return &admitter{
		log:        log,
		config:     config,
		admitAll:   admitAll,
		controller: admission.New(admission.Options{MaxQueued: maxQueued, Seed: seed}),
		waiting:    make(map[string]chan admission.Action),
		idle:       make(chan struct{}),
		queued:     make(chan struct{}, 1),
	}
}

// Admit waits until the request may start and returns the function to call when the request ends,
// or the refusal.
func (a *admitter) Admit(ctx context.Context, r dispatch.Request, s admission.Size) (func(answered bool), *outcome.Error) {
	a.ensureForecast(r.Service)
	decision, refusal := a.enqueue(r, s)
	if refusal != nil {
		return nil, refusal
	}
	var once sync.Once
	release := func(answered bool) { once.Do(func() { a.release(r.ID, answered) }) }
	select {
	case <-ctx.Done():
		release(false)
		return nil, &outcome.Error{Outcome: outcome.NotRun, Code: outcome.CodeCancelled, Message: "the caller has gone"}
	case d := <-decision:
		if d.Verdict == admission.Start {
			return release, nil
		}
		release(false)
		return nil, a.refusal(r, d)
	}
}

// ensureForecast computes the forecast of a pool that has none yet. Without a forecast, the
// admission controller would admit all requests that arrive right after a start.
func (a *admitter) ensureForecast(s settings.Service) {
	a.mu.Lock()
	needed := !a.admitAll && a.controller.NeedsForecast(s.Pool())
	a.mu.Unlock()
	if needed {
		a.setForecast(s.Pool(), a.forecast(s))
	}
}

// enqueue counts the request, passes it to the admission controller, and returns the channel that
// receives the decision.
func (a *admitter) enqueue(r dispatch.Request, s admission.Size) (<-chan admission.Action, *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return nil, &outcome.Error{
			Outcome:    outcome.NotRun,
			Code:       outcome.CodeLeaving,
			Message:    "the instance is leaving",
			RetryAfter: retryAfterLeaving,
		}
	}
	a.inFlight++
	decision := make(chan admission.Action, 1)
	if a.admitAll {
		decision <- admission.Action{ID: r.ID, Verdict: admission.Start}
		return decision, nil
	}
	a.waiting[r.ID] = decision
	a.deliver(a.controller.Arrive(time.Now(), admission.Request{
		ID:          r.ID,
		Pool:        r.Service.Pool(),
		Workspace:   r.Workspace.Name,
		Share:       r.Workspace.Share,
		MaxInFlight: r.Workspace.MaxInFlight,
		Rank:        r.Workspace.Priority,
		Deadline:    r.Deadline,
		Size:        s,
	}))
	a.signalQueued()
	return decision, nil
}

// deliver sends decisions to the requests that wait for them. a.mu must be held.
func (a *admitter) deliver(actions []admission.Action) {
	for _, action := range actions {
		decision, ok := a.waiting[action.ID]
		if !ok || action.Verdict == admission.Wait {
			continue
		}
		delete(a.waiting, action.ID)
		decision <- action
	}
}

func (a *admitter) refusal(r dispatch.Request, d admission.Action) *outcome.Error {
	a.log.Info("refused a request", "request", r.ID, "service", r.Service.Name, "workspace", r.Workspace.Name,
		"rank", d.Rank, "why", d.Reason, "predicted_ms", d.Predicted.Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds())
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Code:       outcome.CodeOverloaded,
		Message:    string(d.Reason),
		RetryAfter: d.RetryAfter,
	}
}

// served frees the slots of an answered request for other requests, while the answer and the credit
// are still being recorded.
func (a *admitter) served(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Ended(time.Now(), id, true))
}

func (a *admitter) release(id string, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	a.deliver(a.controller.Ended(time.Now(), id, answered))
	a.inFlight--
	a.signalIdle()
}

// setForecast sets the capacity and speed of a pool.
func (a *admitter) setForecast(pool string, f admission.Forecast) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetForecast(pool, f)
}

// signalQueued wakes runTicks if requests wait. a.mu must be held.
func (a *admitter) signalQueued() {
	if len(a.waiting) == 0 {
		return
	}
	select {
	case a.queued <- struct{}{}:
	default:
	}
}

// runTicks admits and refuses waiting requests as time passes, until ctx ends. It sleeps while no
// request waits.
func (a *admitter) runTicks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.queued:
		}
		sleep(ctx, admissionInterval)
		a.mu.Lock()
		a.deliver(a.controller.Tick(time.Now()))
		a.signalQueued()
		a.mu.Unlock()
	}
}

// LocalUsage returns the demand at this instance, at most limit entries with the largest first.
func (a *admitter) LocalUsage(_ time.Time, limit int) []membership.WorkspaceUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []membership.WorkspaceUsage
	for _, u := range a.controller.Usage(limit) {
		out = append(out, membership.WorkspaceUsage{
			Workspace: u.Workspace,
			Pool:      u.Pool,
			Demand:    uint32(u.Running + u.Waiting),
			InFlight:  uint32(u.Running),
		})
	}
	return out
}

// HandleUsage applies the demand reported by another instance of the data centre. Share and rank are those of this
// instance's configuration.
func (a *admitter) HandleUsage(_ time.Time, peer string, usage []membership.WorkspaceUsage) {
	workspaces := a.config().Workspaces
	a.mu.Lock()
	defer a.mu.Unlock()
	var u admission.Usage
	for _, w := range usage {
		u = append(u, admission.WorkspaceUsage{
			Pool:      w.Pool,
			Workspace: w.Workspace,
			Share:     workspaces[w.Workspace].Share,
			Rank:      workspaces[w.Workspace].Priority,
			Running:   int(w.InFlight),
			Waiting:   max(0, int(w.Demand)-int(w.InFlight)),
		})
	}
	a.controller.SetPeerUsage(peer, u)
}

// InFlight returns the number of requests in flight, including those that wait for admission.
func (a *admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// drain refuses new requests from now on and returns a channel that is closed once no request is in
// flight.
func (a *admitter) drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.signalIdle()
	return a.idle
}

// signalIdle closes idle if the instance is leaving and no request is in flight. a.mu must be held.
func (a *admitter) signalIdle() {
	if !a.leaving || a.inFlight > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}
