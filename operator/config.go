package operator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/valyala/fasthttp"
)

// PathHistory serves the retained versions of the configuration, oldest first, on control
// instances only.
const PathHistory = "/v1/config/history"

// maxChangeIDBytes bounds the id of a change, since the control instances store it.
const maxChangeIDBytes = 128

// ChangeReply is the response to a configuration change.
type ChangeReply struct {
	config.Result
	// Difference is the diff from the version in force to the refused change.
	Difference string `json:"difference,omitempty"`
	// Since is the diff from the version that the change was based on to the version in force.
	// It is empty when the instance no longer has the older version.
	Since string `json:"since,omitempty"`
}

func (h *handler) change(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var c config.Change
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if c.ID == "" || len(c.ID) > maxChangeIDBytes {
		writeError(ctx, fasthttp.StatusBadRequest, "id is required, of at most 128 bytes")
		return
	}
	if faults := CheckConfig(c.Base, c.Overlays); len(faults) > 0 {
		writeJSON(ctx, fasthttp.StatusUnprocessableEntity, ChangeReply{Result: config.Result{Faults: faults}})
		return
	}
	result, err := h.backend.Propose(callCtx, replica.Command{Change: &c})
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "the change may or may not be accepted; send it again with the same id: "+err.Error())
		return
	}
	if result.Config == nil {
		writeError(ctx, fasthttp.StatusInternalServerError, "the answer is not a configuration's")
		return
	}
	writeJSON(ctx, changeStatusCode(*result.Config), h.buildChangeReply(callCtx, c, *result.Config))
}

func changeStatusCode(r config.Result) int {
	switch {
	case r.Accepted:
		return fasthttp.StatusOK
	case len(r.Faults) > 0:
		return fasthttp.StatusUnprocessableEntity
	default:
		return fasthttp.StatusConflict
	}
}

// buildChangeReply returns the reply to a change. For a conflict, it adds the diffs.
func (h *handler) buildChangeReply(callCtx context.Context, c config.Change, r config.Result) ChangeReply {
	reply := ChangeReply{Result: r}
	if r.Accepted || len(r.Faults) > 0 {
		return reply
	}
	reply.Difference = config.Diff(r.Current, config.Document{Base: c.Base, Overlays: c.Overlays})
	documents, err := h.backend.History(callCtx)
	if err != nil {
		return reply
	}
	for _, d := range documents {
		if d.Version == c.Expect {
			reply.Since = config.Diff(d, r.Current)
		}
	}
	return reply
}

func (h *handler) history(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	documents, err := h.backend.History(callCtx)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, documents)
}

// CheckConfig returns the errors in a base file and its overlays. Each overlay is checked on
// top of the base; overlays are skipped when the base has errors.
func CheckConfig(base string, overlays map[string]string) []string {
	baseFile := settings.File{Name: "base.ini", Text: base}
	reader := settings.NewSharedConfigReader()
	if _, err := reader.Read(baseFile, settings.File{}); err != nil {
		return errorLines(err)
	}
	var faults []string
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		_, err := reader.Read(baseFile, settings.File{Name: name + ".ini", Text: overlays[name]})
		if err != nil {
			faults = append(faults, errorLines(err)...)
		}
	}
	return faults
}

func errorLines(err error) []string {
	var fs settings.Faults
	if !errors.As(err, &fs) {
		return []string{err.Error()}
	}
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return lines
}

// History returns the retained versions of the configuration, oldest first.
func (c *Client) History() ([]config.Document, error) {
	var documents []config.Document
	_, err := c.call(fasthttp.MethodGet, PathHistory, nil, &documents)
	return documents, err
}
