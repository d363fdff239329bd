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

// completionRequest is the body of a completion request.
type completionRequest struct {
	// Model is the name of a draft service.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// maxStatusWait is how long the server waits for the first event before it sends the status of a
// streamed response, so that a request that fails to start within this time gets an error status.
// After this time the stream begins even without an event, since a disconnected caller is detected
// only by writing to the stream.
const maxStatusWait = time.Second

// completionResponse sends the events of one draft to its caller.
type completionResponse struct {
	handler *handler
	request dispatch.Draft
	events  *ring.Ring[dispatch.DraftEvent]
	start   time.Time
	// lastTokenAt is when the latest token was recorded; zero before the first.
	lastTokenAt time.Time
	// isComplete is set once the draft has ended with all its tokens.
	isComplete bool
}

// handleCompletion handles a completion request.
func (h *handler) handleCompletion(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	cfg, refusal := h.awaitConfig()
	if refusal != nil {
		h.writeFailure(ctx, dispatch.Request{ID: h.NewID()}, refusal)
		return
	}
	r, body, refusal := h.parseCompletion(ctx, cfg)
	if refusal != nil {
		h.writeFailure(ctx, r.Request, refusal)
		return
	}
	release, refusal := h.Admitter.Admit(h.ctx, r.Request, admission.Size{PromptTokens: r.PromptTokens, Tokens: r.MaxTokens})
	if refusal != nil {
		h.writeFailure(ctx, r.Request, refusal)
		return
	}
	runCtx, cancel := context.WithCancel(h.ctx)
	c := &completionResponse{handler: h, request: r, events: h.Dispatcher.Draft(runCtx, r), start: start}
	end := func() {
		cancel()
		release(c.isComplete)
	}
	if !body.Stream {
		defer end()
		c.writeComplete(ctx)
		return
	}
	first := c.waitEvent(maxStatusWait)
	if first != nil && first.Err != nil {
		end()
		h.writeFailure(ctx, r.Request, first.Err)
		return
	}
	ctx.Response.Header.Set(HeaderRequest, r.ID)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer end()
		c.writeStream(w, first)
	})
}

// waitEvent returns the next event, or nil if none arrives within d.
func (c *completionResponse) waitEvent(d time.Duration) *dispatch.DraftEvent {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case e := <-c.events.Items():
		return &e
	case <-t.C:
		return nil
	}
}

// recordEvent updates the metrics for an event that is about to be sent.
func (c *completionResponse) recordEvent(e dispatch.DraftEvent) {
	h := c.handler
	service := c.request.Service.Name
	switch {
	case e.Err != nil:
		h.countFailed(c.request.Request, e.Err)
	case e.Done:
		c.isComplete = true
		h.countAnswered(c.request.Request)
	default:
		now := time.Now()
		h.Metrics.Tokens.WithLabelValues(service).Inc()
		if c.lastTokenAt.IsZero() {
			h.Metrics.FirstTokenSeconds.WithLabelValues(service).Observe(now.Sub(c.start).Seconds())
		} else {
			h.Metrics.TokenGapSeconds.WithLabelValues(service).Observe(now.Sub(c.lastTokenAt).Seconds())
		}
		c.lastTokenAt = now
	}
}

// writeComplete collects all tokens and sends them in one response body.
func (c *completionResponse) writeComplete(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		e := <-c.events.Items()
		if e.Err != nil {
			c.handler.writeFailure(ctx, c.request.Request, e.Err)
			return
		}
		c.recordEvent(e)
		if e.Done {
			break
		}
		text.WriteString(e.Token.Text)
	}
	ctx.Response.Header.Set(HeaderRequest, c.request.ID)
	ctx.Response.Header.Set(HeaderOutcome, string(outcome.Answered))
	ctx.SetContentType("application/json")
	// The chunk holds only strings and numbers, so encoding can't fail.
	body, _ := json.Marshal(newChunk(c.request, completionChoice{Text: text.String(), FinishReason: finishLength}))
	ctx.SetBody(body)
}

func (h *handler) parseCompletion(ctx *fasthttp.RequestCtx, cfg settings.SharedConfig) (dispatch.Draft, completionRequest, *outcome.Error) {
	var body completionRequest
	var r dispatch.Draft
	if refusal := checkMethodAndBody(ctx, cfg.Limits); refusal != nil {
		r.ID = h.NewID()
		return r, body, refusal
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		r.ID = h.NewID()
		return r, body, jsonError(err)
	}
	common, refusal := h.newRequest(ctx, cfg, body.Model)
	r.Request = common
	if refusal != nil {
		if refusal.Field == "service" {
			refusal.Field = "model"
		}
		return r, body, refusal
	}
	if refusal := checkCompletion(common.Service, body, cfg.Limits); refusal != nil {
		return r, body, refusal
	}
	r.Prompt = body.Prompt
	r.PromptTokens = countWords(body.Prompt)
	r.MaxTokens = body.MaxTokens
	return r, body, nil
}

// countWords returns the number of words of a text, without a list of them: a prompt may consist of very short ones.
func countWords(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// jsonError converts a decoding error. If a field has the wrong type, the result names the field.
func jsonError(err error) *outcome.Error {
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
