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
	"time"

	"github.com/balsamlb/balsamlb/layers"
	"github.com/balsamlb/balsamlb/upstream"
)

// noRoomRetry is when a caller may come back to engines whose memory is full: about when a
// tenth of the drafts that run have ended.
const noRoomRetry = 400 * time.Millisecond

// Orders changes what backend servers do.
type Orders interface {
	// Stalled asks the first server of a path which other server holds up the draft; "" if none does.
	Stalled(ctx context.Context, head, request string) (address string, err error)
	// Repath changes the path of a running draft. The first server stays. An error may name
	// the server that can't take its part.
	Repath(ctx context.Context, head, request string, p layers.Path, fence uint64) (fault string, err error)
}

// draft is one request that passes through a path of servers.
type draft struct {
	*job
	gateway *Gateway
	size    layers.Draft
	tokens  int

	// mu guards the path, which changes while the draft runs.
	mu   sync.Mutex
	path layers.Path
	// avoid are the servers that this draft must not use.
	avoid []string

	// header says that the head of the answer was written.
	header bool
	// last is the id of the last event that was passed on; -1: none.
	last int64
	// lastAt is when that was.
	lastAt time.Time
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
	d.tokens = int(prompt + answer)
	if id, err := strconv.ParseInt(strings.TrimSpace(j.call.LastEvent), 10, 64); err == nil {
		d.last = id
	}
	return d
}

// hintMargin is the room that a draft is given over its likely length, which is right in the
// median only.
const hintMargin = 1.2

// serveDraft answers a draft with an event stream.
func (g *Gateway) serveDraft(ctx context.Context, w http.ResponseWriter, j *job) {
	g.noteRequest(j)
	d := g.newDraft(j)
	for {
		path, ok := g.findPath(d, "")
		if !ok {
			g.endDraft(ctx, w, d, &failure{reason: "no path through the model's layers has room"})
			return
		}
		f := g.tryDraft(ctx, w, d, path)
		if f == nil {
			g.options.Log.Info("answered a draft", "request", j.call.ID, "path", describe(path), "tokens", d.tokens,
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

// endDraft tells the caller that the draft has failed: by a status, or by breaking off the
// stream, so that it doesn't look complete.
func (g *Gateway) endDraft(ctx context.Context, w http.ResponseWriter, d *draft, f *failure) {
	if d.header {
		g.ended(d.job, 0, "broke off the stream: "+f.reason)
		panic(http.ErrAbortHandler)
	}
	answer := g.giveUp(ctx, d.job, f)
	if answer.status == http.StatusServiceUnavailable {
		answer.retryAfter = noRoomRetry
	}
	g.refuse(w, d.job, answer)
}

// findPath returns the best path for the draft; head, if not empty, stays the first server.
func (g *Gateway) findPath(d *draft, head string) (layers.Path, bool) {
	v := g.view.Load()
	s := v.searches[d.service.Name]
	if s == nil {
		return nil, false
	}
	excluded := g.excluded(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	g.use.mu.Lock()
	s.paths.Update(g.use.apply)
	g.use.mu.Unlock()
	avoid := func(id string) bool { return slices.Contains(d.avoid, id) || slices.Contains(excluded, id) }
	path, _, ok := s.paths.Find(d.size, g.options.DataCentre, head, avoid)
	return path, ok
}

// tryDraft runs the draft on a path. It returns nil once the stream is complete.
func (g *Gateway) tryDraft(ctx context.Context, w http.ResponseWriter, d *draft, path layers.Path) *failure {
	d.setPath(path)
	defer d.setPath(nil)
	head := path[0]
	lastEvent := ""
	if d.header {
		lastEvent = strconv.FormatInt(d.last, 10)
		g.stats.resumes.Inc()
	}
	resp, a, err := g.send(ctx, d.job, head.ID, head.Address, path, lastEvent)
	if err != nil {
		if ctx.Err() == nil {
			g.noteHealth(head.ID, false)
		}
		d.avoid = append(d.avoid, head.ID)
		return &failure{reason: "no answer of " + head.ID, ran: !errors.Is(err, upstream.ErrNotSent), err: err}
	}
	defer resp.Close()
	if a.NotRun {
		return d.rejected(resp.Status, a)
	}
	if f := g.judge(d.job, head.ID, resp, a); f != nil {
		d.avoid = append(d.avoid, head.ID)
		return f
	}
	if resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return g.passOther(ctx, w, d, resp)
	}
	return g.passStream(ctx, w, d, resp)
}

// rejected notes which server of the path could not take its part.
func (d *draft) rejected(status int, a Answer) *failure {
	fault := d.gateway.view.Load().byAddress[a.Fault]
	if fault == "" {
		fault = d.path[0].ID
	}
	d.avoid = append(d.avoid, fault)
	return &failure{reason: fmt.Sprintf("%s did not take its part (status %d)", fault, status)}
}

// passOther passes on an answer that is not a stream.
func (g *Gateway) passOther(ctx context.Context, w http.ResponseWriter, d *draft, resp *upstream.Response) *failure {
	if d.header {
		return &failure{reason: "the stream did not go on: status " + strconv.Itoa(resp.Status), ran: true}
	}
	if err := g.pass(w, d.job, resp); err != nil {
		return &failure{reason: "the answer broke off", ran: true, err: err}
	}
	return nil
}

// passStream passes on whole events as they come.
func (g *Gateway) passStream(ctx context.Context, w http.ResponseWriter, d *draft, resp *upstream.Response) *failure {
	flusher := http.NewResponseController(w)
	if !d.header {
		for name, values := range passedOn(resp.Header) {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.Status)
		d.header = true
		if err := flusher.Flush(); err != nil {
			return nil
		}
	}
	guard := g.guardStream(ctx, d)
	defer guard.stop()
	events := newEventReader(resp)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &failure{reason: "the stream of " + d.path[0].ID + " broke off", ran: true, err: err}
		}
		guard.progress()
		if ev.id >= 0 && ev.id <= d.last {
			continue // the caller has it from the run before
		}
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

// passed notes that an event was passed on.
func (d *draft) passed(now time.Time) {
	pause := now.Sub(d.lastAt)
	d.lastAt = now
	d.events++
	if d.events == 1 {
		d.firstMS = pause.Milliseconds()
		d.gateway.stats.firstEvent.Observe(pause.Seconds())
		return
	}
	d.longestMS = max(d.longestMS, pause.Milliseconds())
}

// setPath counts the draft on its servers.
func (d *draft) setPath(p layers.Path) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateway.use.add(d.path, d.tokens, -1)
	d.path = p
	d.gateway.use.add(p, d.tokens, 1)
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
