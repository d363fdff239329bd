package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/retry"
	"github.com/balsamlb/balsamlb/upstream"
)

const (
	// maxSends bounds how often one request is sent, including sends that the server did not run.
	maxSends = 4
	// busyRetry is the Retry-After delay if all servers are full: several times the usual service
	// time of a plain request.
	busyRetry = 250 * time.Millisecond
	// remotePenalty is added to the utilization of servers in other data centres.
	remotePenalty = 0.35
)

// servePlain serves a request for a plain service.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, j *job) {
	g.recordRequest(j)
	p := g.newPlace(j, admission.Size{})
	isAnswered := false
	defer func() { p.leave(isAnswered) }()
	var tried []string
	var silent []string // those of tried that have accepted no connection in time
	unreached := 0      // how many of tried were out of reach
	for {
		if taker, ok := g.relayFor(ctx, j, unreached > 0 && unreached == len(tried) && g.pickServer(j, tried) == nil); ok {
			f := g.relayPlain(ctx, w, j, taker)
			if f == nil {
				return
			}
			if f, goesOn := g.mayGoOn(ctx, j, f); !goesOn {
				g.refuse(w, j, g.finalRefusal(ctx, j, f))
				return
			}
			continue
		}
		g.awaitTrial(ctx, j)
		if f := g.checkContent(j); f != nil {
			g.refuse(w, j, g.finalRefusal(ctx, j, f))
			return
		}
		if !p.await(ctx) {
			if p.refusal == nil && ctx.Err() == nil {
				continue // another instance takes it
			}
			g.refuse(w, j, g.finalRefusal(ctx, j, p.failure()))
			return
		}
		server := g.awaitServer(ctx, j, tried)
		if server == nil && len(silent) > 0 {
			// No other server is left, and these may accept connections by now.
			tried = slices.DeleteFunc(tried, func(id string) bool { return slices.Contains(silent, id) })
			silent = nil
			server = g.pickServer(j, tried)
		}
		if server == nil {
			g.refuse(w, j, g.noServerRefusal(ctx, j))
			return
		}
		f := g.sendPlain(ctx, w, j, server)
		if f == nil {
			p.begun()
			isAnswered = true
			return
		}
		if f.ran || !g.wantsNothing(server) { // one that wants nothing for a time may be asked again
			tried = append(tried, server.ID)
		}
		if errors.Is(f.err, upstream.ErrNotSent) && !errors.Is(f.err, errHeldBack) {
			unreached++
		}
		if errors.Is(f.err, upstream.ErrNotSent) && upstream.IsTimeout(f.err) {
			silent = append(silent, server.ID)
		}
		f, goesOn := g.mayGoOn(ctx, j, f)
		if !goesOn {
			g.refuse(w, j, g.finalRefusal(ctx, j, f))
			return
		}
	}
}

// failure describes a send that returned no response for the caller.
type failure struct {
	reason string
	// ran means that the request may have run.
	ran bool
	err error
	// retryAfter is when the caller should send the request again; 0 means not known.
	retryAfter time.Duration
}

// sendPlain sends the request to one server. It returns nil once the caller has a response.
func (g *Gateway) sendPlain(ctx context.Context, w http.ResponseWriter, j *job, server *discovery.Announcement) *failure {
	defer g.usage.begin(server.ID)() // deferred, since a truncated response panics
	sendCtx, stopWatching := g.watchCut(ctx, j)
	resp, rh, err := g.send(sendCtx, j, server.ID, server.Address, nil, "")
	stopWatching()
	if err != nil && errors.Is(context.Cause(sendCtx), errCutOff) {
		return &failure{reason: "no answer of " + server.ID, ran: !errors.Is(err, upstream.ErrNotSent), err: errRetryAllowed}
	}
	if errors.Is(err, errHeldBack) {
		return heldBackFailure(err)
	}
	if err != nil {
		ran := !errors.Is(err, upstream.ErrNotSent)
		if ctx.Err() == nil {
			g.recordHealth(server.ID, false)
		}
		if ran {
			g.recordLostCall(ctx, j, server, err)
		}
		return &failure{reason: "no answer of " + server.ID, ran: ran, err: err}
	}
	defer resp.Close()
	g.usage.recordLoad(server.ID, rh, time.Now())
	if rh.NotRun {
		return &failure{reason: server.ID + " did not take it"}
	}
	if f := g.checkResponse(j, server.ID, resp, rh); f != nil {
		return f
	}
	onLost := func(err error) {
		if ctx.Err() == nil {
			g.recordHealth(server.ID, false)
		}
		g.recordLostCall(ctx, j, server, err)
	}
	if err := g.writeResponse(w, j, resp, onLost); err != nil {
		return &failure{reason: "the answer of " + server.ID + " broke off", ran: true, err: err}
	}
	g.recordHealth(server.ID, resp.Status < http.StatusInternalServerError)
	g.recordAnswered(j)
	g.recordEnd(j, resp.Status, "")
	return nil
}

// recordLostCall records a lost run of a plain request. If the caller left, the server is not probed.
func (g *Gateway) recordLostCall(ctx context.Context, j *job, server *discovery.Announcement, err error) {
	crash := quarantine.Crash{Server: server.ID, Incarnation: uint64(server.Incarnation)}
	j.addEndedRun(crash)
	if errors.Is(ctx.Err(), context.Canceled) {
		g.addLostRun(j, crash, false)
		return
	}
	g.recordLostRun(j, crash, false, err.Error())
}

// checkResponse returns a failure for a response that must not be forwarded, and for a server error
// if the request may be retried on another server.
func (g *Gateway) checkResponse(j *job, server string, resp *upstream.Response, rh ResponseHeader) *failure {
	isSuccess := resp.Status < http.StatusMultipleChoices
	if isSuccess && !rh.IsFromServer {
		g.recordHealth(server, false)
		return &failure{reason: "the answer of " + server + " bears no mark", ran: true}
	}
	canRetry := j.route.MayRepeat() && g.hasAttempt(j) && j.sends.Load() < maxSends
	if resp.Status >= http.StatusInternalServerError && canRetry && g.allowRetry(j) {
		g.recordHealth(server, false)
		return &failure{reason: server + " failed", ran: true, err: errRetryAllowed}
	}
	return nil
}

// errRetryAllowed marks a failure whose retry was already charged to the budget.
var errRetryAllowed = errors.New("gateway: the retry is already charged to the budget")

// mayRetry reports whether a request may be sent to another server after a failure.
func (g *Gateway) mayRetry(ctx context.Context, j *job, f *failure) bool {
	if ctx.Err() != nil || j.sends.Load() >= maxSends {
		return false
	}
	if f.ran && (!j.route.MayRepeat() || !g.hasAttempt(j)) {
		return false
	}
	// A send that never left this process has used nothing of the budget.
	return errors.Is(f.err, errRetryAllowed) || errors.Is(f.err, upstream.ErrNotSent) || g.allowRetry(j)
}

// finalRefusal returns the response to the caller after the last failure.
func (g *Gateway) finalRefusal(ctx context.Context, j *job, f *failure) *refusal {
	g.countQuarantined(f)
	if !j.mayHaveRun.Load() {
		return &refusal{http.StatusServiceUnavailable, f.reason, cmp.Or(g.retryAfterCrash(j, f), f.retryAfter, g.pauseRetry(j), busyRetry)}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &refusal{http.StatusGatewayTimeout, "no answer in time: " + f.reason, 0}
	}
	return &refusal{http.StatusBadGateway, f.reason, 0}
}

func (g *Gateway) noServerRefusal(ctx context.Context, j *job) *refusal {
	return g.finalRefusal(ctx, j, &failure{reason: "no backend server is ready"})
}

// pickServer returns the least utilized server that was not tried yet, or nil.
func (g *Gateway) pickServer(j *job, tried []string) *discovery.Announcement {
	now := time.Now()
	v := g.view.Load()
	candidates := v.plain[j.service.Name]
	excluded := g.failedServers(now)
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	var best *discovery.Announcement
	bestScore := 0.0
	for _, a := range candidates {
		if slices.Contains(tried, a.ID) || g.isHeldBack(j, v, now, a.ID) {
			continue
		}
		score := g.usage.utilization(a, now)
		if a.DataCentre != g.options.DataCentre {
			score += remotePenalty
		}
		if slices.Contains(excluded, a.ID) || a.State == discovery.StateSilent {
			score += excludedPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = a, score
		}
	}
	if best != nil {
		g.recordChosen(best.ID)
	}
	return best
}

// excludedPenalty ranks servers that have failed, and silent ones, behind all others.
const excludedPenalty = 100

func (g *Gateway) recordChosen(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.Chosen(time.Now(), server)
}

func (g *Gateway) recordHealth(server string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.health.Succeeded(server)
		return
	}
	g.health.Failed(time.Now(), server)
}

func (g *Gateway) budgetKey(j *job) retry.Key {
	return retry.Key{Workspace: j.service.Name, Service: j.service.Name}
}

func (g *Gateway) recordRequest(j *job) {
	if j.origin != nil && j.origin.IsCounted {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgets.RecordRequest(time.Now(), g.budgetKey(j))
}

// allowRetry takes a retry from the budget, if there is one.
func (g *Gateway) allowRetry(j *job) bool {
	isAllowed := g.takeRetry(j)
	if !isAllowed {
		g.options.Log.Info("the retry budget is used up", "request", j.header.ID, "service", j.service.Name)
	}
	return isAllowed
}

// hasRetry reports whether the budget has a retry, and leaves it there.
func (g *Gateway) hasRetry(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgets.Has(time.Now(), g.budgetKey(j))
}

// takeServiceRetry takes a retry of a service from the budget, if there is one.
func (g *Gateway) takeServiceRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgets.Allow(time.Now(), retry.Key{Workspace: service, Service: service})
}

// takeRetry is allowRetry without a log line.
func (g *Gateway) takeRetry(j *job) bool { return g.takeServiceRetry(j.service.Name) }
