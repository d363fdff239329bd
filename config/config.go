// Package config decides which configuration changes are accepted.
//
// A History is a pure state machine that the control instances replicate. A change is accepted
// only if it was made against the current version. A change that was accepted and is sent again
// gets the same result again.
package config

import (
	"maps"
	"time"
)

// Document is one version of the configuration: the base file and one overlay per data centre.
type Document struct {
	Version  uint64            `json:"version"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
	Author   string            `json:"author,omitempty"`
	At       time.Time         `json:"at"`
	ChangeID string            `json:"change_id"`
	// Schema identifies the rules by which the leader validated the text.
	Schema string `json:"schema,omitempty"`
}

// size returns the approximate size of the document in memory.
func (d Document) size() int {
	n := len(d.Base)
	for name, text := range d.Overlays {
		n += len(name) + len(text)
	}
	return n
}

// Change is a request to replace the configuration.
type Change struct {
	// ID identifies the change. It stays the same when the change is sent again.
	ID string `json:"id"`
	// Expect is the version that the change was made against. The change is refused if Expect is not
	// the current version.
	Expect   uint64            `json:"expect"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
	Author   string            `json:"author,omitempty"`
	At       time.Time         `json:"at"`
	// Schema is set by the leader after it has validated the text.
	Schema string `json:"schema,omitempty"`
}

// Result is the result of a change.
type Result struct {
	Accepted bool `json:"accepted"`
	// Version is the version that the change created. If the change was refused because of
	// Expect, it is the current version.
	Version uint64 `json:"version"`
	// Current is the current document. It is set if the change was refused because of Expect.
	Current Document `json:"current,omitzero"`
	// Faults lists the errors that the leader found when it validated the text.
	Faults []string `json:"faults,omitempty"`
}

// Limits of a history's contents. The current version is always kept.
const (
	maxRetainedVersions = 100
	maxRetainedBytes    = 16 << 20
	// maxRetainedChanges is the number of accepted changes that are remembered to recognize
	// duplicates. A change that is sent again after it has been forgotten is refused, since it was
	// made against an old version.
	maxRetainedChanges = 10_000
)

// History holds the current version of the configuration and earlier ones. It is not safe for
// concurrent use.
type History struct {
	documents       []Document        // oldest first
	totalSize       int               // the size of all documents, in bytes
	versionByChange map[string]uint64 // by change ID
	changeIDs       []string          // the change IDs, oldest first
}

// NewHistory returns a history whose current version is 0, an empty document.
func NewHistory() *History {
	return &History{documents: []Document{{}}, versionByChange: make(map[string]uint64)}
}

// Current returns the current document.
func (h *History) Current() Document { return h.documents[len(h.documents)-1] }

// Documents returns the retained versions, oldest first. The caller must not modify the slice.
func (h *History) Documents() []Document { return h.documents }

// Apply accepts the change if it was made against the current version.
func (h *History) Apply(c Change) Result {
	if v, ok := h.versionByChange[c.ID]; ok {
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
	h.appendDocument(doc)
	h.recordAccepted(AcceptedChange{ID: c.ID, Version: doc.Version})
	return Result{Accepted: true, Version: doc.Version}
}

func (h *History) appendDocument(doc Document) {
	h.documents = append(h.documents, doc)
	h.totalSize += doc.size()
	for len(h.documents) > 1 && (len(h.documents) > maxRetainedVersions || h.totalSize > maxRetainedBytes) {
		h.totalSize -= h.documents[0].size()
		h.documents = h.documents[1:]
	}
}

func (h *History) recordAccepted(a AcceptedChange) {
	h.versionByChange[a.ID] = a.Version
	h.changeIDs = append(h.changeIDs, a.ID)
	if len(h.changeIDs) > maxRetainedChanges {
		delete(h.versionByChange, h.changeIDs[0])
		h.changeIDs = h.changeIDs[1:]
	}
}
