package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/upstream"
)

const (
	// maxRelayTries bounds the instances to which one request is passed on.
	maxRelayTries = 3
	// maxTakenRelays bounds the requests of others that this gateway serves at a time. A running draft takes
	// about 100 KB.
	maxTakenRelays = 384
	// relayAvoidedFor is how long an instance that has not taken a request, or whose answer has broken off, is
	// passed over.
	relayAvoidedFor = time.Second
	// remoteRelayPenalty is by how many more requests an instance of the own data centre may serve before one
	// of another is chosen.
	remoteRelayPenalty = 8
	// relayWait is how long a request waits until this gateway knows instances that take its requests: a
	// report to the control instances and their heartbeat.
	relayWait = 300 * time.Millisecond
	// relaysNeededFor is how long instances that take requests are asked for after one was needed.
	relaysNeededFor = 5 * time.Second
)

// relays holds the requests that this gateway passes on to other instances, and those that it takes from
// others. It is safe for concurrent use.
type relays struct {
	// taken counts the requests of others in progress.
	taken atomic.Int64

	mu          sync.Mutex
	inFlight    map[string]int // by the instance that serves them
	avoided     map[string]time.Time
	neededUntil time.Time
}

func newRelays() *relays {
	return &relays{inFlight: make(map[string]int), avoided: make(map[string]time.Time)}
}

// begin counts a request as passed on to an instance; the returned function subtracts it again.
func (r *relays) begin(name string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[name]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.inFlight[name]--; r.inFlight[name] == 0 {
			delete(r.inFlight, name)
		}
	}
}

// avoid passes an instance over for some time.
func (r *relays) avoid(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[name] = now.Add(relayAvoidedFor)
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
	for name, until := range r.avoided {
		if !now.Before(until) {
			delete(r.avoided, name)
		}
	}
	return now.Before(r.neededUntil)
}

// choose returns the instance with the fewest requests of this gateway.
func (r *relays) choose(now time.Time, known []mesh.Relay, dataCentre string, tried []string) (best mesh.Relay, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bestScore := 0
	for _, relay := range known {
		if slices.Contains(tried, relay.Name) || now.Before(r.avoided[relay.Name]) {
			continue
		}
		score := r.inFlight[relay.Name]
		if relay.DataCentre != dataCentre {
			score += remoteRelayPenalty
		}
		if !ok || score < bestScore {
			best, bestScore, ok = relay, score, true
		}
	}
	return best, ok
}

// pickRelay returns the instance to which a request is to be passed on, if one is known. A request that was
// passed on once is never passed on again.
func (g *Gateway) pickRelay(j *job) (mesh.Relay, bool) {
	tried := j.triedRelays()
	if j.origin != nil || g.options.Relayer == nil || len(tried) >= maxRelayTries {
		return mesh.Relay{}, false
	}
	return g.relays.choose(time.Now(), g.options.Mesh.Relays(), g.options.DataCentre, tried)
}

// relayFor returns the instance to which a request is to be passed on because this gateway is cut off from the
// backend servers, or because isOutOfReach says that it doesn't reach those that the request needs. It waits
// a moment if none is known yet.
func (g *Gateway) relayFor(ctx context.Context, j *job, isOutOfReach bool) (relay mesh.Relay, ok bool) {
	if !isOutOfReach && !g.links.isCutOff() {
		return relay, false
	}
	if relay, ok = g.pickRelay(j); ok || j.origin != nil || g.options.Relayer == nil || len(j.triedRelays()) > 0 {
		return relay, ok
	}
	if isOutOfReach {
		g.relays.need(time.Now())
		g.reportRelaying(time.Now())
	}
	poll(ctx, capacityPollInterval, relayWait, func() bool {
		relay, ok = g.pickRelay(j)
		return ok || !isOutOfReach && !g.links.isCutOff()
	})
	return relay, ok
}

// hasRelay reports whether a request is to be passed on now.
func (g *Gateway) hasRelay(j *job) bool {
	if !g.links.isCutOff() {
		return false
	}
	_, ok := g.pickRelay(j)
	return ok
}

// reportRelaying tells the control instances whether this gateway takes requests of others, and whether others
// have to take its own.
func (g *Gateway) reportRelaying(now time.Time) {
	address := g.options.RelayAddress
	isCutOff := g.links.isCutOff()
	if isCutOff || g.leaving.Load() || g.view.Load().table == nil {
		address = ""
	}
	g.options.Mesh.SetRelaying(address, g.options.Relayer != nil && (isCutOff || g.relays.areNeeded(now)))
}

// passOn passes a request on to another instance.
func (g *Gateway) passOn(ctx context.Context, j *job, relay mesh.Relay, lastEvent string) (*upstream.Response, *failure) {
	j.addTriedRelay(relay.Name)
	header := forwardedHeaders(j.request.Header)
	g.options.HeaderCodec.WriteRelay(header, time.Until(j.deadline), lastEvent)
	done := g.relays.begin(relay.Name)
	counted := int32(0)
	answer, err := g.options.Relayer.Do(ctx, relay.Address, &instance.RelayedRequest{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host, Header: header, Body: j.body, HasBody: j.hasBody,
		Sender: g.options.Name, RoutingVersion: j.routing, Attempts: int(j.attempts.Load()), IsCounted: true,
		EndsOnSilence: j.route.MayRepeat(),
	}, func(n int) {
		j.attempts.Add(int32(n) - counted)
		counted = int32(n)
	})
	g.options.Log.Info("passed a request on", "request", j.header.ID, "to", relay.Name, "last_event", lastEvent, "is_taken", !errors.Is(err, instance.ErrDeclined),
		"reason", errorText(err))
	if err == nil {
		g.metrics.Relayed.WithLabelValues(relayPassedOn).Inc()
		return upstream.NewResponse(answer.Status, answer.Header, &countedAnswer{answer, done}), nil
	}
	done()
	if ctx.Err() == nil {
		g.relays.avoid(time.Now(), relay.Name)
	}
	if errors.Is(err, instance.ErrDeclined) {
		g.metrics.Relayed.WithLabelValues(relayDeclined).Inc()
		return nil, &failure{reason: relay.Name + " did not take it", err: errors.Join(upstream.ErrNotSent, err)}
	}
	j.mayHaveRun.Store(true)
	return nil, &failure{reason: "no answer by way of " + relay.Name, ran: true, err: err}
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

// countedAnswer is an answer that counts as in flight until it is closed.
type countedAnswer struct {
	*instance.RelayAnswer
	done func()
}

func (a *countedAnswer) Close() error {
	a.done()
	return a.RelayAnswer.Close()
}

// relayPlain passes a request for a plain service on. It returns nil once the caller has a response.
func (g *Gateway) relayPlain(ctx context.Context, w http.ResponseWriter, j *job, relay mesh.Relay) *failure {
	resp, f := g.passOn(ctx, j, relay, "")
	if f != nil {
		return f
	}
	defer resp.Close()
	if err := g.writeResponse(w, j, resp); err != nil {
		j.mayHaveRun.Store(true)
		return &failure{reason: "the answer by way of " + relay.Name + " broke off", ran: true, err: err}
	}
	g.recordEnd(j, resp.Status, "")
	return nil
}

// newRelayedAttempt returns an attempt of a draft at another instance.
func (g *Gateway) newRelayedAttempt(ctx context.Context, d *draft, relay mesh.Relay) *attempt {
	a := g.newAttempt(ctx, d, nil)
	a.relay = &relay
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
func (g *Gateway) AcceptRelay(r *instance.RelayedRequest) (release func(), declined string) {
	switch {
	case g.leaving.Load():
		declined = "leaving"
	case g.routingVersion() < r.RoutingVersion:
		declined = "the routing document here is older"
	case g.links.isCutOff():
		declined = "cut off from the backend servers"
	case g.relays.taken.Add(1) > maxTakenRelays:
		g.relays.taken.Add(-1)
		declined = "too many requests of others"
	}
	if declined != "" {
		g.options.Log.Info("declined a request of another instance", "from", r.Sender, "reason", declined)
		return nil, declined
	}
	g.metrics.Relayed.WithLabelValues(relayTaken).Inc()
	return func() { g.relays.taken.Add(-1) }, ""
}

// ServeRelay serves a request of another gateway.
func (g *Gateway) ServeRelay(w http.ResponseWriter, r *http.Request, relayed *instance.RelayedRequest, setAttempts func(n int)) {
	g.serve(w, r, &relayOrigin{RelayedRequest: relayed, setAttempts: setAttempts})
}

// relayOrigin is the request of another gateway that a request stands for.
type relayOrigin struct {
	*instance.RelayedRequest
	// setAttempts tells the other gateway how often the request was sent here so that it may have run.
	setAttempts func(n int)
}

// addAttempts changes the number of sends in which the request may have run.
func (j *job) addAttempts(n int32) {
	attempts := j.attempts.Add(n)
	if j.origin != nil {
		j.origin.setAttempts(int(attempts) - j.origin.Attempts)
	}
}

// addTriedRelay records an instance to which the request was passed on.
func (j *job) addTriedRelay(name string) {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	j.relaysTried = append(j.relaysTried, name)
}

func (j *job) triedRelays() []string {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	return slices.Clone(j.relaysTried)
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
	connected := g.links.untilCutOff()
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
