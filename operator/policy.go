package operator

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths of the quarantine and of the moves.
const (
	PathQuarantine = "/v1/quarantine"
	PathMoves      = "/v1/moves"
)

// PartPrefix begins the fingerprint of a part of prompts; the part's ID follows.
const PartPrefix = "part:"

// QuarantineEntry is a request, or a part of prompts, that is suspect or in quarantine.
type QuarantineEntry struct {
	Fingerprint string `json:"fingerprint"`
	// With are the fingerprints of parts that can't be told apart from this one: only requests with
	// all of them are held back.
	With []string `json:"with,omitempty"`
	// Quarantined is false for a suspect request or part.
	Quarantined bool `json:"quarantined"`
	// Servers are the servers that crashed while they ran the request.
	Servers []string  `json:"servers"`
	Expires time.Time `json:"expires"`
}

// ReleaseRequest ends the quarantine of a request.
type ReleaseRequest struct {
	Fingerprint string `json:"fingerprint"`
}

// MoveStatus is the progress of one move.
type MoveStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Date is the time by which the move must be done.
	Date time.Time `json:"date"`
	// Total counts the servers of the move, Drained the servers that accept no new work, and Done
	// the servers that are idle or have departed.
	Total   int `json:"total"`
	Drained int `json:"drained"`
	Done    int `json:"done"`
	// Forecast is the expected end, or zero while it can't be estimated.
	Forecast time.Time `json:"forecast"`
	// Risk is the reason why the date is at risk, or "".
	Risk string `json:"risk,omitempty"`
}

// QuarantineBackend gives access to the quarantine of an instance. Its methods are called
// concurrently.
type QuarantineBackend interface {
	Quarantine() []QuarantineEntry
	// Release ends the quarantine of the request or the part with the fingerprint. It returns false
	// if the fingerprint is malformed.
	Release(fingerprint string) bool
}

// PolicyBackend gives access to the quarantine and the moves of an instance. Its methods are
// called concurrently.
type PolicyBackend interface {
	QuarantineBackend
	Moves() []MoveStatus
}

// HandleQuarantine serves PathQuarantine: GET lists the quarantine, POST releases a request. It
// returns false if the call has another path or method.
func HandleQuarantine(ctx *fasthttp.RequestCtx, b QuarantineBackend) bool {
	switch {
	case string(ctx.Path()) != PathQuarantine:
		return false
	case ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusOK, b.Quarantine())
	case ctx.IsPost():
		release(ctx, b)
	default:
		return false
	}
	return true
}

func release(ctx *fasthttp.RequestCtx, b QuarantineBackend) {
	var r ReleaseRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !b.Release(r.Fingerprint) {
		writeError(ctx, fasthttp.StatusBadRequest, "fingerprint must be 16 hexadecimal digits, or "+PartPrefix+" and the ID of a part")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, r)
}

// Quarantine returns the suspect requests and those in quarantine.
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
