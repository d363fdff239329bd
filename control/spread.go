package control

import "github.com/balsamlb/balsamlb/replica"

// A change of what all instances follow has its result once a quorum of the replicas has stored that it is committed, and so
// applies it, also after a loss of power. If the leader alone knew, the change would be in force nowhere once the leader
// is lost, until another one is elected. Replicas store a commit with the entry after it, so the leader adds an empty one.

// applyCommand applies a command and records whether it changed what all instances follow.
func (h *Host) applyCommand(index uint64, c replica.Command) replica.Result {
	view, version := h.state.ViewIndex(), h.state.Routing.Version
	result := h.state.Apply(index, c)
	if h.state.ViewIndex() != view || h.state.Routing.Version != version {
		h.followedChange = index
	}
	return result
}

// spreadCommits adds the entries that spread the commits of applied changes. It must not be called between Ready and
// Advance.
func (h *Host) spreadCommits() {
	for _, w := range h.spreading {
		index, term, err := h.node.Propose(nil)
		if err != nil {
			w.resolve(proposalResult{err: err})
			continue
		}
		w.term = term
		h.waiters[index] = w
	}
	h.spreading = nil
}
