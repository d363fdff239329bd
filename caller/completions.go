package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/valyala/fasthttp"
)

// completionRequest is the body of a request for text.
type completionRequest struct {
	// Model is the name of a draft service.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// statusWait is how long the status of a streamed answer is kept open, so that a request
// that does not start is refused as such. After it the stream begins, since only a stream
// shows that its caller has gone.
const statusWait = time.Second

// answer is one draft on its way to its caller.
type answer struct {
	handler *handler
	request dispatch.Draft
	events  *ring.Ring[dispatch.DraftEvent]
	start   time.Time
	// last is when the last token was sent, zero before the first.
	last time.Time
	// isWhole is set once the last token has come.
	isWhole bool
}

// completions answers a request for text.
func (h *handler) completions(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	r, body, refusal := h.parseCompletion(ctx, h.Config())
	if refusal != nil {
		h.refuse(ctx, r.Request, refusal)
		return
	}
	release, refusal := h.Admitter.Admit(h.ctx, r.Request, admission.Size{PromptTokens: r.PromptTokens, Tokens: r.MaxTokens})
	if refusal != nil {
		h.refuse(ctx, r.Request, refusal)
		return
	}
	runCtx, cancel := context.WithCancel(h.ctx)
	a := &answer{handler: h, request: r, events: h.Dispatcher.Draft(runCtx, r), start: start}
	end := func() {
		cancel()
		release(a.isWhole)
	}
	if !body.Stream {
		defer end()
		a.writeWhole(ctx)
		return
	}
	first := a.wait(statusWait)
	if first != nil && first.Err != nil {
		end()
		h.refuse(ctx, r.Request, first.Err)
		return
	}
	ctx.Response.Header.Set(HeaderRequest, r.ID)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer end()
		a.writeStream(w, first)
	})
}

// wait returns the next event, or nil when there is none within d.
func (a *answer) wait(d time.Duration) *dispatch.DraftEvent {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case e := <-a.events.Items():
		return &e
	case <-t.C:
		return nil
	}
}

// observe counts an event that is about to be sent.
func (a *answer) observe(e dispatch.DraftEvent) {
	h := a.handler
	service := a.request.Service.Name
	switch {
	case e.Err != nil:
		h.failed(a.request.Request, e.Err)
	case e.Done:
		a.isWhole = true
		h.answered(a.request.Request)
	default:
		now := time.Now()
		h.Metrics.Tokens.WithLabelValues(service).Inc()
		if a.last.IsZero() {
			h.Metrics.FirstTokenSeconds.WithLabelValues(service).Observe(now.Sub(a.start).Seconds())
		} else {
			h.Metrics.TokenGapSeconds.WithLabelValues(service).Observe(now.Sub(a.last).Seconds())
		}
		a.last = now
	}
}

// writeWhole collects the answer and sends it at once.
func (a *answer) writeWhole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		e := <-a.events.Items()
		if e.Err != nil {
			a.handler.refuse(ctx, a.request.Request, e.Err)
			return
		}
		a.observe(e)
		if e.Done {
			break
		}
		text.WriteString(e.Token.Text)
	}
	ctx.Response.Header.Set(HeaderRequest, a.request.ID)
	ctx.Response.Header.Set(HeaderOutcome, string(outcome.Answered))
	ctx.SetContentType("application/json")
	// The chunk holds only strings and numbers, which always encode.
	body, _ := json.Marshal(newChunk(a.request, completionChoice{Text: text.String(), FinishReason: finishLength}))
	ctx.SetBody(body)
}

func (h *handler) parseCompletion(ctx *fasthttp.RequestCtx, in settings.Intent) (dispatch.Draft, completionRequest, *outcome.Error) {
	var body completionRequest
	var r dispatch.Draft
	if refusal := checkRequestLine(ctx, in.Limits); refusal != nil {
		r.ID = h.NewID()
		return r, body, refusal
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		r.ID = h.NewID()
		return r, body, badJSON(err)
	}
	common, refusal := h.request(ctx, in, body.Model)
	r.Request = common
	if refusal != nil {
		if refusal.Field == "service" {
			refusal.Field = "model"
		}
		return r, body, refusal
	}
	if refusal := checkCompletion(common.Service, body, in.Limits); refusal != nil {
		return r, body, refusal
	}
	r.Prompt = body.Prompt
	r.PromptTokens = len(strings.Fields(body.Prompt))
	r.MaxTokens = body.MaxTokens
	return r, body, nil
}

// badJSON names the field of the wrong type, if that is the fault.
func badJSON(err error) *outcome.Error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return outcome.BadField(wrong.Field, "must be a "+wrong.Type.String()+", not a "+wrong.Value)
	}
	return outcome.BadField("json", err.Error())
}

func checkCompletion(s settings.Service, body completionRequest, limits settings.Limits) *outcome.Error {
	switch {
	case s.Kind != settings.ServiceDraft:
		return outcome.BadField("model", s.Name+" is not a draft service; use "+PathServices+s.Name)
	case strings.TrimSpace(body.Prompt) == "":
		return outcome.BadField("prompt", "is required")
	case body.MaxTokens < 1 || body.MaxTokens > limits.MaxTokens:
		return outcome.BadField("max_tokens", "must be from 1 to "+strconv.Itoa(limits.MaxTokens))
	}
	return nil
}
