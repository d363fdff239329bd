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

// exportTimeout bounds the fetch of an export; then the cache is rebuilt.
const exportTimeout = 300 * time.Millisecond

// kvExport is the KV cache of one request at one stage, and the activations that the stage
// keeps. The cache itself is only accounted for, by its size.
type kvExport struct {
	Layers fleet.Range `json:"layers"`
	// Ran is the number of tokens that the cache holds beside the prompt.
	Ran int `json:"ran"`
	// Passed are the layers that the newest token has passed.
	Passed []pipeline.Pass `json:"passed,omitempty"`
	// Tokens are the newest tokens that the stage knows, in order.
	Tokens []backend.Frame `json:"tokens,omitempty"`
}

// maxExportTokens bounds the texts in an export.
const maxExportTokens = 64

// exportWait bounds the wait for the token that runs while a KV cache is exported.
const exportWait = 200 * time.Millisecond

// handleExport serves the KV cache of a session, which takes no more tokens after that.
func (e *engine) handleExport(ctx *fasthttp.RequestCtx, request string) {
	from, to := ctx.QueryArgs().GetUintOrZero("from"), ctx.QueryArgs().GetUintOrZero("to")
	x, ok := e.exportCache(request, fleet.Range{From: from, To: to})
	if !ok {
		ctx.Error("no such stage", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, x)
}

// exportCache ends the stage's work once the token that it holds has run.
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
			// Another server rebuilds the cache, so the token must not run here.
			e.cancel(request)
			return kvExport{}, false
		}
	}
}

// fillCache gives a new session its KV cache: by import where an export exists, and by running
// the prompt and the answer so far through the same layers where not.
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

// applyExport continues where the exporting server stopped.
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

// newestTokens returns the newest texts without a gap.
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

func (e *engine) importCost(open backend.StageOpen, layers fleet.Range) time.Duration {
	o := e.fleet.options
	bytes := o.KVBytes * layers.Len() * (open.PromptTokens + open.Ready)
	return o.transferTime(o.serverFor(*open.Import), e.server, bytes)
}

// importCache asks the server that may export the cache.
func (e *engine) importCache(open backend.StageOpen) (kvExport, bool) {
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

// waitWithKeepAlive spends a time and shows meanwhile that the connection is alive.
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
