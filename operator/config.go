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

// PathHistory serves the retained versions of the configuration, oldest first. Only a control
// instance answers it.
const PathHistory = "/v1/config/history"

// maxChangeIDBytes bounds the id of a change, which the control instances keep.
const maxChangeIDBytes = 128

// ChangeReply is the answer to a configuration change.
type ChangeReply struct {
	config.Result
	// Difference leads from the version in force to the refused change.
	Difference string `json:"difference,omitempty"`
	// Since leads from the version that the change was made against to the one in force, when
	// the instance still knows it.
	Since string `json:"since,omitempty"`
}

func (h *handler) change(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var c config.Change
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeFailure(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if c.ID == "" || len(c.ID) > maxChangeIDBytes {
		writeFailure(ctx, fasthttp.StatusBadRequest, "id is required, of at most 128 bytes")
		return
	}
	if faults := CheckConfig(c.Base, c.Overlays); len(faults) > 0 {
		writeJSON(ctx, fasthttp.StatusUnprocessableEntity, ChangeReply{Result: config.Result{Faults: faults}})
		return
	}
	result, err := h.backend.Propose(callCtx, replica.Command{Change: &c})
	if err != nil {
		writeFailure(ctx, fasthttp.StatusServiceUnavailable, "the change may or may not be accepted; send it again with the same id: "+err.Error())
		return
	}
	if result.Config == nil {
		writeFailure(ctx, fasthttp.StatusInternalServerError, "the answer is not a configuration's")
		return
	}
	writeJSON(ctx, statusOfChange(*result.Config), h.explain(callCtx, c, *result.Config))
}

func statusOfChange(r config.Result) int {
	switch {
	case r.Accepted:
		return fasthttp.StatusOK
	case len(r.Faults) > 0:
		return fasthttp.StatusUnprocessableEntity
	default:
		return fasthttp.StatusConflict
	}
}

// explain adds the difference to a conflict.
func (h *handler) explain(callCtx context.Context, c config.Change, r config.Result) ChangeReply {
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
		writeFailure(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, documents)
}

// CheckConfig returns the errors of a base file and its overlays, each checked on top of the
// base.
func CheckConfig(base string, overlays map[string]string) []string {
	baseFile := settings.File{Name: "base.ini", Text: base}
	reader := settings.NewSharedConfigReader()
	if _, err := reader.Read(baseFile, settings.File{}); err != nil {
		return faultLines(err)
	}
	var faults []string
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		_, err := reader.Read(baseFile, settings.File{Name: name + ".ini", Text: overlays[name]})
		if err != nil {
			faults = append(faults, faultLines(err)...)
		}
	}
	return faults
}

func faultLines(err error) []string {
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
