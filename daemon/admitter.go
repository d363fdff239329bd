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
	// retryAfterLeaving is when a caller should come back, to find another instance.
	retryAfterLeaving = time.Second
	// maxQueued bounds the requests that wait at this instance for one pool.
	maxQueued = 512
	// admissionTick is how often waiting requests are looked at.
	admissionTick = 20 * time.Millisecond
)

// admitter takes requests in as the admission controller decides, and counts them until they
// end.
type admitter struct {
	log    logr.Logger
	intent func() settings.SharedConfig
	// forecast is set before the first request.
	forecast func(settings.Service) admission.Forecast
	// open takes every request in at once, as the naive version of a benchmark does.
	open bool

	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[string]chan admission.Action
	total      int
	leaving    bool
	idle       chan struct{}
	// queued holds one signal that a request waits, so that an idle instance needs no ticks.
	queued chan struct{}
}

func newAdmitter(seed uint64, open bool, intent func() settings.SharedConfig, log logr.Logger) *admitter {
	return &admitter{
		log:        log,
		intent:     intent,
		open:       open,
		controller: admission.New(admission.Options{MaxQueued: maxQueued, Seed: seed}),
		waiting:    make(map[string]chan admission.Action),
		idle:       make(chan struct{}),
		queued:     make(chan struct{}, 1),
	}
}

// Admit returns once the request may start, with the function that ends it, or refuses it.
func (a *admitter) Admit(ctx context.Context, r dispatch.Request, s admission.Size) (func(answered bool), *outcome.Error) {
	a.prepare(r.Service)
	decision, refusal := a.arrive(r, s)
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

// prepare asks for a forecast when there is none yet, so that the first requests after a start
// are not all taken in.
func (a *admitter) prepare(s settings.Service) {
	a.mu.Lock()
	needed := !a.open && a.controller.NeedsForecast(s.Pool())
	a.mu.Unlock()
	if needed {
		a.setForecast(s.Pool(), a.forecast(s))
	}
}

// arrive counts the request and returns the channel on which its decision comes.
func (a *admitter) arrive(r dispatch.Request, s admission.Size) (<-chan admission.Action, *outcome.Error) {
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
	a.total++
	decision := make(chan admission.Action, 1)
	if a.open {
		decision <- admission.Action{ID: r.ID, Verdict: admission.Start}
		return decision, nil
	}
	a.waiting[r.ID] = decision
	a.tell(a.controller.Arrive(time.Now(), admission.Request{
		ID:          r.ID,
		Pool:        r.Service.Pool(),
		Workspace:   r.Workspace.Name,
		Share:       r.Workspace.Share,
		MaxInFlight: r.Workspace.MaxInFlight,
		Deadline:    r.Deadline,
		Size:        s,
	}))
	a.signalQueued()
	return decision, nil
}

// tell passes decisions to the requests that wait for them.
func (a *admitter) tell(actions []admission.Action) {
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
		"why", d.Reason, "predicted_ms", d.Predicted.Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds())
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Code:       outcome.CodeOverloaded,
		Message:    string(d.Reason),
		RetryAfter: d.RetryAfter,
	}
}

// served gives the room of an answered request to others, while its answer and its credit are
// still being recorded.
func (a *admitter) served(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tell(a.controller.Ended(time.Now(), id, true))
}

func (a *admitter) release(id string, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	a.tell(a.controller.Ended(time.Now(), id, answered))
	a.total--
	a.signalIdle()
}

// setForecast notes the room and speed of a pool.
func (a *admitter) setForecast(pool string, f admission.Forecast) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetForecast(pool, f)
}

// signalQueued wakes the ticks when a request waits.
func (a *admitter) signalQueued() {
	if len(a.waiting) == 0 {
		return
	}
	select {
	case a.queued <- struct{}{}:
	default:
	}
}

// runTicks starts and refuses waiting requests as time passes, until ctx ends. There are no
// ticks while nothing waits.
func (a *admitter) runTicks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.queued:
		}
		sleep(ctx, admissionTick)
		a.mu.Lock()
		a.tell(a.controller.Tick(time.Now()))
		a.signalQueued()
		a.mu.Unlock()
	}
}

// LocalUsage reports this instance's demand, the largest first.
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

// HandleUsage takes the demand at another instance of the data centre.
func (a *admitter) HandleUsage(_ time.Time, peer string, usage []membership.WorkspaceUsage) {
	shares := a.intent().Workspaces
	a.mu.Lock()
	defer a.mu.Unlock()
	var u admission.Usage
	for _, w := range usage {
		u = append(u, admission.WorkspaceUsage{
			Pool:      w.Pool,
			Workspace: w.Workspace,
			Share:     shares[w.Workspace].Share,
			Running:   int(w.InFlight),
			Waiting:   max(0, int(w.Demand)-int(w.InFlight)),
		})
	}
	a.controller.SetPeerUsage(peer, u)
}

// InFlight returns the number of requests in flight.
func (a *admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// leave returns a channel that is closed once no request is in flight.
func (a *admitter) leave() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.signalIdle()
	return a.idle
}

func (a *admitter) signalIdle() {
	if !a.leaving || a.total > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}
