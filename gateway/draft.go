package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/upstream"
)

const (
	// noCapacityRetry is the Retry-After delay if the engines' memory is full: about the time until
	// the drafts that run now have ended. A random delay up to noCapacityJitter is added, so that
	// callers that were refused together don't retry together.
	noRoomRetry  = 2 * time.Second
	noRoomSpread = 2 * time.Second
	// noCopyRetry is the Retry-After delay if the known servers hold no complete copy of the model:
	// about the time until they have announced themselves, or until the missing layers are loaded
	// elsewhere.
	noCopyRetry = time.Second
	// capacityWait is how long a draft waits for capacity: half of the shortest latency objective
	// for drafts in known deployments, of which the first event takes about 100 ms.
	roomWait = 250 * time.Millisecond
	// resumeWait bounds the time without an event while a started stream waits for capacity, which
	// it gets before new drafts. Callers disconnect after 2 s or more without an event.
	begunWait = 1600 * time.Millisecond
	// capacityPollInterval is the time between two checks for capacity. Started streams check less
	// often, since all of them wait if a data centre loses its last copy of the model.
	roomPoll  = 20 * time.Millisecond
	begunPoll = 100 * time.Millisecond
	// maxCapacityWaiters bounds the new drafts that wait for capacity: about as many end at one
	// gateway within capacityWait.
	maxRoomWaiters = 6
)

// Orders sends queries and commands about running drafts to backend servers.
type Orders interface {
	// StallingServers asks a path's first server which servers its stalled drafts wait for. It
	// returns the addresses of those servers by request ID.
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
	held int

	// mu guards path, which changes while the draft runs, heldTokens, lastEventAt and
	// awaitsFirstEvent.
	mu    sync.Mutex
	path  layers.Path
	guard atomic.Pointer[guard]
	// avoid holds the first servers that have failed this draft.
	avoid []string

	// isStarted means that the header of the response was written.
	isBegun atomic.Bool
	// lastEventID is the ID of the last event that was forwarded; -1 means none.
	last int64
	// lastEventAt is when the last event was forwarded, or when the attempt started.
	lastAt time.Time
	// awaitsFirstEvent means that the attempt has returned no event yet.
	isWaiting bool
	// events counts the forwarded events; firstMS and longestMS are the time to the first event
	// and the longest time between two events after it.
	events    int
	firstMS   int64
	longestMS int64
}

func (g *Gateway) newDraft(j *job) *draft {
	d := &draft{job: j, gateway: g, last: -1, lastAt: j.arrived}
	e := j.service.Engine
	answer := float64(j.call.MaxAnswerTokens)
	if likely := float64(j.call.LikelyAnswerTokens); likely > 0 {
		answer = min(answer, hintMargin*likely)
	} else if e.UsualAnswer > 0 {
		answer = min(answer, e.UsualAnswer)
	}
	prompt := float64(j.call.PromptTokens)
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	if answer == 0 {
		answer = e.UsualAnswer
	}
	d.size = layers.Draft{PromptTokens: prompt, AnswerTokens: answer}
	d.held = int(prompt)
	if id, err := strconv.ParseInt(strings.TrimSpace(j.call.LastEvent), 10, 64); err == nil {
		d.last = id
	}
	return d
}

// lengthHintMargin is the factor over the caller's length hint for which a draft is planned: the
// hint is the median, so half of the answers are longer.
const hintMargin = 1.2

// tokenCountInterval is the number of events after which a draft's token count is updated. Other
// drafts that end within as many events free about as much memory.
const countEvery = 8

// serveDraft runs a draft and streams its events to the caller.
func (g *Gateway) serveDraft(ctx context.Context, w http.ResponseWriter, j *job) {
	g.noteRequest(j)
	d := g.newDraft(j)
	for {
		path, ok := g.awaitPath(ctx, d)
		if !ok {
			g.endDraft(ctx, w, d, g.whyNoPath(d))
			return
		}
		f := g.tryDraft(ctx, w, d, path)
		if f == nil {
			g.options.Log.Info("completed a draft", "request", j.call.ID, "path", describe(path), "tokens", d.held,
				"events", d.events, "first_ms", d.firstMS, "longest_ms", d.longestMS, "ms", time.Since(j.arrived).Milliseconds(), "sends", j.sends)
			g.ended(j, http.StatusOK, "")
			return
		}
		if !g.maySendAgain(ctx, j, f) {
			g.endDraft(ctx, w, d, f)
			return
		}
		g.options.Log.Info("retrying a draft on another path", "request", j.call.ID, "reason", f.reason, "last_event", d.last)
	}
}

// awaitPath returns the best path for the draft. If no path has capacity, it waits: up to
// capacityWait for new drafts, of which at most maxCapacityWaiters wait at a time, and longer for
// started streams.
func (g *Gateway) awaitPath(ctx context.Context, d *draft) (layers.Path, bool) {
	path, ok := g.findPath(d, layers.Part{})
	if ok {
		return path, true
	}
	if d.isBegun.Load() {
		return g.pollPath(ctx, d, begunPoll, begunWait-d.silence())
	}
	defer g.waiters.Add(-1)
	if g.waiters.Add(1) > maxRoomWaiters {
		return nil, false
	}
	return g.pollPath(ctx, d, roomPoll, roomWait)
}

// pollPath searches for a path at an interval until one is found or the wait is over.
func (g *Gateway) pollPath(ctx context.Context, d *draft, interval, wait time.Duration) (path layers.Path, ok bool) {
	poll(ctx, interval, wait, func() bool {
		path, ok = g.findPath(d, layers.Part{})
		return ok
	})
	return path, ok
}

// errNoCompleteCopy means that the available servers hold no complete copy of the model.
var errNoWholeCopy = errors.New("gateway: no data centre holds a whole copy of the model")

// noPathFailure returns the failure for a draft without a path: either too few layers of the model
// are loaded, or no path has capacity.
func (g *Gateway) whyNoPath(d *draft) *failure {
	v := g.view.Load()
	now := time.Now()
	s := v.searches[d.service.Name]
	if s == nil || !s.paths.HasWholeCopy(func(id string) bool { return g.avoids(v, now, id) }) {
		return &failure{reason: "no data centre holds a whole copy of the model", err: errNoWholeCopy}
	}
	return &failure{reason: "no path through the model's layers has room"}
}

// failDraft reports a failed draft to the caller: with an error status, or, if the stream has
// started, by aborting the connection so that the stream doesn't look complete.
func (g *Gateway) endDraft(ctx context.Context, w http.ResponseWriter, d *draft, f *failure) {
	if d.isBegun.Load() {
		g.ended(d.job, 0, "broke off the stream: "+f.reason)
		panic(http.ErrAbortHandler)
	}
	answer := g.giveUp(ctx, d.job, f)
	switch {
	case answer.status != http.StatusServiceUnavailable:
	case errors.Is(f.err, errNoWholeCopy):
		answer.retryAfter = noCopyRetry
	default:
		answer.retryAfter = noRoomRetry + time.Duration(g.draw()*float64(noRoomSpread))
	}
	g.refuse(w, d.job, answer)
}

// findPath returns the best path for the draft and counts the traffic on the links that it uses.
// If head names a server, it stays the first part of the path.
func (g *Gateway) findPath(d *draft, head layers.Part) (layers.Path, bool) {
	v := g.view.Load()
	s := v.searches[d.service.Name]
	if s == nil {
		return nil, false
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.use.apply(s.paths, g.options.Mesh.Others())
	avoid := func(id string) bool {
		if id == head.ID {
			return false
		}
		return g.avoids(v, now, id) || slices.Contains(d.avoid, id)
	}
	path, _, ok := s.paths.Find(layers.Query{
		Draft: d.size,
		Home:  g.options.DataCentre,
		Head:  head,
		Avoid: avoid,
		Begun: d.isBegun.Load(),
		PipeWait: func(from, to string) time.Duration {
			return g.pipes.wait(now, from, to)
		},
	})
	if ok {
		// Done under the same lock, so that concurrent searches don't all choose the same link
		// between data centres.
		g.notePipes(v, d, path)
	}
	return path, ok
}

// runAttempt runs the draft on a path. It returns nil once the stream is complete.
func (g *Gateway) tryDraft(ctx context.Context, w http.ResponseWriter, d *draft, path layers.Path) *failure {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	d.begin(path)
	defer d.setPath(nil)
	gd := g.guardDraft(ctx, d, giveUp)
	d.guard.Store(gd)
	defer func() {
		d.guard.Store(nil)
		giveUp(nil)
		<-gd.done
	}()
	f := g.runDraft(ctx, w, d, path)
	if f == nil {
		for _, part := range d.currentPath() {
			g.faults.lives(part.ID)
		}
	}
	if f == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errHeadLost):
		// An attempt on a server that crashed doesn't count against the route's limit.
		d.attempts = max(0, d.attempts-1)
		f.reason = path[0].ID + " gives no sign of life"
	case errors.Is(cause, errNoWayAround):
		f.reason = "no path leads on from " + path[0].ID
		f.err = errAllowed
	}
	return f
}

// sendDraft sends the draft to the first server of the path and forwards its response.
func (g *Gateway) runDraft(ctx context.Context, w http.ResponseWriter, d *draft, path layers.Path) *failure {
	head := path[0]
	lastEvent := ""
	if d.isBegun.Load() && d.last >= 0 {
		lastEvent = strconv.FormatInt(d.last, 10)
		g.metrics.Resumes.WithLabelValues().Inc()
	}
	resp, a, err := g.send(ctx, d.job, head.ID, head.Address, path, lastEvent)
	if err != nil {
		wasSent := !errors.Is(err, upstream.ErrNotSent)
		if !wasSent && ctx.Err() == nil {
			g.noteDead(head.ID, "can't be reached")
		}
		d.avoid = append(d.avoid, head.ID)
		return &failure{reason: "no answer of " + head.ID, ran: wasSent, err: err}
	}
	defer resp.Close()
	if a.NotRun {
		return d.rejected(ctx, resp.Status, a)
	}
	if f := g.judge(d.job, head.ID, resp, a); f != nil {
		d.avoid = append(d.avoid, head.ID)
		return f
	}
	if resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return g.passOther(d, w, resp)
	}
	return g.passStream(d, w, resp)
}

// recordRejection excludes the server of the path that refused its part. A silent server is also
// probed, since it may have crashed before this instance was started.
func (d *draft) rejected(ctx context.Context, status int, a ResponseHeader) *failure {
	g := d.gateway
	v := g.view.Load()
	fault := v.byAddress[a.FaultAddress]
	if fault == "" {
		fault = d.currentPath()[0].ID
	}
	leftOut := shortFor
	if status == http.StatusMisdirectedRequest {
		leftOut = staleFor
	}
	if v.isSilent(fault) {
		g.probe(ctx, time.Now(), []string{fault})
	}
	g.faults.refused(time.Now(), fault, leftOut)
	return &failure{reason: fmt.Sprintf("%s did not take its part (status %d)", fault, status)}
}

// forwardNonStream forwards a response that is not an event stream.
func (g *Gateway) passOther(d *draft, w http.ResponseWriter, resp *upstream.Response) *failure {
	if d.isBegun.Load() {
		return &failure{reason: "the stream did not go on: status " + strconv.Itoa(resp.Status), ran: true}
	}
	if err := g.pass(w, d.job, resp); err != nil {
		return &failure{reason: "the answer broke off", ran: true, err: err}
	}
	return nil
}

// forwardStream forwards events as they arrive, each as a whole.
func (g *Gateway) passStream(d *draft, w http.ResponseWriter, resp *upstream.Response) *failure {
	flusher := http.NewResponseController(w)
	events := newEventReader(resp)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			d.writeHead(w, resp)
			return nil
		}
		if err != nil {
			return &failure{reason: "the stream of " + d.currentPath()[0].ID + " broke off", ran: true, err: err}
		}
		if ev.id >= 0 && ev.id <= d.last {
			continue // forwarded by an earlier attempt
		}
		d.writeHead(w, resp)
		if _, err := w.Write(ev.bytes); err != nil {
			return nil
		}
		if err := flusher.Flush(); err != nil {
			return nil
		}
		d.passed(time.Now())
		if ev.id >= 0 {
			d.last = ev.id
		}
	}
}

// writeHeader writes the response header before the first event, with the headers of the server
// that sent it. Until then a failure can be reported by its status.
func (d *draft) writeHead(w http.ResponseWriter, resp *upstream.Response) {
	if d.isBegun.Load() {
		return
	}
	for name, values := range passedOn(resp.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	d.isBegun.Store(true)
}

// recordEvent updates the draft's progress after an event was forwarded.
func (d *draft) passed(now time.Time) {
	d.mu.Lock()
	pause := now.Sub(d.lastAt)
	d.lastAt = now
	d.isWaiting = false
	d.mu.Unlock()
	d.events++
	if d.events%countEvery == 0 {
		d.grow(countEvery * max(1, d.service.Engine.TokensPerEvent))
	}
	if d.events == 1 {
		d.firstMS = pause.Milliseconds()
		d.gateway.metrics.FirstEventSeconds.WithLabelValues().Observe(pause.Seconds())
		return
	}
	d.longestMS = max(d.longestMS, pause.Milliseconds())
}

// idleTime returns the time since the last event, or since the attempt started.
func (d *draft) silence() time.Duration {
	silence, _ := d.progress(time.Now())
	return silence
}

// stallThreshold returns the time without an event after which the draft counts as stalled.
func (d *draft) stallTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isWaiting {
		return firstStallAfter
	}
	return stallAfter
}

func (d *draft) currentPath() layers.Path {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path
}

// startAttempt registers the draft as running and counts it on a path.
func (d *draft) begin(p layers.Path) {
	d.gateway.running.add(d)
	d.setPath(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isWaiting = true
	d.lastAt = time.Now()
}

// setPath moves the draft's usage from the servers of its old path to those of p. An empty path
// ends the attempt.
func (d *draft) setPath(p layers.Path) {
	if len(p) == 0 {
		d.gateway.running.remove(d)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.use.add(d.path, d.held, -1)
	d.path = p
	d.gateway.use.add(p, d.held, 1)
}

// addTokens counts tokens that the draft has generated.
func (d *draft) grow(tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held += tokens
	d.gateway.use.grow(d.path, tokens)
}

// formatPath returns a path as server=from-to parts, separated by spaces.
func describe(p layers.Path) string {
	var b strings.Builder
	for i, part := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", part.ID, part.From, part.To)
	}
	return b.String()
}
