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
	// resumeWait bounds the time without an event of a started stream that waits for capacity.
	// Started streams get capacity before new drafts. Callers disconnect after 2 s or more without
	// an event.
	resumeWait = 1600 * time.Millisecond
	// capacityPollInterval is the time between two checks for capacity. Started streams check less
	// often: if a data centre loses its last copy of the model, all of its started streams wait at
	// once, and each check searches for a path under a shared lock.
	capacityPollInterval = 20 * time.Millisecond
	resumePollInterval   = 100 * time.Millisecond
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
	gateway *Gateway
	size    layers.Draft
	// heldTokens is the number of tokens that the draft keeps in memory on its servers.
	heldTokens int

	// mu guards path, pathEnds, avoid, heldTokens, lastEventAt and awaitsFirstEvent, which change while the
	// draft runs.
	mu   sync.Mutex
	path layers.Path
	// pathEnds are the crashes that would end the incarnations of the path's servers.
	pathEnds []quarantine.Crash
	// avoid holds the first servers of the paths on which an attempt of this draft has failed.
	avoid   []string
	monitor atomic.Pointer[stallMonitor]

	// isStarted means that the header of the response was written, and isComplete that a server has
	// sent its whole answer.
	isStarted  atomic.Bool
	isComplete bool
	// lastEventID is the ID of the last event that was forwarded; -1 means none.
	lastEventID int64
	// lastEventAt is when the last event was forwarded, or when the attempt started.
	lastEventAt time.Time
	// awaitsFirstEvent means that the attempt has returned no event yet.
	awaitsFirstEvent bool
	// events counts the forwarded events; firstMS and longestMS are the time to the first event
	// and the longest time between two events after it.
	events    int
	firstMS   int64
	longestMS int64
}

func (g *Gateway) newDraft(j *job) *draft {
	d := &draft{job: j, gateway: g, lastEventID: -1, lastEventAt: j.arrived}
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
	d := g.newDraft(j)
	for {
		path, ok := g.awaitPath(ctx, d)
		if !ok {
			g.failDraft(ctx, w, d, g.noPathFailure(d))
			return
		}
		f := g.runAttempt(ctx, w, d, path)
		if f == nil {
			g.options.Log.Info("completed a draft", "request", j.header.ID, "path", formatPath(path), "tokens", d.heldTokens,
				"events", d.events, "first_ms", d.firstMS, "longest_ms", d.longestMS, "ms", time.Since(j.arrived).Milliseconds(), "sends", j.sends)
			if d.isComplete {
				g.recordAnswered(j)
			}
			g.recordEnd(j, http.StatusOK, "")
			return
		}
		f, goesOn := g.mayGoOn(ctx, j, f)
		if !goesOn {
			g.failDraft(ctx, w, d, f)
			return
		}
		g.options.Log.Info("retrying a draft on another path", "request", j.header.ID, "reason", f.reason, "last_event", d.lastEventID)
	}
}

// failDraft reports a failed draft to the caller: with an error status, or, if the stream has
// started, by aborting the connection so that the stream doesn't look complete.
func (g *Gateway) failDraft(ctx context.Context, w http.ResponseWriter, d *draft, f *failure) {
	if d.isStarted.Load() {
		g.countQuarantined(f)
		g.recordEnd(d.job, 0, "broke off the stream: "+f.reason)
		panic(http.ErrAbortHandler)
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

// runAttempt runs the draft on a path. It returns nil once the stream is complete.
func (g *Gateway) runAttempt(callerCtx context.Context, w http.ResponseWriter, d *draft, path layers.Path) *failure {
	ctx, cancel := context.WithCancelCause(callerCtx)
	defer cancel(nil)
	d.startAttempt(path)
	defer d.setPath(nil)
	monitor := g.monitorDraft(ctx, d, cancel)
	d.monitor.Store(monitor)
	defer func() {
		d.monitor.Store(nil)
		cancel(nil)
		<-monitor.done
	}()
	started := time.Now()
	f := g.sendDraft(ctx, w, d, path)
	if f == nil {
		for _, part := range d.currentPath() {
			g.faults.markRecovered(part.ID)
			if d.isComplete {
				g.recordAlive(started, part.ID, "completed a draft")
			}
		}
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errHeadUnresponsive):
		// An attempt on a server that crashed doesn't count against the route's limit of attempts.
		d.attempts = max(0, d.attempts-1)
		f.reason = path[0].ID + " gives no sign of life"
	case errors.Is(cause, errNoReroute):
		f.reason = "no path leads on from " + path[0].ID
		f.err = errRetryAllowed
	}
	switch {
	case !f.ran:
	case errors.Is(callerCtx.Err(), context.Canceled):
		g.recordAbandonedAttempt(d)
	default:
		g.recordLostAttempt(d, context.Cause(ctx), f.reason)
	}
	return f
}

// sendDraft sends the draft to the first server of the path and forwards its response.
func (g *Gateway) sendDraft(ctx context.Context, w http.ResponseWriter, d *draft, path layers.Path) *failure {
	head := path[0]
	lastEvent := ""
	if d.isStarted.Load() && d.lastEventID >= 0 {
		lastEvent = strconv.FormatInt(d.lastEventID, 10)
		g.metrics.Resumes.WithLabelValues().Inc()
	}
	resp, rh, err := g.send(ctx, d.job, head.ID, head.Address, path, lastEvent)
	if errors.Is(err, errHeldBack) {
		return heldBackFailure(err)
	}
	if err != nil {
		wasSent := !errors.Is(err, upstream.ErrNotSent)
		if !wasSent && ctx.Err() == nil {
			g.markUnreachable(head.ID, err)
		}
		d.avoidHead(head.ID)
		return &failure{reason: "no answer of " + head.ID, ran: wasSent, err: err}
	}
	defer resp.Close()
	if rh.NotRun {
		return d.recordRejection(ctx, resp.Status, rh)
	}
	if f := g.checkResponse(d.job, head.ID, resp, rh); f != nil {
		d.avoidHead(head.ID)
		return f
	}
	if resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return g.forwardNonStream(d, w, resp)
	}
	return g.forwardStream(d, w, resp)
}

// recordRejection excludes the server that refused its part of the path. If that server is silent,
// it is also probed, since it may have crashed before this instance was started.
func (d *draft) recordRejection(ctx context.Context, status int, rh ResponseHeader) *failure {
	g := d.gateway
	v := g.view.Load()
	fault := v.byAddress[rh.FaultAddress]
	if fault == "" {
		fault = d.currentPath()[0].ID
	}
	exclusion := refusalFor
	if status == http.StatusMisdirectedRequest {
		exclusion = staleLayersFor
	}
	if v.isSilent(fault) {
		g.probe(ctx, time.Now(), []string{fault})
	}
	g.faults.markRefusing(time.Now(), fault, exclusion)
	return &failure{reason: fmt.Sprintf("%s did not take its part (status %d)", fault, status)}
}

// forwardNonStream forwards a response that is not an event stream.
func (g *Gateway) forwardNonStream(d *draft, w http.ResponseWriter, resp *upstream.Response) *failure {
	if d.isStarted.Load() {
		return &failure{reason: "the stream did not go on: status " + strconv.Itoa(resp.Status), ran: true}
	}
	if err := g.writeResponse(w, d.job, resp); err != nil {
		return &failure{reason: "the answer broke off", ran: true, err: err}
	}
	d.isComplete = true
	return nil
}

// forwardStream forwards events as they arrive, each as a whole.
func (g *Gateway) forwardStream(d *draft, w http.ResponseWriter, resp *upstream.Response) *failure {
	flusher := http.NewResponseController(w)
	events := newEventReader(resp)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			d.writeHeader(w, resp)
			d.isComplete = true
			return nil
		}
		if err != nil {
			return &failure{reason: "the stream of " + d.currentPath()[0].ID + " broke off", ran: true, err: err}
		}
		if ev.id >= 0 && ev.id <= d.lastEventID {
			continue // forwarded by an earlier attempt
		}
		d.writeHeader(w, resp)
		if _, err := w.Write(ev.bytes); err != nil {
			return nil
		}
		if err := flusher.Flush(); err != nil {
			return nil
		}
		d.recordEvent(time.Now())
		if ev.id >= 0 {
			d.lastEventID = ev.id
		}
	}
}

// writeHeader writes the response header before the first event, with the headers of the server
// that sent it. Until the header is written, a failure can still be reported to the caller by an
// error status.
func (d *draft) writeHeader(w http.ResponseWriter, resp *upstream.Response) {
	if d.isStarted.Load() {
		return
	}
	for name, values := range forwardedHeaders(resp.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	d.isStarted.Store(true)
}

// recordEvent updates the draft's progress after an event was forwarded.
func (d *draft) recordEvent(now time.Time) {
	d.mu.Lock()
	gap := now.Sub(d.lastEventAt)
	d.lastEventAt = now
	d.awaitsFirstEvent = false
	d.mu.Unlock()
	d.events++
	if d.events%tokenCountInterval == 0 {
		d.addTokens(tokenCountInterval * max(1, d.service.Engine.TokensPerEvent))
	}
	if d.events == 1 {
		d.firstMS = gap.Milliseconds()
		d.gateway.metrics.FirstEventSeconds.WithLabelValues().Observe(gap.Seconds())
		return
	}
	d.longestMS = max(d.longestMS, gap.Milliseconds())
}

// idleTime returns the time since the last event, or since the attempt started.
func (d *draft) idleTime() time.Duration {
	idle, _ := d.progress(time.Now())
	return idle
}

// stallThreshold returns the time without an event after which the draft counts as stalled.
func (d *draft) stallThreshold() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaitsFirstEvent {
		return firstStallAfter
	}
	return stallAfter
}

func (d *draft) currentPath() layers.Path {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path
}

// pathCrashes returns the crashes that would end the incarnations of the path's servers.
func (d *draft) pathCrashes() []quarantine.Crash {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pathEnds
}

// startAttempt registers the draft as running and counts it on a path.
func (d *draft) startAttempt(p layers.Path) {
	d.gateway.running.add(d)
	d.setPath(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaitsFirstEvent = true
	d.lastEventAt = time.Now()
}

// avoidHead excludes a first server from the further paths of this draft.
func (d *draft) avoidHead(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid = append(d.avoid, id)
}

// avoidedHeads returns the first servers that are excluded; it must not be modified.
func (d *draft) avoidedHeads() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.avoid
}

// setPath moves the draft's usage from the servers of its old path to those of p. An empty path
// ends the attempt.
func (d *draft) setPath(p layers.Path) {
	if len(p) == 0 {
		d.gateway.running.remove(d)
	}
	ends := make([]quarantine.Crash, 0, len(p))
	v := d.gateway.view.Load()
	for _, part := range p {
		ends = append(ends, v.crashOf(part.ID))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.usage.add(d.path, d.heldTokens, -1)
	d.path = p
	d.pathEnds = ends
	d.gateway.usage.add(p, d.heldTokens, 1)
}

// addTokens counts tokens that the draft has generated.
func (d *draft) addTokens(tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heldTokens += tokens
	d.gateway.usage.addTokens(d.path, tokens)
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
