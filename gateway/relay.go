package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/relay"
	"github.com/balsamlb/balsamlb/selfreport"
	"github.com/balsamlb/balsamlb/upstream"
)

const (
	// relayWait is how long a request waits until this gateway knows instances that take its requests: a
	// report to the control instances and their heartbeat.
	relayWait = 300 * time.Millisecond
	// relaysNeededFor is how long instances that take requests are asked for after one was needed.
	relaysNeededFor = 5 * time.Second
)

// relays holds what this gateway knows of requests that are passed on between instances. It is safe for
// concurrent use.
type relays struct {
	*relay.Chooser

	mu          sync.Mutex
	neededUntil time.Time
}

// need records that instances that take requests are needed.
func (r *relays) need(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.neededUntil = now.Add(relaysNeededFor)
}

func (r *relays) areNeeded(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.neededUntil)
}

// pickRelay returns the instance to which a request is to be passed on, if one is known. A request that was
// passed on once is never passed on again.
func (g *Gateway) pickRelay(j *job) (relay.Instance, bool) {
	tried, count := j.triedRelays()
	if j.origin != nil || g.options.Relayer == nil || count >= relay.MaxTries {
		return relay.Instance{}, false
	}
	return g.relays.Choose(time.Now(), g.options.Mesh.Relays(), g.options.DataCentre, tried)
}

// relayFor returns the instance to which a request is to be passed on because this gateway is cut off from the
// backend servers, or because isOutOfReach says that it doesn't reach those that the request needs. It waits
// a moment if none is known yet.
func (g *Gateway) relayFor(ctx context.Context, j *job, isOutOfReach bool) (taker relay.Instance, ok bool) {
	if !isOutOfReach && !g.links.IsCutOff(j.service.Name) {
		return taker, false
	}
	if taker, ok = g.pickRelay(j); ok || j.origin != nil || g.options.Relayer == nil || j.hasTriedRelays() {
		return taker, ok
	}
	if isOutOfReach {
		g.relays.need(time.Now())
		g.reportRelaying(time.Now())
	}
	poll(ctx, capacityPollInterval, relayWait, func() bool {
		taker, ok = g.pickRelay(j)
		return ok || !isOutOfReach && !g.links.IsCutOff(j.service.Name)
	})
	return taker, ok
}

// hasRelay reports whether a request is to be passed on now.
func (g *Gateway) hasRelay(j *job) bool {
	if !g.links.IsCutOff(j.service.Name) {
		return false
	}
	_, ok := g.pickRelay(j)
	return ok
}

// reportRelaying tells the control instances whether this gateway takes requests of others, and whether others
// have to take its own.
func (g *Gateway) reportRelaying(now time.Time) {
	address := g.options.RelayAddress
	isCutOff := g.links.IsAnyCutOff()
	if isCutOff || g.leaving.Load() || g.view.Load().table == nil {
		address = ""
	}
	g.options.Mesh.SetRelaying(address, g.options.Relayer != nil && (isCutOff || g.relays.areNeeded(now)))
}

// passOn passes a request on to another instance.
func (g *Gateway) passOn(ctx context.Context, j *job, taker relay.Instance, lastEvent string) (*upstream.Response, *failure) {
	j.addTriedRelay(taker.Name)
	header := forwardedHeaders(j.request.Header)
	g.options.HeaderCodec.WriteRelay(header, time.Until(j.deadline), lastEvent)
	done := g.relays.Begin(taker.Name)
	began := time.Now()
	counted := int32(0)
	borrowed := j.takeBorrowedRetry()
	answer, err := g.options.Relayer.Do(ctx, taker.Address, &relay.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host, Header: header, Body: j.body, HasBody: j.hasBody,
		Sender: g.options.Name, ConfigVersion: j.routing, Attempts: int(j.attempts.Load()), IsCounted: true,
		RetriedService: borrowed,
		EndsOnSilence:  j.route.MayRepeat(),
	}, func(n int) {
		j.attempts.Add(int32(n) - counted)
		counted = int32(n)
	})
	g.options.Log.Info("passed a request on", "request", j.header.ID, "to", taker.Name, "last_event", lastEvent, "is_taken", !errors.Is(err, relay.ErrDeclined),
		"reason", errorText(err))
	if err == nil {
		g.metrics.Relayed.WithLabelValues(relayPassedOn).Inc()
		g.recordRelayedReport(j, began, answer)
		return upstream.NewResponse(answer.Status, answer.Header, &countedBody{answer.Body, done}), nil
	}
	done()
	isDeclined := errors.Is(err, relay.ErrDeclined)
	if isDeclined && borrowed != "" {
		j.addRelayWithoutRetry()
		g.metrics.Relayed.WithLabelValues(relayDeclined).Inc()
		return nil, &failure{reason: taker.Name + " has no retry left either", err: err} // the next send needs one, too
	}
	if ctx.Err() == nil {
		g.relays.Avoid(time.Now(), taker.Name)
	}
	if isDeclined {
		g.metrics.Relayed.WithLabelValues(relayDeclined).Inc()
		return nil, &failure{reason: taker.Name + " did not take it", err: errors.Join(upstream.ErrNotSent, err)}
	}
	j.mayHaveRun.Store(true)
	if counted == 0 {
		j.attempts.Add(1) // it was sent, for all that is known
	}
	return nil, &failure{reason: "no answer by way of " + taker.Name, ran: true, err: err}
}

// recordRelayedReport records what a server has said about itself in an answer that has come by way of another
// gateway. A pause it has asked of that one only.
func (g *Gateway) recordRelayedReport(j *job, sent time.Time, answer *relay.Answer) {
	rh := g.options.HeaderCodec.ParseResponse(answer.Status, answer.Header)
	if answer.Server == "" || !rh.IsFromServer {
		return // the other gateway has answered itself
	}
	rh.HasPause = false
	g.recordSelfReport(j, sent, selfreport.Server{ID: answer.Server, Incarnation: answer.Incarnation}, answer.Status, rh)
}

// Values of the label of Relayed.
const (
	relayPassedOn = "passed on"
	relayDeclined = "declined"
	relayTaken    = "taken"
)

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// countedBody is the body of an answer that counts as in flight until it is closed.
type countedBody struct {
	io.ReadCloser
	done func()
}

func (b *countedBody) Close() error {
	b.done()
	return b.ReadCloser.Close()
}

// relayPlain passes a request for a plain service on. It returns nil once the caller has a response.
func (g *Gateway) relayPlain(ctx context.Context, w http.ResponseWriter, j *job, taker relay.Instance) *failure {
	resp, f := g.passOn(ctx, j, taker, "")
	if f != nil {
		return f
	}
	defer resp.Close()
	if err := g.writeResponse(w, j, resp, func(error) {}); err != nil {
		j.mayHaveRun.Store(true)
		return &failure{reason: "the answer by way of " + taker.Name + " broke off", ran: true, err: err}
	}
	g.recordEnd(j, resp.Status, "")
	return nil
}

// newRelayedAttempt returns an attempt of a draft at another instance.
func (g *Gateway) newRelayedAttempt(ctx context.Context, d *draft, taker relay.Instance) *attempt {
	a := g.newAttempt(ctx, d, nil)
	a.relay = &taker
	return a
}

// relayDraft passes the draft on and forwards the response.
func (g *Gateway) relayDraft(a *attempt) *failure {
	d := a.draft
	d.isRelayed.Store(true)
	resp, f := g.passOn(a.ctx, d.job, *a.relay, d.resumePoint())
	if f != nil {
		if errors.Is(context.Cause(a.ctx), errOvertaken) {
			f.err = errOvertaken
		}
		return f
	}
	defer resp.Close()
	if resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return g.forwardNonStream(a, resp)
	}
	return a.forwardStream(resp)
}

// AcceptRelay decides whether this gateway takes a request of another one.
func (g *Gateway) AcceptRelay(r *relay.Request) (release func(), declined string) {
	switch {
	case g.leaving.Load():
		declined = "leaving"
	case g.routingVersion() < r.ConfigVersion:
		declined = "the routing document here is older"
	case g.links.IsAnyCutOff():
		declined = "cut off from the backend servers"
	default:
		release, declined = g.takeRelay(r)
	}
	if declined != "" {
		g.options.Log.Info("declined a request of another instance", "from", r.Sender, "reason", declined)
		return nil, declined
	}
	g.metrics.Relayed.WithLabelValues(relayTaken).Inc()
	return release, ""
}

// takeRelay takes a request of another gateway, with the retry that it may need.
func (g *Gateway) takeRelay(r *relay.Request) (release func(), declined string) {
	release, ok := g.relays.Take()
	if !ok {
		return nil, "too many requests of others"
	}
	if r.RetriedService != "" && !g.takeServiceRetry(r.RetriedService) {
		release()
		return nil, "no retry is left"
	}
	return release, ""
}

// mayBorrowRetry reports whether a request that needs a retry, and for which this gateway has none, may use one of
// the gateway to which it is passed on.
func (g *Gateway) mayBorrowRetry(j *job) bool {
	if !g.hasRelay(j) {
		return false
	}
	j.borrowsRetry.Store(true)
	return true
}

// takeBorrowedRetry returns the service of a request that needs a retry of another gateway, once.
func (j *job) takeBorrowedRetry() string {
	if !j.borrowsRetry.Swap(false) {
		return ""
	}
	return j.service.Name
}

// ServeRelay serves a request of another gateway.
func (g *Gateway) ServeRelay(w http.ResponseWriter, r *http.Request, relayed *relay.Request, p relay.Progress) {
	g.serve(w, r, &relayOrigin{Request: relayed, Progress: p})
}

// relayOrigin is the request of another gateway that a request stands for.
type relayOrigin struct {
	*relay.Request
	relay.Progress
}

// isOutOfReach reports whether the backend servers hold a whole copy of the model, but this gateway reaches
// none.
func (g *Gateway) isOutOfReach(d *draft) bool {
	v := g.view.Load()
	s := v.searches[d.service.Name]
	if s == nil {
		return false
	}
	now := time.Now()
	heldBack := func(id string) bool { return v.unresponsive[id] || g.isHeldBack(d.job, v, now, id) }
	reached := func(id string) bool { return heldBack(id) || g.faults.isUnresponsive(now, id) }
	return s.paths.HasWholeCopy(heldBack) && !s.paths.HasWholeCopy(reached)
}

// errCutOff cancels a send that may be repeated when this gateway is cut off from the backend servers.
var errCutOff = errors.New("gateway: cut off from the backend servers")

// watchCut returns a context in which a request that may be repeated is sent to a server. It ends if this
// gateway is cut off and another instance takes the request. stop must be called once the answer has begun.
func (g *Gateway) watchCut(ctx context.Context, j *job) (sendCtx context.Context, stop func()) {
	connected := g.links.UntilCutOff(j.service.Name)
	if !j.route.MayRepeat() || connected == nil || j.origin != nil {
		return ctx, func() {}
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(connected, func() {
		if _, ok := g.relayFor(ctx, j, false); ok && g.hasAttempt(j) && g.allowRetry(j) {
			cancel(errCutOff)
		}
	})
	return sendCtx, func() { unwatch() }
}
