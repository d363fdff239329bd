package operator

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths of what the policy of an instance knows.
const (
	PathQuarantine = "/v1/quarantine"
	PathMoves      = "/v1/moves"
)

// QuarantineEntry is a request that is a suspect or in quarantine.
type QuarantineEntry struct {
	Fingerprint string `json:"fingerprint"`
	// Quarantined is false for a suspect.
	Quarantined bool      `json:"quarantined"`
	Servers     []string  `json:"servers"`
	Expires     time.Time `json:"expires"`
}

// ReleaseRequest ends a quarantine.
type ReleaseRequest struct {
	Fingerprint string `json:"fingerprint"`
}

// MoveStatus is the progress of one move.
type MoveStatus struct {
	Name    string    `json:"name"`
	Service string    `json:"service"`
	Date    time.Time `json:"date"`
	Total   int       `json:"total"`
	Drained int       `json:"drained"`
	Done    int       `json:"done"`
	// Forecast is zero when it can't be told yet.
	Forecast time.Time `json:"forecast"`
	// Risk says why the date is at risk, or "".
	Risk string `json:"risk,omitempty"`
}

// PolicyBackend is what the policy of an instance shows and changes.
type PolicyBackend interface {
	Quarantine() []QuarantineEntry
	// Release reports whether the fingerprint could be read.
	Release(fingerprint string) bool
	Moves() []MoveStatus
}

func (h *handler) release(ctx *fasthttp.RequestCtx) {
	var r ReleaseRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		writeFailure(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !h.backend.Release(r.Fingerprint) {
		writeFailure(ctx, fasthttp.StatusBadRequest, "fingerprint must be 16 hexadecimal digits")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, r)
}

// Quarantine returns the suspects and the requests in quarantine.
func (c *Client) Quarantine() ([]QuarantineEntry, error) {
	var out []QuarantineEntry
	_, err := c.call(fasthttp.MethodGet, PathQuarantine, nil, &out)
	return out, err
}

// Release ends the quarantine of a request.
func (c *Client) Release(fingerprint string) error {
	r := ReleaseRequest{Fingerprint: fingerprint}
	_, err := c.call(fasthttp.MethodPost, PathQuarantine, r, &r)
	return err
}

// Moves returns the progress of the moves.
func (c *Client) Moves() ([]MoveStatus, error) {
	var out []MoveStatus
	_, err := c.call(fasthttp.MethodGet, PathMoves, nil, &out)
	return out, err
}
