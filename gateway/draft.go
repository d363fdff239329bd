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
	// noRoomRetry is when a caller may come back to engines whose memory is full: about when
	// the drafts that run now have ended. A random part up to noRoomSpread is added, so that
	// those who were refused together don't come back together.
	noRoomRetry  = 2 * time.Second
	noRoomSpread = 2 * time.Second
	// noCopyRetry is when a caller may come back to servers that hold no whole copy: about
	// when they have announced themselves, or a lost range is loaded elsewhere.
	noCopyRetry = time.Second
	// roomWait is how long a draft waits for room: half of the shortest latency objective of
	// known deployments for drafts, of which its first event takes about 100 ms.
	roomWait = 250 * time.Millisecond
	// begunWait is how long a stream that has begun may have paused while it waits for room, which
	// it gets before new drafts. Callers leave after a pause of 2 s or more.
	begunWait = 1600 * time.Millisecond
	// roomPoll is the time between two looks for room. Streams that have begun look less often:
	// after the loss of a data centre's last copy all of them wait.
	roomPoll  = 20 * time.Millisecond
	begunPoll = 100 * time.Millisecond
	// maxRoomWaiters bounds the drafts that wait for room; about as many end at one gateway
	// within roomWait.
	maxRoomWaiters = 6
)

// Orders changes what backend servers do.
type Orders interface {
	// Stalled asks the first server of paths which other servers hold up the drafts there. It
	// returns the addresses of those by the drafts' requests.
	Stalled(ctx context.Context, head string) (byRequest map[string]string, err error)
	// Repath changes the path of a running draft. The first server stays. An error may name
	// the server that can't take its part.
	Repath(ctx context.Context, head, request string, p layers.Path, fence uint64) (fault string, err error)
}

// draft is one request that passes through a path of servers.
type draft struct {
	*job
	gateway *Gateway
	size    layers.Draft
	// held is how many tokens the draft holds now, as counted on its servers.
	held int

	// mu guards the path, which changes while the draft runs, and lastAt.
	mu    sync.Mutex
	path  layers.Path
	guard atomic.Pointer[guard]
	// avoid are the first servers that have failed this draft.
	avoid []string

	// isBegun says that the head of the answer was written.
	isBegun atomic.Bool
	// last is the id of the last event that was passed on; -1: none.
	last int64
	// lastAt is when that was, or when the attempt began.
	lastAt time.Time
	// isWaiting says that the attempt has brought no event yet.
	isWaiting bool
	// events counts what was passed on; firstMS and longestMS are the time to the first event
	// and the longest pause after it.
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

// hintMargin is the room that a draft is given over its likely length, which is right in the
// median only.
const hintMargin = 1.2

// countEvery is after how many events the tokens that a draft holds are counted anew; within
// as many events another draft that ends frees about as much.
const countEvery = 8

// serveDraft answers a draft with an event stream.
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
			g.options.Log.Info("answered a draft", "request", j.call.ID, "path", describe(path), "tokens", d.held,
				"events", d.events, "first_ms", d.firstMS, "longest_ms", d.longestMS, "ms", time.Since(j.arrived).Milliseconds(), "sends", j.sends)
			g.ended(j, http.StatusOK, "")
			return
		}
		if !g.maySendAgain(ctx, j, f) {
			g.endDraft(ctx, w, d, f)
			return
		}
		g.options.Log.Info("draft goes to another path", "request", j.call.ID, "reason", f.reason, "last_event", d.last)
	}
}

// awaitPath returns the best path for the draft. If none has room, it waits a short while, or
// longer with a stream that has begun; of new drafts only some wait.
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

// pollPath looks for a path at an interval until the wait is over.
func (g *Gateway) pollPath(ctx context.Context, d *draft, interval, wait time.Duration) (path layers.Path, ok bool) {
	poll(ctx, interval, wait, func() bool {
		path, ok = g.findPath(d, layers.Part{})
		return ok
	})
	return path, ok
}

// errNoWholeCopy means that the servers that can be used hold no whole copy of the model.
var errNoWholeCopy = errors.New("gateway: no data centre holds a whole copy of the model")

// whyNoPath tells a lack of servers from a lack of room.
func (g *Gateway) whyNoPath(d *draft) *failure {
	v := g.view.Load()
	now := time.Now()
	s := v.searches[d.service.Name]
	if s == nil || !s.paths.HasWholeCopy(func(id string) bool { return g.avoids(v, now, id) }) {
		return &failure{reason: "no data centre holds a whole copy of the model", err: errNoWholeCopy}
	}
	return &failure{reason: "no path through the model's layers has room"}
}

// endDraft tells the caller that the draft has failed: by a status, or by breaking off the
// stream, so that it doesn't look complete.
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

// findPath returns the best path for the draft, and accounts for the links that it takes; head,
// if it names a server, stays the first part.
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
		Draft:   d.size,
		Home:    g.options.DataCentre,
		Head:    head,
		Avoid:   avoid,
		Started: d.isBegun.Load(),
		PipeWait: func(from, to string) time.Duration {
			return g.pipes.wait(now, from, to)
		},
	})
	if ok {
		// Under the same lock, so that drafts which choose at the same time don't all cross.
		g.notePipes(v, d, path)
	}
	return path, ok
}

// tryDraft runs the draft on a path. It returns nil once the stream is complete.
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
		// A server that has ended does not count among those that the draft was sent to.
		d.attempts = max(0, d.attempts-1)
		f.reason = path[0].ID + " gives no sign of life"
	case errors.Is(cause, errNoWayAround):
		f.reason = "no path leads on from " + path[0].ID
		f.err = errAllowed
	}
	return f
}

// runDraft sends the draft and passes the answer on.
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

// rejected notes which server of the path could not take its part. One that nobody hears may
// have died before this instance was started: it is tried.
func (d *draft) rejected(ctx context.Context, status int, a Answer) *failure {
	g := d.gateway
	v := g.view.Load()
	fault := v.byAddress[a.Fault]
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

// passOther passes on an answer that is not a stream.
func (g *Gateway) passOther(d *draft, w http.ResponseWriter, resp *upstream.Response) *failure {
	if d.isBegun.Load() {
		return &failure{reason: "the stream did not go on: status " + strconv.Itoa(resp.Status), ran: true}
	}
	if err := g.pass(w, d.job, resp); err != nil {
		return &failure{reason: "the answer broke off", ran: true, err: err}
	}
	return nil
}

// passStream passes on whole events as they come.
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
			continue // the caller has it from the run before
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

// writeHead begins the answer, with the head of the first server that sent an event. Until
// then a failure can be told by its status.
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

// passed notes that an event was passed on.
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

// silence returns the time since the last event, or since the attempt began.
func (d *draft) silence() time.Duration {
	silence, _ := d.progress(time.Now())
	return silence
}

// stallTime is the silence after which the path is looked at.
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

// begin starts an attempt on a path.
func (d *draft) begin(p layers.Path) {
	d.gateway.running.add(d)
	d.setPath(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isWaiting = true
	d.lastAt = time.Now()
}

// setPath counts the draft on the servers of its path; an empty one ends an attempt.
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

// grow counts tokens that the draft has written.
func (d *draft) grow(tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held += tokens
	d.gateway.use.grow(d.path, tokens)
}

// describe returns a path as server=from-to, separated by spaces.
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
