package control

import (
	"context"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

// proposal is a command that waits for its result.
type proposal struct {
	data   []byte
	result chan proposalResult
}

type proposalResult struct {
	result replica.Result
	err    error
}

// waiter is a proposal whose entry is in the log. There are at most as many as the node
// takes uncommitted entries.
type waiter struct {
	term     uint64
	proposal *proposal
}

// Propose runs a command through the log and returns its result. After an error other than
// consensus.ErrNotLeader from a full queue the command may still be applied.
func (h *Host) Propose(ctx context.Context, data []byte) (replica.Result, error) {
	p := &proposal{data: data, result: make(chan proposalResult, 1)}
	if err := h.inputs.Push(ctx, input{proposal: p}); err != nil {
		return replica.Result{}, eris.Wrap(err, "control: queue proposal")
	}
	select {
	case r := <-p.result:
		return r.result, r.err
	case <-h.ended:
		return replica.Result{}, ErrStopped
	case <-ctx.Done():
		return replica.Result{}, eris.Wrap(ctx.Err(), "control: wait for commit")
	}
}

func (h *Host) propose(p *proposal) {
	index, term, err := h.node.Propose(p.data)
	if err != nil {
		p.result <- proposalResult{err: err}
		return
	}
	h.waiting[index] = waiter{term: term, proposal: p}
}

// applyAll puts a snapshot in the place of the state and applies the committed entries.
func (h *Host) applyAll(r consensus.Ready) error {
	if r.Snapshot != nil {
		state, err := restore(*r.Snapshot)
		if err != nil {
			return err
		}
		h.state = state
		h.snapshots = snapshotPolicy{last: len(r.Snapshot.Data)}
	}
	for _, e := range r.Committed {
		h.apply(e)
	}
	return nil
}

func (h *Host) apply(e consensus.Entry) {
	var result replica.Result
	if e.Kind == consensus.EntryCommand && len(e.Data) > 0 {
		c, err := replica.Decode(e.Data)
		if err != nil {
			h.log.Error(err, "command can't be decoded", "index", e.Index)
		} else {
			result = h.state.Apply(e.Index, c)
		}
	}
	h.snapshots.applied(e)
	w, ok := h.waiting[e.Index]
	if !ok {
		return
	}
	delete(h.waiting, e.Index)
	if w.term != e.Term {
		w.proposal.result <- proposalResult{err: ErrOverwritten}
		return
	}
	w.proposal.result <- proposalResult{result: result}
}

// failWaiting tells the proposers that this replica can't say what becomes of their
// proposals. They may still commit.
func (h *Host) failWaiting() {
	for index, w := range h.waiting {
		delete(h.waiting, index)
		w.proposal.result <- proposalResult{err: consensus.ErrNotLeader}
	}
}
