// Package caller serves the callers over HTTP: drafts as server-sent events, plain services,
// and non-idempotent calls under an idempotency key.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
)

// Paths of the callers' interface.
const (
	PathCompletions = "/v1/completions"
	PathServices    = "/v1/services/"
)

// Headers of the callers' interface.
const (
	HeaderWorkspace = "X-Workspace"
	// HeaderDeadline is the time that the caller will wait, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	// HeaderFirstSend with the value true states that the caller never sent the key before.
	HeaderFirstSend = "Idempotency-First-Send"
	// HeaderRequest carries the request's id in answers.
	HeaderRequest = "X-Request-Id"
	// HeaderOutcome carries the outcome in answers.
	HeaderOutcome = "X-Outcome"
)

const (
	maxHeaderBytes = 16 << 10
	maxKeyLength   = 256
	maxDeadline    = time.Hour
	// hardBodyLimit bounds a body before the configured limit is known to apply.
	hardBodyLimit = 16 << 20
)

// Dispatcher carries requests out.
type Dispatcher interface {
	Draft(ctx context.Context, r dispatch.Draft) *ring.Ring[dispatch.DraftEvent]
	Call(ctx context.Context, r dispatch.Call) (backend.CallAnswer, *outcome.Error)
}

// Admitter takes requests in and counts them until they end.
type Admitter interface {
	// Admit waits until the request may start and returns the function that ends it, or the
	// refusal.
	Admit(ctx context.Context, r dispatch.Request, s admission.Size) (release func(answered bool), refusal *outcome.Error)
}

// Options are the parts that a server is built from.
type Options struct {
	Dispatcher Dispatcher
	Admitter   Admitter
	// Config returns the configuration in force.
	Config func() settings.Intent
	// NewID returns an id that was never used before.
	NewID   func() string
	Metrics *metrics.Set
	Log     logr.Logger
}

// handler answers one instance's callers.
type handler struct {
	Options
	ctx context.Context
}

// NewServer returns the HTTP server for callers. Requests end when ctx ends.
func NewServer(ctx context.Context, o Options) *fasthttp.Server {
	h := &handler{Options: o, ctx: ctx}
	return &fasthttp.Server{
		Handler:            h.handle,
		ReadBufferSize:     maxHeaderBytes,
		MaxRequestBodySize: hardBodyLimit,
		ErrorHandler:       writeProtocolError,
		CloseOnShutdown:    true,
		Name:               "balsamlb",
	}
}

func (h *handler) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathCompletions:
		h.completions(ctx)
	case len(path) > len(PathServices) && path[:len(PathServices)] == PathServices:
		h.call(ctx, path[len(PathServices):])
	default:
		writeError(ctx, "", &outcome.Error{Outcome: outcome.NotRun, Code: outcome.CodeNotFound, Field: "path", Message: "no such path"})
	}
}

// request checks what all kinds of request have in common.
func (h *handler) request(ctx *fasthttp.RequestCtx, in settings.Intent, service string) (dispatch.Request, *outcome.Error) {
	r := dispatch.Request{ID: h.NewID()}
	if refusal := checkRequestLine(ctx, in.Limits); refusal != nil {
		return r, refusal
	}
	name := string(ctx.Request.Header.Peek(HeaderWorkspace))
	w, ok := in.Workspaces[name]
	if !ok {
		return r, outcome.BadField(HeaderWorkspace, "unknown workspace "+strconv.Quote(name))
	}
	s, ok := in.Services[service]
	if !ok || !s.Enabled {
		return r, outcome.BadField("service", "unknown service "+strconv.Quote(service))
	}
	deadline, refusal := parseDeadline(string(ctx.Request.Header.Peek(HeaderDeadline)), in.Limits.DefaultDeadline)
	if refusal != nil {
		return r, refusal
	}
	r.Workspace = w
	r.Service = s
	r.Deadline = deadline
	return r, nil
}

func checkRequestLine(ctx *fasthttp.RequestCtx, limits settings.Limits) *outcome.Error {
	if !ctx.IsPost() {
		return outcome.BadField("method", "must be POST")
	}
	if len(ctx.PostBody()) > limits.MaxBodyBytes {
		return outcome.BadField("body", "is longer than "+strconv.Itoa(limits.MaxBodyBytes)+" bytes")
	}
	return nil
}

func parseDeadline(header string, fallback time.Duration) (time.Time, *outcome.Error) {
	if header == "" {
		return time.Now().Add(fallback), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms > maxDeadline.Milliseconds() {
		return time.Time{}, outcome.BadField(HeaderDeadline, "must be a whole number of milliseconds up to an hour")
	}
	if ms <= 0 {
		return time.Time{}, outcome.BadField(HeaderDeadline, "the deadline has passed")
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// call answers a request to a plain service.
func (h *handler) call(ctx *fasthttp.RequestCtx, service string) {
	start := time.Now()
	in := h.Config()
	r, refusal := h.request(ctx, in, service)
	key := string(ctx.Request.Header.Peek(HeaderKey))
	if refusal == nil {
		refusal = checkKey(r.Service, key)
	}
	if refusal != nil {
		h.refuse(ctx, r, keyedRefusal(ctx, in, service, refusal))
		return
	}
	release, refusal := h.Admitter.Admit(h.ctx, r, admission.Size{})
	if refusal != nil {
		h.refuse(ctx, r, keyedRefusal(ctx, in, service, refusal))
		return
	}
	answer, failure := h.Dispatcher.Call(h.ctx, dispatch.Call{
		Request:     r,
		Key:         key,
		FirstSend:   isFirstSend(ctx),
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	})
	release(failure == nil)
	if failure != nil {
		h.refuse(ctx, r, failure)
		return
	}
	h.answered(r)
	h.Metrics.CallSeconds.WithLabelValues(r.Service.Name).Observe(time.Since(start).Seconds())
	ctx.Response.Header.Set(HeaderRequest, r.ID)
	ctx.Response.Header.Set(HeaderOutcome, string(outcome.Answered))
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.SetBody(answer.Body)
}

func isFirstSend(ctx *fasthttp.RequestCtx) bool {
	return string(ctx.Request.Header.Peek(HeaderFirstSend)) == "true"
}

// keyedRefusal returns a refusal that was made without asking the ledger. An earlier send of
// the same key may have run.
func keyedRefusal(ctx *fasthttp.RequestCtx, in settings.Intent, service string, e *outcome.Error) *outcome.Error {
	key := ctx.Request.Header.Peek(HeaderKey)
	s, known := in.Services[service]
	if len(key) == 0 || len(key) > maxKeyLength || known && s.Idempotent {
		return e
	}
	return dispatch.ForCaller(e, isFirstSend(ctx))
}

func checkKey(s settings.Service, key string) *outcome.Error {
	if s.Kind != settings.ServicePlain {
		return outcome.BadField("service", s.Name+" is a draft service; use "+PathCompletions)
	}
	if !s.Idempotent && key == "" {
		return outcome.BadField(HeaderKey, "is required, since calls to "+s.Name+" may not be repeated")
	}
	if len(key) > maxKeyLength {
		return outcome.BadField(HeaderKey, "is longer than "+strconv.Itoa(maxKeyLength)+" bytes")
	}
	return nil
}

// refuse tells the caller how a request without an answer ended, and counts it.
func (h *handler) refuse(ctx *fasthttp.RequestCtx, r dispatch.Request, e *outcome.Error) {
	h.failed(r, e)
	writeError(ctx, r.ID, e)
}

func (h *handler) failed(r dispatch.Request, e *outcome.Error) {
	h.Metrics.Requests.WithLabelValues(r.Service.Name, string(e.Outcome), string(e.Code)).Inc()
}

func (h *handler) answered(r dispatch.Request) {
	h.Metrics.Requests.WithLabelValues(r.Service.Name, string(outcome.Answered), "").Inc()
}

// writeProtocolError answers what can't be read as a request.
func writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var tooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeError(ctx, "", outcome.BadField("body", "is longer than "+strconv.Itoa(hardBodyLimit)+" bytes"))
	case errors.As(err, &tooLong):
		writeError(ctx, "", outcome.BadField("header", "is longer than "+strconv.Itoa(maxHeaderBytes)+" bytes"))
	default:
		writeError(ctx, "", outcome.BadField("http", "the request can't be read: "+err.Error()))
	}
}

// errorBody is the JSON form of an outcome.Error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Code         outcome.Code    `json:"code"`
	Message      string          `json:"message"`
	Field        string          `json:"field,omitempty"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
}

func newErrorBody(e *outcome.Error) errorBody {
	return errorBody{Error: errorDetail{
		Outcome:      e.Outcome,
		Code:         e.Code,
		Message:      e.Message,
		Field:        e.Field,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

func writeError(ctx *fasthttp.RequestCtx, id string, e *outcome.Error) {
	ctx.Response.Reset()
	ctx.SetStatusCode(statusOf(e))
	ctx.Response.Header.Set(HeaderRequest, id)
	ctx.Response.Header.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.SetContentType("application/json")
	// errorBody holds only strings and numbers, which always encode.
	body, _ := json.Marshal(newErrorBody(e))
	ctx.SetBody(append(body, '\n'))
}

func statusOf(e *outcome.Error) int {
	switch e.Code {
	case outcome.CodeBadField:
		return statusOfField(e.Field)
	case outcome.CodeNotFound:
		return fasthttp.StatusNotFound
	case outcome.CodeKeyReused, outcome.CodeQuarantined:
		return fasthttp.StatusUnprocessableEntity
	case outcome.CodeInProgress:
		return fasthttp.StatusConflict
	case outcome.CodeKeyExpired, outcome.CodeAnswerDropped:
		return fasthttp.StatusGone
	case outcome.CodeOverloaded:
		return fasthttp.StatusTooManyRequests
	case outcome.CodeDeadline:
		return fasthttp.StatusGatewayTimeout
	case outcome.CodeServerFailed, outcome.CodeInterrupted:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func statusOfField(field string) int {
	switch field {
	case "body":
		return fasthttp.StatusRequestEntityTooLarge
	case "header":
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	default:
		return fasthttp.StatusBadRequest
	}
}
