package operator

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/trace"
	"github.com/valyala/fasthttp"
)

// Backend is the instance that the operator API reads and changes. Its methods are called
// concurrently.
type Backend interface {
	Status(ctx context.Context) Status
	Config() config.Document
	// History returns the configuration versions that a control instance retains, oldest first.
	History(ctx context.Context) ([]config.Document, error)
	// Propose replicates a command and returns its result. After an error the command may or may
	// not have been applied.
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
	// Credits returns the credit counts that a control instance keeps.
	Credits(ctx context.Context) ([]CreditCount, error)
	// Lines returns the recorder of the latest log lines.
	Lines() *trace.Recorder
	PolicyBackend
}

const maxConfigBytes = 8 << 20

// Keys checks the keys of operators. It is called concurrently.
type Keys interface {
	// Check returns the name of the operator who holds the key; ok is false for an unknown key.
	Check(key string) (name string, ok bool)
}

// NewServer returns the HTTP server of the operator API. With nil Keys, calls need no key.
func NewServer(b Backend, k Keys) *fasthttp.Server {
	h := &handler{backend: b, keys: k}
	return &fasthttp.Server{Handler: h.handle, ErrorHandler: writeRefusal, MaxRequestBodySize: maxConfigBytes, Name: "balsamlb"}
}

// writeRefusal responds to a call that can't be read or for which there is no memory. It was not run.
func writeRefusal(ctx *fasthttp.RequestCtx, err error) {
	var tooLong *fasthttp.ErrSmallBuffer
	var timeout net.Error
	status := fasthttp.StatusBadRequest
	switch {
	case errors.Is(err, connguard.ErrNoMemory):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &tooLong):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	writeError(ctx, status, "the call was not run: "+err.Error())
}

type handler struct {
	backend Backend
	keys    Keys // nil: calls need no key
}

// Schemes of the Authorization header.
const (
	bearerPrefix = "Bearer "
	basicPrefix  = "Basic "
)

// authorize reports whether the call carries a valid key. If not, it writes the error response.
func (h *handler) authorize(ctx *fasthttp.RequestCtx) bool {
	if h.keys == nil {
		return true
	}
	key, ok := keyFromHeader(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Basic realm="balsamlb"`)
		writeError(ctx, fasthttp.StatusUnauthorized, "a key is required; use balsamctl -key-file")
		return false
	}
	if _, ok := h.keys.Check(key); !ok {
		writeError(ctx, fasthttp.StatusForbidden, "the key is not known to this instance")
		return false
	}
	return true
}

// keyFromHeader returns the key in an Authorization header: the bearer token, or the password
// of basic authentication, which browsers send.
func keyFromHeader(header string) (string, bool) {
	if key, ok := strings.CutPrefix(header, bearerPrefix); ok {
		return key, true
	}
	encoded, ok := strings.CutPrefix(header, basicPrefix)
	if !ok {
		return "", false
	}
	pair, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", false
	}
	_, key, ok := strings.Cut(string(pair), ":")
	return key, ok
}

func (h *handler) handle(ctx *fasthttp.RequestCtx) {
	if !h.authorize(ctx) {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch path := string(ctx.Path()); {
	case path == PathPage && ctx.IsGet():
		writePage(ctx, pageView{
			Status:     h.backend.Status(callCtx),
			Moves:      h.backend.Moves(),
			Quarantine: h.backend.Quarantine(),
		})
	case path == PathStatus && ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, h.backend.Status(callCtx))
	case path == PathConfig && ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, h.backend.Config())
	case path == PathConfig && ctx.IsPost():
		h.change(callCtx, ctx)
	case path == PathHistory && ctx.IsGet():
		h.history(callCtx, ctx)
	case path == PathDrain && ctx.IsPost():
		h.drain(callCtx, ctx)
	case path == PathCredits && ctx.IsGet():
		h.credits(callCtx, ctx)
	case path == PathMoves && ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, h.backend.Moves())
	case path == PathTrace && ctx.IsGet():
		h.trace(ctx)
	case path == PathDecisions && ctx.IsGet():
		h.decisions(ctx)
	case HandleQuarantine(ctx, h.backend):
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (h *handler) drain(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var d DrainRequest
	if err := json.Unmarshal(ctx.PostBody(), &d); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if d.Server == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "server is required")
		return
	}
	c := replica.Command{Drain: &replica.Drain{Server: d.Server, On: d.On, At: time.Now()}}
	if _, err := h.backend.Propose(callCtx, c); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, d)
}

func (h *handler) credits(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	counts, err := h.backend.Credits(callCtx)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, counts)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, errorReply{Error: message})
}
