// Package caller implements the HTTP API for callers: drafts as server-sent events, plain
// services, and non-idempotent calls with an idempotency key.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
)

// Paths of the callers' API.
const (
	PathCompletions = "/v1/completions"
	PathServices    = "/v1/services/"
)

// Headers of the callers' API.
const (
	HeaderWorkspace = "X-Workspace"
	// HeaderDeadline is how long the caller will wait, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	// HeaderFirstSend set to "true" states that the caller has never sent this key before.
	HeaderFirstSend = "Idempotency-First-Send"
	// HeaderRequest carries the request's id in responses.
	HeaderRequest = "X-Request-Id"
	// HeaderOutcome carries the outcome in responses.
	HeaderOutcome = "X-Outcome"
)

// MaxHeaderBytes bounds the head of a request.
const MaxHeaderBytes = 16 << 10

const (
	maxKeyLength = 256
	maxDeadline  = time.Hour
	// absoluteMaxBodyBytes bounds a body while it is read, before the configured limit is applied.
	absoluteMaxBodyBytes = 16 << 20
)

// Dispatcher runs requests on backend servers.
type Dispatcher interface {
	Draft(ctx context.Context, r dispatch.Draft) *ring.Ring[dispatch.DraftEvent]
	Call(ctx context.Context, r dispatch.Call) (backend.CallAnswer, *outcome.Error)
}

// Admitter performs admission control and tracks admitted requests until they end.
type Admitter interface {
	// Admit waits until the request may start and returns a function to call when the request ends,
	// or the refusal.
	Admit(ctx context.Context, r dispatch.Request, s admission.Size) (release func(answered bool), refusal *outcome.Error)
}

// Options are the dependencies of a server.
type Options struct {
	Dispatcher Dispatcher
	Admitter   Admitter
	// Config returns the current configuration.
	Config func() settings.SharedConfig
	// HasConfig reports whether a configuration has come into force; nil means that it has.
	HasConfig func() bool
	// Unconfirmed returns why other instances may have a newer configuration, or ""; nil means that they don't.
	Unconfirmed func() string
	// NewID returns a request id that was never used before.
	NewID   func() string
	Metrics *metrics.Set
	// Relays passes requests on; nil means that none are.
	Relays *Relays
	Log    logr.Logger
}

// handler handles the requests of callers.
type handler struct {
	Options
	ctx context.Context
}

// NewServer returns the HTTP server for callers. Requests end when ctx ends.
func NewServer(ctx context.Context, o Options) *fasthttp.Server {
	h := &handler{Options: o, ctx: ctx}
	return &fasthttp.Server{
		Handler:            h.handle,
		ReadBufferSize:     MaxHeaderBytes,
		MaxRequestBodySize: absoluteMaxBodyBytes,
		ErrorHandler:       h.writeProtocolError,
		CloseOnShutdown:    true,
		Name:               "balsamlb",
	}
}

func (h *handler) handle(ctx *fasthttp.RequestCtx) {
	if h.passOn(ctx) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == PathCompletions:
		h.handleCompletion(ctx)
	case len(path) > len(PathServices) && path[:len(PathServices)] == PathServices:
		h.handleCall(ctx, path[len(PathServices):])
	default:
		writeError(ctx, "", &outcome.Error{Outcome: outcome.NotRun, Code: outcome.CodeNotFound, Field: "path", Message: "no such path"})
	}
}

// newRequest validates the parts that all kinds of request share.
func (h *handler) newRequest(ctx *fasthttp.RequestCtx, cfg settings.SharedConfig, service string) (dispatch.Request, *outcome.Error) {
	r := dispatch.Request{ID: h.NewID()}
	if refusal := checkMethodAndBody(ctx, cfg.Limits); refusal != nil {
		return r, refusal
	}
	name := string(ctx.Request.Header.Peek(HeaderWorkspace))
	w, ok := cfg.Workspaces[name]
	if !ok {
		return r, h.deny(HeaderWorkspace, "unknown workspace "+strconv.Quote(name))
	}
	s, ok := cfg.Services[service]
	if !ok || !s.Enabled {
		return r, h.deny("service", "unknown service "+strconv.Quote(service))
	}
	deadline, refusal := parseDeadline(string(ctx.Request.Header.Peek(HeaderDeadline)), cfg.Limits.DefaultDeadline)
	if refusal != nil {
		return r, refusal
	}
	r.Workspace = w
	r.Service = s
	r.Deadline = deadline
	return r, nil
}

func checkMethodAndBody(ctx *fasthttp.RequestCtx, limits settings.Limits) *outcome.Error {
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

// handleCall handles a call to a plain service.
func (h *handler) handleCall(ctx *fasthttp.RequestCtx, service string) {
	start := time.Now()
	cfg, refusal := h.awaitConfig()
	r := dispatch.Request{ID: h.NewID()}
	if refusal == nil {
		r, refusal = h.newRequest(ctx, cfg, service)
	}
	key := string(ctx.Request.Header.Peek(HeaderKey))
	if refusal == nil {
		refusal = checkKindAndKey(r.Service, key)
	}
	if refusal != nil {
		h.writeFailure(ctx, r, adjustKeyedRefusal(ctx, cfg, service, refusal))
		return
	}
	release, refusal := h.Admitter.Admit(h.ctx, r, admission.Size{})
	if refusal != nil {
		h.writeFailure(ctx, r, adjustKeyedRefusal(ctx, cfg, service, refusal))
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
		h.writeFailure(ctx, r, failure)
		return
	}
	h.countAnswered(r)
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

// adjustKeyedRefusal adjusts a refusal that was decided without consulting the ledger. Unless the
// service is known to be idempotent, such a refusal can't rule out that an earlier request with the
// same key has run.
func adjustKeyedRefusal(ctx *fasthttp.RequestCtx, cfg settings.SharedConfig, service string, e *outcome.Error) *outcome.Error {
	key := ctx.Request.Header.Peek(HeaderKey)
	s, known := cfg.Services[service]
	if len(key) == 0 || len(key) > maxKeyLength || known && s.Idempotent {
		return e
	}
	return dispatch.ForCaller(e, isFirstSend(ctx))
}

// checkKindAndKey checks that the service is a plain one and that the idempotency key fits it.
func checkKindAndKey(s settings.Service, key string) *outcome.Error {
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

// writeFailure writes the error response of a request and counts it in the metrics.
func (h *handler) writeFailure(ctx *fasthttp.RequestCtx, r dispatch.Request, e *outcome.Error) {
	h.countFailed(r, e)
	writeError(ctx, r.ID, e)
}

func (h *handler) countFailed(r dispatch.Request, e *outcome.Error) {
	h.Metrics.Requests.WithLabelValues(r.Service.Name, string(e.Outcome), string(e.Code)).Inc()
}

func (h *handler) countAnswered(r dispatch.Request) {
	h.Metrics.Requests.WithLabelValues(r.Service.Name, string(outcome.Answered), "").Inc()
}

// writeProtocolError responds to a request that can't be read or for which there is no memory. It was not passed on.
func (h *handler) writeProtocolError(ctx *fasthttp.RequestCtx, err error) {
	service, _ := strings.CutPrefix(string(ctx.Path()), PathServices)
	writeError(ctx, "", adjustKeyedRefusal(ctx, h.Config(), service, protocolError(err)))
}

func protocolError(err error) *outcome.Error {
	var tooLong *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, connguard.ErrNoMemory):
		return &outcome.Error{Outcome: outcome.NotRun, Code: outcome.CodeOverloaded, Message: "no memory is left for the request", RetryAfter: time.Second}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return outcome.BadField("body", "is longer than "+strconv.Itoa(absoluteMaxBodyBytes)+" bytes")
	case errors.As(err, &tooLong):
		return outcome.BadField("header", "is longer than "+strconv.Itoa(MaxHeaderBytes)+" bytes")
	default:
		return outcome.BadField("http", "the request can't be read: "+err.Error())
	}
}

const (
	// handledFactor is the memory that a request takes for each byte of its body: copies of it are decoded, and encoded for
	// backend servers.
	handledFactor = 6
	// escapedBytes is what a byte of a prompt may take besides that becomes several in JSON.
	escapedBytes = 20
)

// Cost returns how much memory it may take to handle a request, besides its head and body.
func Cost(ctx *fasthttp.RequestCtx) int64 {
	body := ctx.Request.Body()
	cost := handledFactor * int64(len(body))
	if string(ctx.Path()) != PathCompletions {
		return cost
	}
	for _, escaped := range []string{"<", ">", "&"} {
		cost += escapedBytes * int64(bytes.Count(body, []byte(escaped)))
	}
	if !utf8.Valid(body) {
		cost += escapedBytes * int64(len(body))
	}
	return cost
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
	ctx.SetStatusCode(httpStatus(e))
	ctx.Response.Header.Set(HeaderRequest, id)
	ctx.Response.Header.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	ctx.SetContentType("application/json")
	// errorBody holds only strings and numbers, so encoding can't fail.
	body, _ := json.Marshal(newErrorBody(e))
	ctx.SetBody(append(body, '\n'))
}

func httpStatus(e *outcome.Error) int {
	switch e.Code {
	case outcome.CodeBadField:
		return fieldStatus(e.Field)
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

func fieldStatus(field string) int {
	switch field {
	case "body":
		return fasthttp.StatusRequestEntityTooLarge
	case "header":
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	default:
		return fasthttp.StatusBadRequest
	}
}
