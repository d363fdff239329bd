package emulate

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/valyala/fasthttp"
)

// exportTimeout limits the time to fetch an export from another server. After that time, the new
// server rebuilds the cache itself.
const exportTimeout = 300 * time.Millisecond

// kvExport describes the KV cache of one request at one stage, and the activations that the stage
// keeps. The cache itself is not transferred; its size determines the transfer time.
type kvExport struct {
	Layers fleet.Range `json:"layers"`
	// Ran is the number of tokens in the cache that follow the prompt.
	Ran int `json:"ran"`
	// Passed holds the layers that the newest token has passed.
	Passed []pipeline.Pass `json:"passed,omitempty"`
	// Tokens holds the newest tokens whose text the stage knows, in order.
	Tokens []backend.Frame `json:"tokens,omitempty"`
}

// maxExportTokens is the maximum number of token texts in an export.
const maxExportTokens = 64

// exportWait limits the time that an export waits for a pending token to finish.
const exportWait = 200 * time.Millisecond

// handleExport serves the KV cache of a session. The session accepts no more tokens after that.
func (e *engine) handleExport(ctx *fasthttp.RequestCtx, request string) {
	from, to := ctx.QueryArgs().GetUintOrZero("from"), ctx.QueryArgs().GetUintOrZero("to")
	x, ok := e.exportCache(request, fleet.Range{From: from, To: to})
	if !ok {
		ctx.Error("no such stage", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, x)
}

// exportCache stops a session from accepting tokens, waits until its pending token has run, and
// returns its export.
func (e *engine) exportCache(request string, layers fleet.Range) (kvExport, bool) {
	limit := time.After(exportWait)
	for {
		e.mu.Lock()
		s := e.findSession(request, layers)
		if s == nil {
			e.mu.Unlock()
			return kvExport{}, false
		}
		s.exported = true
		x := kvExport{Layers: layers, Ran: s.ran, Passed: s.passes[s.ran-1], Tokens: s.newestTokens()}
		isIdle := s.pending == nil
		changed := s.changed
		e.mu.Unlock()
		if isIdle {
			return x, true
		}
		select {
		case <-changed:
		case <-limit:
			// Another server will rebuild the cache and run the token, so the token must not run
			// here too.
			e.cancel(request)
			return kvExport{}, false
		}
	}
}

// fillCache fills the KV cache of a new session. It imports the cache if another server exports
// it, and rebuilds the missing part from the prompt and the answer so far.
func (e *engine) fillCache(w *stageWriter) {
	open := w.open
	if open.Ready == 0 && open.Import == nil {
		return
	}
	layers := open.Chain[open.Stage].Layers
	x, ok := e.importCache(open)
	if ok {
		e.waitWithKeepAlive(w, e.importCost(open, layers))
		e.counts.recordImport(open.Request, layers, x.Ran)
		e.applyExport(w.session, x)
	}
	if missing := open.Ready - x.Ran; missing > 0 {
		e.waitWithKeepAlive(w, e.rebuildCost(open, missing, !ok))
		e.counts.recordRebuild(open.Request, layers, missing)
	}
}

// applyExport sets the session to the state in which the exporting server stopped.
func (e *engine) applyExport(s *session, x kvExport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ran = max(s.ran, x.Ran)
	s.received = s.ran
	if x.Ran > 0 && x.Passed != nil {
		s.passes[x.Ran-1] = x.Passed
	}
	for _, f := range x.Tokens {
		s.firstToken = min(s.firstToken, f.Index)
		s.storeToken(f)
	}
}

// newestTokens returns the newest tokens whose texts are known, without a gap and in order, up to
// maxExportTokens.
func (s *session) newestTokens() []backend.Frame {
	var out []backend.Frame
	for i := s.ran; i >= 0 && len(out) < maxExportTokens; i-- {
		f, ok := s.tokens[i]
		if !ok && len(out) > 0 {
			break
		}
		if ok {
			out = append(out, f)
		}
	}
	slices.Reverse(out)
	return out
}

func (e *engine) importCost(open backend.OpenStageRequest, layers fleet.Range) time.Duration {
	o := e.fleet.options
	bytes := o.KVBytes * layers.Len() * (open.PromptTokens + open.Ready)
	return o.transferTime(o.serverFor(*open.Import), e.server, bytes)
}

// importCache fetches the export from the server that the instance names. It returns false if it
// gets no export.
func (e *engine) importCache(open backend.OpenStageRequest) (kvExport, bool) {
	var x kvExport
	if open.Import == nil {
		return x, false
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	layers := open.Chain[open.Stage].Layers
	req.SetRequestURI(fmt.Sprintf("http://%s%s%s?from=%d&to=%d", open.Import.Address, PathExport, open.Request, layers.From, layers.To))
	client := newHostClient(open.Import.Address, exportTimeout)
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return x, false
	}
	return x, json.Unmarshal(resp.Body(), &x) == nil
}

// waitWithKeepAlive sleeps for the cost and sends alive frames meanwhile. It returns early if the
// connection breaks.
func (e *engine) waitWithKeepAlive(w *stageWriter, cost time.Duration) {
	for cost > 0 {
		part := min(cost, aliveInterval)
		time.Sleep(part)
		cost -= part
		if cost > 0 && w.send(backend.Frame{Kind: backend.FrameAlive}) != nil {
			return
		}
	}
}
