package membership

import "time"

// joinPatience is how long a new instance waits for a confirmation that its view is the
// newest before it is content with the newest that its peers have.
const joinPatience = 3 * time.Second

// ViewGate decides when an instance that has started may serve with its view, so that it
// doesn't serve with one that the system has left behind.
type ViewGate struct {
	started time.Time
	newest  uint64
	isOpen  bool
}

// NewViewGate returns a gate for an instance that starts now.
func NewViewGate(now time.Time) *ViewGate { return &ViewGate{started: now} }

// ObservePeerIndex takes the index of the view in force at a peer.
func (g *ViewGate) ObservePeerIndex(index uint64) { g.newest = max(g.newest, index) }

// IsOpen reports whether the instance may serve with the view of the index, which is
// confirmed when a quorum stood behind it at some time since the start. Index 0 is no view.
// An open gate stays open.
func (g *ViewGate) IsOpen(now time.Time, index uint64, confirmed bool) bool {
	if g.isOpen {
		return true
	}
	isNewest := index > 0 && index >= g.newest
	g.isOpen = isNewest && (confirmed || now.Sub(g.started) >= joinPatience)
	return g.isOpen
}
