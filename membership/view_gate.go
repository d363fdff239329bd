package membership

import "time"

// joinTimeout is how long a new instance waits for confirmation that its view is the newest.
// After that it accepts the newest view known to its peers.
const joinTimeout = 3 * time.Second

// ViewGate decides when an instance that has started may serve with its view. It prevents the
// instance from serving with an outdated view. It is not safe for concurrent use.
type ViewGate struct {
	started time.Time
	newest  uint64
	isOpen  bool
}

// NewViewGate returns a closed gate for an instance that starts at the given time.
func NewViewGate(now time.Time) *ViewGate { return &ViewGate{started: now} }

// ObservePeerIndex records the index of the view in force at a peer.
func (g *ViewGate) ObservePeerIndex(index uint64) { g.newest = max(g.newest, index) }

// IsOpen reports whether the instance may serve with the view of the given index. confirmed is true
// if a quorum had this view at some time since the start. Index 0 means no view. Once open, the
// gate stays open.
func (g *ViewGate) IsOpen(now time.Time, index uint64, confirmed bool) bool {
	if g.isOpen {
		return true
	}
	isNewest := index > 0 && index >= g.newest
	g.isOpen = isNewest && (confirmed || now.Sub(g.started) >= joinTimeout)
	return g.isOpen
}
