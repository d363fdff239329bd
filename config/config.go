// Package config decides which configuration is accepted.
//
// A History is a pure state machine that is replicated by the control instances. A change
// is accepted only against the version in force, and a change that is sent again gets its
// first answer.
package config

import (
	"maps"
	"time"
)

// Document is one whole configuration: the base file and an overlay per data centre.
type Document struct {
	Version  uint64            `json:"version"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
	Author   string            `json:"author,omitempty"`
	At       time.Time         `json:"at"`
	ChangeID string            `json:"change_id"`
	// Schema identifies the rules that the leader checked the text by.
	Schema string `json:"schema,omitempty"`
}

// bytes returns the memory that the document takes, about.
func (d Document) bytes() int {
	n := len(d.Base)
	for name, text := range d.Overlays {
		n += len(name) + len(text)
	}
	return n
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
	// Schema is set by the leader once it has checked the text.
	Schema string `json:"schema,omitempty"`
}

// Result is the answer to a change.
type Result struct {
	Accepted bool `json:"accepted"`
	// Version is the version that the change became, or the one in force when it was refused.
	Version uint64 `json:"version"`
	// Current is the version in force when the change was refused.
	Current Document `json:"current,omitzero"`
	// Faults lists the errors that the leader found in the text.
	Faults []string `json:"faults,omitempty"`
}

// Bounds of what a history keeps. The version in force is always kept.
const (
	maxRetainedVersions = 100
	maxRetainedBytes    = 16 << 20
	// maxRetainedChanges bounds the deduplication. A change that is sent again after that
	// is refused, since its version has passed.
	maxRetainedChanges = 10_000
)

// History holds the version in force and those before it.
type History struct {
	documents []Document
	bytes     int
	versions  map[string]uint64 // by change id
	order     []string
}

// NewHistory returns a history with version 0 in force.
func NewHistory() *History {
	return &History{documents: []Document{{}}, versions: make(map[string]uint64)}
}

// Current returns the document in force.
func (h *History) Current() Document { return h.documents[len(h.documents)-1] }

// Documents returns the retained versions, oldest first.
func (h *History) Documents() []Document { return h.documents }

// Apply accepts the change if it was made against the version in force.
func (h *History) Apply(c Change) Result {
	if v, ok := h.versions[c.ID]; ok {
		return Result{Accepted: true, Version: v}
	}
	cur := h.Current()
	if c.Expect != cur.Version {
		return Result{Version: cur.Version, Current: cur}
	}
	doc := Document{
		Version:  cur.Version + 1,
		Base:     c.Base,
		Overlays: maps.Clone(c.Overlays),
		Author:   c.Author,
		At:       c.At,
		ChangeID: c.ID,
		Schema:   c.Schema,
	}
	h.keep(doc)
	h.remember(Accepted{ID: c.ID, Version: doc.Version})
	return Result{Accepted: true, Version: doc.Version}
}

func (h *History) keep(doc Document) {
	h.documents = append(h.documents, doc)
	h.bytes += doc.bytes()
	for len(h.documents) > 1 && (len(h.documents) > maxRetainedVersions || h.bytes > maxRetainedBytes) {
		h.bytes -= h.documents[0].bytes()
		h.documents = h.documents[1:]
	}
}

func (h *History) remember(a Accepted) {
	h.versions[a.ID] = a.Version
	h.order = append(h.order, a.ID)
	if len(h.order) > maxRetainedChanges {
		delete(h.versions, h.order[0])
		h.order = h.order[1:]
	}
}
