package control

import (
	"errors"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
)

// applyCommand applies a command and records whether it changed what all instances follow.
func (h *Host) applyCommand(index uint64, c replica.Command) replica.Result {
	view, version := h.state.ViewIndex(), h.state.Routing.Version
	result := h.state.Apply(index, c)
	if h.state.ViewIndex() != view || h.state.Routing.Version != version {
		h.followedChange = index
	}
	return result
}

// spreadCommits adds an empty entry for each change of what all instances follow that was just applied. The change has its
// result once that entry is committed: a replica stores a commit with the entry after it, so by then a quorum has stored that the
// change is committed. If the leader alone knew, the change would be in force nowhere once the leader is lost, until
// another one is elected.
//
// A change waits while the log takes no more entries: ErrBusy would mean that it was not applied. spreadCommits must not be
// called between Ready and Advance.
func (h *Host) spreadCommits() {
	for len(h.spreading) > 0 {
		w := h.spreading[0]
		index, term, err := h.node.Propose(nil)
		if errors.Is(err, consensus.ErrBusy) {
			return
		}
		h.spreading = h.spreading[1:]
		if err != nil {
			w.resolve(proposalResult{err: err})
			continue
		}
		w.term = term
		h.waiters[index] = w
	}
}
