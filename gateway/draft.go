package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/upstream"
)

const (
	// noCapacityRetry is the Retry-After delay if the engines' memory is full: about the time until
	// the drafts that run now have ended. A random delay up to noCapacityJitter is added, so that
	// callers that were refused together don't retry together.
	noCapacityRetry  = 2 * time.Second
	noCapacityJitter = 2 * time.Second
	// noCopyRetry is the Retry-After delay if the known servers hold no complete copy of the model:
	// about the time until they have announced themselves, or until the missing layers are loaded
	// elsewhere.
	noCopyRetry = time.Second
	// capacityWait is how long a draft waits for capacity: half of the shortest latency objective
	// for drafts in known deployments. The first event takes about 100 ms of that objective.
	capacityWait = 250 * time.Millisecond
	// capacityPollInterval is the time between two checks for capacity. Started streams check less
	// often, and wait as long before they are sent again after a refusal: if a data centre loses its last copy of the model, all of its started streams wait at
	// once, and each check searches for a path under a shared lock.
	capacityPollInterval = 20 * time.Millisecond
	resumePollInterval   = 100 * time.Millisecond
	// crashConfirmWait is how long a draft without a further attempt waits for the probe of its lost
	// server, which takes at most a tenth of a second.
	crashConfirmWait  = 200 * time.Millisecond
	crashPollInterval = 10 * time.Millisecond
	// maxCapacityWaiters bounds the new drafts that wait for capacity: about as many running drafts
	// end at one gateway within capacityWait, and free their capacity.
	maxCapacityWaiters = 6
)

// Orders sends queries and commands about running drafts to backend servers. Implementations must be
// safe for concurrent use.
type Orders interface {
	// StallingServers asks a path's first server, whose address is head, which servers its stalled
	// drafts wait for. It returns the addresses of those servers by request ID.
	StallingServers(ctx context.Context, head string) (byRequest map[string]string, err error)
	// Reroute changes the path of a running draft; the first server stays the same. With an error,
	// fault may be the address of the server that can't run its part.
	Reroute(ctx context.Context, head, request string, p layers.Path, fence uint64) (fault string, err error)
}

// draft is a request that is run by a path of servers, each of which holds some of the layers.
type draft struct {
	*job
	gateway   *Gateway
	size      layers.Draft
	callerCtx context.Context
	writer    http.ResponseWriter
	race      race
	place     *place
	// isHeldBack means that servers had room for the draft that was left to other instances. Attempts beside each other
	// search at once.
	isHeldBack atomic.Bool

	// claimWindow is the window in which the draft was counted as demand last.
	claimWindow atomic.Int64

	// mu guards avoid and heldTokens, which change while the draft runs.
	mu sync.Mutex
	// avoid holds the first servers of the paths on which an attempt of this draft has failed.
	avoid []string
	// heldTokens is the number of tokens of the prompt and of the forwarded events.
	heldTokens int

	// isStarted means that the header of the response was written, and isComplete that a server has
	// sent its whole answer.
	isStarted  atomic.Bool
	isComplete atomic.Bool
	// isUncertain means that the answer may only have ended because its server did.
	isUncertain atomic.Bool
	// isRelayed means that the draft was passed on to another instance.
	isRelayed atomic.Bool

	// deliveryMu is held while the response is written to the caller, and guards the fields below.
	deliveryMu sync.Mutex
	// lastEventID is the ID of the last event that was forwarded; -1 means none.
	lastEventID int64
	// lastEventAt is when the last event was forwarded, or when the request arrived.
	lastEventAt time.Time
	// events counts the forwarded events; firstMS and longestMS are the time to the first event
	// and the longest time between two events after it.
	events    int
	firstMS   int64
	longestMS int64
}

func (g *Gateway) newDraft(ctx context.Context, w http.ResponseWriter, j *job) *draft {
	d := &draft{job: j, gateway: g, callerCtx: ctx, writer: w, lastEventID: -1, lastEventAt: j.arrived}
	e := j.service.Engine
	answer := float64(j.header.MaxAnswerTokens)
	if likely := float64(j.header.LikelyAnswerTokens); likely > 0 {
		answer = min(answer, lengthHintMargin*likely)
	} else if e.MeanAnswerTokens > 0 {
		answer = min(answer, e.MeanAnswerTokens)
	}
	prompt := float64(j.header.PromptTokens)
	if prompt == 0 {
		prompt = e.MeanPromptTokens
	}
	if answer == 0 {
		answer = e.MeanAnswerTokens
	}
	d.size = layers.Draft{PromptTokens: prompt, AnswerTokens: answer}
	d.heldTokens = int(prompt)
	if id, err := strconv.ParseInt(strings.TrimSpace(j.header.LastEvent), 10, 64); err == nil {
		d.lastEventID = id
	}
	return d
}

// lengthHintMargin is the factor by which the caller's length hint is multiplied to plan a draft:
// the hint is the median, so half of the answers are longer.
const lengthHintMargin = 1.2

// tokenCountInterval is the number of events after which a draft's token count is updated. The
// count may lag that far behind, because other drafts that end in the meantime free about as much
// memory as the uncounted tokens take.
const tokenCountInterval = 8

// serveDraft runs a draft and streams its events to the caller.
func (g *Gateway) serveDraft(ctx context.Context, w http.ResponseWriter, j *job) {
	g.recordRequest(j)
	d := g.newDraft(ctx, w, j)
	d.place = g.newPlace(j, admission.Size{PromptTokens: int(d.size.PromptTokens), Tokens: int(d.size.AnswerTokens)})
	defer func() { d.place.leave(d.isComplete.Load()) }()
	for {
		a := g.nextAttempt(ctx, d)
		if a == nil {
			g.failDraft(ctx, w, d, g.noPathFailure(d))
			return
		}
		path := a.currentPath()
		f := g.runAttempts(a)
		if f == nil {
			g.options.Log.Info("completed a draft", "request", j.header.ID, "path", formatPath(path), "tokens", d.tokens(),
				"events", d.events, "first_ms", d.firstMS, "longest_ms", d.longestMS, "ms", time.Since(j.arrived).Milliseconds(), "sends", j.sends.Load())
			if d.isComplete.Load() && !d.isUncertain.Load() && !d.isRelayed.Load() {
				g.recordAnswered(j)
			}
			g.recordEnd(j, http.StatusOK, "")
			return
		}
		f, goesOn := g.mayContinue(ctx, d, f)
		if !goesOn {
			g.failDraft(ctx, w, d, f)
			return
		}
		g.options.Log.Info("retrying a draft on another path", "request", j.header.ID, "reason", f.reason, "last_event", d.lastEventID)
	}
}

// nextAttempt returns the next attempt of a draft, at servers or by way of another instance, or nil if there is
// no way.
func (g *Gateway) nextAttempt(ctx context.Context, d *draft) *attempt {
	if taker, ok := g.relayFor(ctx, d.job, false); ok {
		return g.newRelayedAttempt(ctx, d, taker)
	}
	if path, ok := g.awaitPath(ctx, d); ok {
		return g.newAttempt(ctx, d, path)
	}
	if taker, ok := g.relayFor(ctx, d.job, g.isOutOfReach(d)); ok {
		return g.newRelayedAttempt(ctx, d, taker)
	}
	return nil
}

// mayContinue reports whether a draft may be sent again after a failure, and otherwise returns the failure
// to report. A started stream can't be refused any more, so it waits for the retry budget and after
// refusals, and only its deadline bounds its sends.
func (g *Gateway) mayContinue(ctx context.Context, d *draft, f *failure) (*failure, bool) {
	if !d.isStarted.Load() {
		return g.mayGoOn(ctx, d.job, f)
	}
	if f.ran && !g.mayRunAgain(ctx, d) {
		return f, false
	}
	isQuarantined := func() bool { return g.verdict(d.job) == quarantine.Quarantined }
	isAllowed := !isQuarantined() && f.ran && ctx.Err() == nil && (errors.Is(f.err, errRetryAllowed) || g.allowRetry(d.job) || g.mayBorrowRetry(d.job))
	if !isAllowed {
		poll(ctx, resumePollInterval, time.Until(d.deadline), func() bool {
			if isQuarantined() {
				return true
			}
			isAllowed = errors.Is(f.err, upstream.ErrNotSent) || g.takeRetry(d.job) || g.mayBorrowRetry(d.job)
			return isAllowed
		})
	}
	if isQuarantined() {
		return g.quarantineFailure(d.job), false
	}
	return f, isAllowed && ctx.Err() == nil
}

// mayRunAgain reports whether the route allows a further attempt. If the attempts are used up, it waits
// until the probe of the last server is over: an attempt on a server that has crashed doesn't count.
func (g *Gateway) mayRunAgain(ctx context.Context, d *draft) bool {
	if !d.route.MayRepeat() || g.hasAttempt(d.job) {
		return d.route.MayRepeat()
	}
	poll(ctx, crashPollInterval, crashConfirmWait, func() bool { return g.hasAttempt(d.job) })
	return g.hasAttempt(d.job)
}

// failDraft reports a failed draft to the caller: with an error status, or, if the stream has
// started, by aborting the connection so that the stream doesn't look complete.
func (g *Gateway) failDraft(ctx context.Context, w http.ResponseWriter, d *draft, f *failure) {
	if d.isStarted.Load() {
		g.countQuarantined(f)
		g.options.Log.Info("breaking off a stream", "request", d.header.ID, "reason", f.reason, "silent_ms", d.idleTime().Milliseconds(),
			"left_ms", time.Until(d.deadline).Milliseconds(), "may_repeat", d.route.MayRepeat(), "attempts", d.attempts.Load(), "max_attempts", d.route.MaxAttempts)
		g.recordEnd(d.job, 0, "broke off the stream: "+f.reason)
		breakOff(w, d.request)
	}
	r := g.finalRefusal(ctx, d.job, f)
	switch {
	case r.status != http.StatusServiceUnavailable || g.retryAfterCrash(d.job, f) > 0:
	case f.retryAfter > 0: // finalRefusal has set it
	case errors.Is(f.err, errNoCompleteCopy):
		r.retryAfter = noCopyRetry
	default:
		r.retryAfter = noCapacityRetry + time.Duration(g.randomFloat()*float64(noCapacityJitter))
	}
	g.refuse(w, d.job, r)
}

// sendDraft sends the draft to the first server of the path and forwards its response.
func (g *Gateway) sendDraft(a *attempt) *failure {
	if a.relay != nil {
		return g.relayDraft(a)
	}
	d, path := a.draft, a.currentPath()
	head := path[0]
	resp, rh, err := g.send(a.ctx, d.job, head.ID, head.Address, path, d.resumePoint())
	if errors.Is(err, errHeldBack) {
		return heldBackFailure(err)
	}
	if err != nil {
		wasSent := !errors.Is(err, upstream.ErrNotSent)
		if cause := context.Cause(a.ctx); errors.Is(cause, errOvertaken) {
			return &failure{reason: cause.Error(), ran: wasSent, err: errOvertaken}
		}
		if !wasSent && a.ctx.Err() == nil {
			g.markUnreachable(head.ID, err)
		}
		g.markMalformed(head.ID, err)
		d.avoidHead(head.ID)
		return &failure{reason: "no answer of " + head.ID, ran: wasSent, err: err}
	}
	defer resp.Close()
	if rh.NotRun {
		return a.recordRejection(resp.Status, rh)
	}
	if f := g.checkResponse(d.job, head.ID, resp, rh); f != nil {
		d.avoidHead(head.ID)
		return f
	}
	if resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return g.forwardNonStream(a, resp)
	}
	return a.forwardStream(resp)
}

// resumePoint returns the ID of the event after which a server should resume the stream, or "" for a
// stream that has not started.
func (d *draft) resumePoint() string {
	d.deliveryMu.Lock()
	defer d.deliveryMu.Unlock()
	if !d.isStarted.Load() || d.lastEventID < 0 {
		return ""
	}
	d.gateway.metrics.Resumes.WithLabelValues().Inc()
	return strconv.FormatInt(d.lastEventID, 10)
}

// recordRejection excludes the server that refused its part of the path. If that server is silent,
// it is also probed, since it may have crashed before this instance was started.
func (a *attempt) recordRejection(status int, rh ResponseHeader) *failure {
	g := a.gateway
	v := g.view.Load()
	fault := v.byAddress[rh.FaultAddress]
	if fault == "" {
		fault = a.currentPath()[0].ID
	}
	exclusion, lacks := refusalFor, "layers"
	if status == http.StatusMisdirectedRequest {
		exclusion = staleLayersFor
	} else {
		lacks = g.recordFull(v, a.draft, fault, fault == a.currentPath()[0].ID, rh)
	}
	g.metrics.RejectedSends.WithLabelValues(lacks).Inc()
	if v.isSilent(fault) {
		g.probe(a.ctx, time.Now(), []string{fault})
	}
	g.faults.markRefusing(time.Now(), fault, exclusion)
	return &failure{reason: fmt.Sprintf("%s did not take its part (status %d)", fault, status)}
}

// forwardNonStream forwards a response that is not an event stream. A server error is not forwarded while
// another attempt may still bring a stream.
func (g *Gateway) forwardNonStream(a *attempt, resp *upstream.Response) *failure {
	d := a.draft
	if d.isStarted.Load() || !d.race.claim(a, resp.Status < http.StatusInternalServerError) {
		return &failure{reason: "the stream did not go on: status " + strconv.Itoa(resp.Status), ran: true}
	}
	onLost := func(err error) {
		if a.relay == nil {
			head := a.currentPath()[0].ID
			g.markMalformed(head, err)
			d.avoidHead(head)
		}
	}
	if err := g.writeResponse(d.writer, d.job, resp, onLost); err != nil {
		return &failure{reason: "the answer broke off", ran: true, err: err}
	}
	d.isComplete.Store(true)
	return nil
}

// forwardStream forwards events as they arrive, each as a whole.
func (a *attempt) forwardStream(resp *upstream.Response) *failure {
	events := newEventReader(&boundedAnswer{Reader: resp, left: a.gateway.maxAnswerBytes(a.draft.job)})
	for {
		ev, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			err = a.completeStream(resp)
		case err == nil:
			silence := a.recordArrival(time.Now())
			if a.relay == nil {
				a.recordServersAnswer()
			}
			if silence >= faultStallAfter {
				a.gateway.recordResponsive(a, silence)
			}
			if err = a.deliver(resp, ev, silence); err == nil {
				continue
			}
		}
		switch {
		case err == nil, errors.Is(err, errCallerGone):
			return nil
		case errors.Is(context.Cause(a.ctx), errOvertaken):
			return &failure{reason: errOvertaken.Error(), ran: true, err: errOvertaken}
		case a.relay != nil:
			return &failure{reason: "the stream by way of " + a.relay.Name + " broke off", ran: true, err: err}
		default:
			a.gateway.markMalformed(a.currentPath()[0].ID, err)
			return &failure{reason: "the stream of " + a.currentPath()[0].ID + " broke off", ran: true, err: err}
		}
	}
}

// deliver forwards an event, unless it was forwarded before. The draft's other attempts end. It returns
// errCallerGone if the caller takes no more events, and the cause if the attempt was cancelled. silence is
// how long the attempt has waited for the event.
func (a *attempt) deliver(resp *upstream.Response, ev event, silence time.Duration) error {
	d := a.draft
	a.isDelivering.Store(true)
	defer func() { a.endDelivery(time.Now()) }()
	d.deliveryMu.Lock()
	defer d.deliveryMu.Unlock()
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	if ev.id >= 0 && ev.id <= d.lastEventID {
		return nil
	}
	d.race.win(a)
	d.writeHeader(resp)
	if _, err := d.writer.Write(ev.bytes); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(d.writer).Flush(); err != nil {
		return errCallerGone
	}
	if ev.id >= 0 {
		d.lastEventID = ev.id
	}
	a.recordDelivery(time.Now(), silence)
	return nil
}

// completeStream ends the stream after its last event. It returns the cause if the attempt was
// cancelled.
func (a *attempt) completeStream(resp *upstream.Response) error {
	d := a.draft
	d.deliveryMu.Lock()
	defer d.deliveryMu.Unlock()
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	d.race.win(a)
	d.writeHeader(resp)
	d.isComplete.Store(true)
	a.writing.end(resp.EndsWithConnection())
	d.gateway.recordCompletedRun(a)
	return nil
}

// writeHeader writes the response header before the first event, with the headers of the server
// that sent it. Until the header is written, a failure can still be reported to the caller by an
// error status.
func (d *draft) writeHeader(resp *upstream.Response) {
	if d.isStarted.Load() {
		return
	}
	for name, values := range forwardedHeaders(resp.Header) {
		d.writer.Header()[name] = values
	}
	d.writer.WriteHeader(resp.Status)
	d.isStarted.Store(true)
}

// recordDelivery updates the draft's progress after an event was forwarded. The caller holds
// deliveryMu.
func (a *attempt) recordDelivery(now time.Time, silence time.Duration) {
	d := a.draft
	gap := now.Sub(d.lastEventAt)
	d.lastEventAt = now
	d.gateway.recordWriting(a, now)
	d.events++
	if d.events%tokenCountInterval == 0 {
		tokens := tokenCountInterval * max(1, d.service.Engine.TokensPerEvent)
		d.addTokens(tokens)
		a.addTokens(tokens)
	}
	if d.events == 1 {
		d.place.begun()
		d.firstMS = silence.Milliseconds()
		d.gateway.metrics.FirstEventSeconds.WithLabelValues().Observe(silence.Seconds())
		return
	}
	d.longestMS = max(d.longestMS, gap.Milliseconds())
}

// idleTime returns the time since the last event was forwarded, or since the request arrived. Time in
// which this process was paused doesn't count.
func (d *draft) idleTime() time.Duration {
	now := time.Now()
	d.deliveryMu.Lock()
	idle := now.Sub(d.lastEventAt)
	d.deliveryMu.Unlock()
	return min(idle, d.gateway.pauses.sinceResumed(now))
}

// tokens returns the number of tokens of the prompt and of the forwarded events.
func (d *draft) tokens() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heldTokens
}

func (d *draft) addTokens(tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heldTokens += tokens
}

// avoidHead excludes a first server from the further paths of this draft.
func (d *draft) avoidHead(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid = append(d.avoid, id)
}

// avoidedHeads returns the first servers that are excluded, and those of the attempts that run.
func (d *draft) avoidedHeads() []string {
	heads := d.race.heads()
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(heads, d.avoid...)
}

// formatPath returns a path as server=from-to parts, separated by spaces.
func formatPath(p layers.Path) string {
	var b strings.Builder
	for i, part := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", part.ID, part.From, part.To)
	}
	return b.String()
}
