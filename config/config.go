// Package config decides which configuration is accepted.
//
// A History is a pure state machine that is replicated by the control instances. A change
// is accepted only against the version in force, and a change that is sent again gets its
// first answer.
package config

import "time"

// Document is one whole configuration: the base file and an overlay per data centre.
type Document struct {
	Version  uint64            `json:"version"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
	Author   string            `json:"author,omitempty"`
	At       time.Time         `json:"at"`
	ChangeID string            `json:"change_id"`
}

// Change asks to replace the configuration.
type Change struct {
	// ID identifies the change over its re-sends.
	ID string `json:"id"`
	// Expect is the version that the change was made against.
	Expect   uint64            `json:"expect"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
	Author   string            `json:"author,omitempty"`
	At       time.Time         `json:"at"`
}

// Result is the answer to a change.
type Result struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	// Current is the version in force when the change was refused.
	Current Document `json:"current,omitzero"`
}

// maxRetainedVersions bounds the history; maxRetainedChanges bounds the deduplication.
const (
	maxRetainedVersions = 100
	maxRetainedChanges  = 10_000
)

// History holds the version in force and those before it.
type History struct {
	documents []Document
	results   map[string]Result
	order     []string
}

// NewHistory returns a history with version 0 in force.
func NewHistory() *History {
	return &History{documents: []Document{{}}, results: make(map[string]Result)}
}

// Current returns the document in force.
func (h *History) Current() Document { return h.documents[len(h.documents)-1] }

// Documents returns the retained versions, oldest first.
func (h *History) Documents() []Document { return h.documents }

// Apply accepts the change if it was made against the version in force.
func (h *History) Apply(c Change) Result {
	if r, ok := h.results[c.ID]; ok {
		return r
	}
	cur := h.Current()
	if c.Expect != cur.Version {
		return Result{Version: cur.Version, Current: cur}
	}
	doc := Document{
		Version:  cur.Version + 1,
		Base:     c.Base,
		Overlays: c.Overlays,
		Author:   c.Author,
		At:       c.At,
		ChangeID: c.ID,
	}
	h.documents = append(h.documents, doc)
	if len(h.documents) > maxRetainedVersions {
		h.documents = h.documents[1:]
	}
	r := Result{Accepted: true, Version: doc.Version}
	h.remember(c.ID, r)
	return r
}

func (h *History) remember(id string, r Result) {
	h.results[id] = r
	h.order = append(h.order, id)
	if len(h.order) > maxRetainedChanges {
		delete(h.results, h.order[0])
		h.order = h.order[1:]
	}
}
