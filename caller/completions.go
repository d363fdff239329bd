package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
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

// completionChunk is one server-sent event, or the whole answer.
type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	TokenIndex   *int   `json:"token_index,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

const (
	objectCompletion = "text_completion"
	finishLength     = "length"
	// keepAliveInterval is how often a quiet stream carries a comment, which also shows
	// whether the caller is still there.
	keepAliveInterval = time.Second
	// endMark is the explicit end of a whole answer.
	endMark = "data: [DONE]\n\n"
)

// completions answers a request for text.
func (h *handler) completions(ctx *fasthttp.RequestCtx) {
	in := h.Intent()
	r, body, refusal := h.parseCompletion(ctx, in)
	if refusal != nil {
		writeError(ctx, r.ID, refusal)
		return
	}
	release, refusal := h.Admitter.Admit(r.Workspace)
	if refusal != nil {
		writeError(ctx, r.ID, refusal)
		return
	}
	runCtx, cancel := context.WithCancel(h.ctx)
	events := h.Dispatcher.Draft(runCtx, r)
	end := func() {
		cancel()
		release()
	}
	// The status can be chosen until the first event, so that a request that never
	// started is refused as such.
	first := <-events.Items()
	if first.Err != nil {
		end()
		writeError(ctx, r.ID, first.Err)
		return
	}
	ctx.Response.Header.Set(HeaderRequest, r.ID)
	if !body.Stream {
		defer end()
		writeWhole(ctx, r, first, events)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer end()
		writeStream(w, r, first, events)
	})
}

func (h *handler) parseCompletion(ctx *fasthttp.RequestCtx, in settings.Intent) (dispatch.Draft, completionRequest, *outcome.Error) {
	var body completionRequest
	var r dispatch.Draft
	parseErr := json.Unmarshal(ctx.PostBody(), &body)
	common, refusal := h.request(ctx, in, body.Model)
	r.Request = common
	if parseErr != nil && len(ctx.PostBody()) <= in.Limits.MaxBodyBytes && ctx.IsPost() {
		return r, body, &outcome.Error{Outcome: outcome.NotRun, Code: outcome.CodeBadField, Field: "json", Message: parseErr.Error()}
	}
	if refusal != nil {
		if refusal.Field == "service" {
			refusal.Field = "model"
		}
		return r, body, refusal
	}
	if common.Service.Kind != settings.ServiceDraft {
		return r, body, outcome.BadField("model", body.Model+" is not a draft service")
	}
	if body.Prompt == "" {
		return r, body, outcome.BadField("prompt", "is required")
	}
	if body.MaxTokens < 1 || body.MaxTokens > in.Limits.MaxTokens {
		return r, body, outcome.BadField("max_tokens", "must be from 1 to "+strconv.Itoa(in.Limits.MaxTokens))
	}
	r.Prompt = body.Prompt
	r.PromptTokens = len(strings.Fields(body.Prompt))
	r.MaxTokens = body.MaxTokens
	return r, body, nil
}

// writeStream sends events until the last one. Only a whole answer gets the end mark; any
// other end is told as an error inside the stream.
func writeStream(w *bufio.Writer, r dispatch.Draft, e dispatch.DraftEvent, events *ring.Ring[dispatch.DraftEvent]) {
	alive := time.NewTicker(keepAliveInterval)
	defer alive.Stop()
	for {
		writeEvent(w, r, e)
		if w.Flush() != nil || e.Done || e.Err != nil {
			return
		}
		var ok bool
		if e, ok = nextEvent(w, events, alive); !ok {
			return
		}
	}
}

// nextEvent waits for an event, sending comments meanwhile; false means that the caller has
// gone.
func nextEvent(w *bufio.Writer, events *ring.Ring[dispatch.DraftEvent], alive *time.Ticker) (dispatch.DraftEvent, bool) {
	for {
		select {
		case e := <-events.Items():
			return e, true
		case <-alive.C:
			_, _ = w.WriteString(": alive\n\n")
			if w.Flush() != nil {
				return dispatch.DraftEvent{}, false
			}
		}
	}
}

func writeEvent(w *bufio.Writer, r dispatch.Draft, e dispatch.DraftEvent) {
	switch {
	case e.Err != nil:
		writeData(w, newErrorBody(e.Err))
	case e.Done:
		writeData(w, newChunk(r, completionChoice{FinishReason: finishLength}))
		// A failed write is seen by the Flush that follows.
		_, _ = w.WriteString(endMark)
	default:
		writeData(w, newChunk(r, tokenChoice(e.Token)))
	}
}

func writeData(w *bufio.Writer, v any) {
	// The values hold only strings and numbers, which always encode.
	data, _ := json.Marshal(v)
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

// writeWhole collects the answer and sends it at once.
func writeWhole(ctx *fasthttp.RequestCtx, r dispatch.Draft, e dispatch.DraftEvent, events *ring.Ring[dispatch.DraftEvent]) {
	var text strings.Builder
	for !e.Done {
		if e.Err != nil {
			writeError(ctx, r.ID, e.Err)
			return
		}
		text.WriteString(e.Token.Text)
		e = <-events.Items()
	}
	ctx.Response.Header.Set(HeaderOutcome, string(outcome.Answered))
	ctx.SetContentType("application/json")
	// The chunk holds only strings and numbers, which always encode.
	body, _ := json.Marshal(newChunk(r, completionChoice{Text: text.String(), FinishReason: finishLength}))
	ctx.SetBody(body)
}

func newChunk(r dispatch.Draft, c completionChoice) completionChunk {
	return completionChunk{ID: r.ID, Object: objectCompletion, Model: r.Service.Name, Choices: []completionChoice{c}}
}

func tokenChoice(t pipeline.Token) completionChoice {
	return completionChoice{Text: t.Text, TokenIndex: &t.Index}
}
