package operator

import (
	"net/url"
	"strconv"

	"github.com/balsamlb/balsamlb/trace"
	"github.com/valyala/fasthttp"
)

// maxDecisions bounds the number of lines in one response.
const maxDecisions = 500

// Query parameters of PathTrace and PathDecisions.
const (
	paramRequest = "request"
	paramAfter   = "after"
)

// Decisions are log lines, and the sequence number that the next call passes as the query parameter
// "after".
type Decisions struct {
	Lines []trace.Line `json:"lines"`
	Last  uint64       `json:"last"`
}

func (h *handler) trace(ctx *fasthttp.RequestCtx) {
	id := string(ctx.QueryArgs().Peek(paramRequest))
	if id == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "request is required")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, h.backend.Lines().Request(id))
}

func (h *handler) decisions(ctx *fasthttp.RequestCtx) {
	lines := h.backend.Lines()
	value := string(ctx.QueryArgs().Peek(paramAfter))
	if value == "" {
		writeJSON(ctx, fasthttp.StatusOK, Decisions{Last: lines.Last()})
		return
	}
	after, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "after must be a whole number")
		return
	}
	d := Decisions{Lines: lines.After(after, maxDecisions), Last: after}
	if n := len(d.Lines); n > 0 {
		d.Last = d.Lines[n-1].Sequence
	}
	writeJSON(ctx, fasthttp.StatusOK, d)
}

// Trace returns the log lines of the instance about a request.
func (c *Client) Trace(request string) ([]trace.Line, error) {
	var lines []trace.Line
	_, err := c.call(fasthttp.MethodGet, PathTrace+"?"+paramRequest+"="+url.QueryEscape(request), nil, &lines)
	return lines, err
}

// LastDecision returns the sequence number of the latest log line of the instance.
func (c *Client) LastDecision() (uint64, error) {
	var d Decisions
	_, err := c.call(fasthttp.MethodGet, PathDecisions, nil, &d)
	return d.Last, err
}

// DecisionsAfter returns the log lines after a sequence number.
func (c *Client) DecisionsAfter(after uint64) (Decisions, error) {
	var d Decisions
	path := PathDecisions + "?" + paramAfter + "=" + strconv.FormatUint(after, 10)
	_, err := c.call(fasthttp.MethodGet, path, nil, &d)
	return d, err
}
