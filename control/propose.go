package control

import (
	"bytes"
	"context"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

// proposal is a command whose proposer waits for the result.
type proposal struct {
	data []byte
	// sent is the command as its proposer has sent it, or nil if that is data.
	sent   []byte
	result chan proposalResult
}

// identity returns what is equal if the command is sent again.
func (p *proposal) identity() []byte {
	if p.sent != nil {
		return p.sent
	}
	return p.data
}

type proposalResult struct {
	result replica.Result
	err    error
}

// waiter is an entry in the log with the proposals that wait for it. The node's limit on uncommitted entries also
// bounds the number of waiters.
type waiter struct {
	term      uint64
	identity  []byte
	proposals []*proposal
	// commit is the index up to which the log was known to be committed when the command was added.
	commit uint64
	// result is that of the command while the waiter waits for the entry that spreads its commit, else nil.
	result *replica.Result
}

func (w *waiter) resolve(r proposalResult) {
	for _, p := range w.proposals {
		p.result <- r
	}
}

// Propose appends a command to the log and returns its result after it is applied. After any error
// but consensus.ErrBusy the command may still be applied, even after consensus.ErrNotLeader, which
// pending proposals also receive when this replica loses the leadership.
func (h *Host) Propose(ctx context.Context, data []byte) (replica.Result, error) {
	return h.ProposePrepared(ctx, nil, data)
}

// ProposePrepared is Propose for a command to which this instance has added something, such as a timestamp. sent is the
// command as it came, by which it is recognized if it is sent again.
func (h *Host) ProposePrepared(ctx context.Context, sent, data []byte) (replica.Result, error) {
	p := &proposal{data: data, sent: sent, result: make(chan proposalResult, 1)}
	if err := h.inputQueue.Push(ctx, input{proposal: p}); err != nil {
		return replica.Result{}, eris.Wrap(err, "control: queue proposal")
	}
	select {
	case r := <-p.result:
		return r.result, r.err
	case <-h.stopped:
		return replica.Result{}, ErrStopped
	case <-ctx.Done():
		return replica.Result{}, eris.Wrap(ctx.Err(), "control: wait for commit")
	}
}

func (h *Host) propose(p *proposal) {
	if err := checkProposal(p.data, h.state.Level()); err != nil {
		h.log.Error(err, "refused a command")
		p.result <- proposalResult{err: err}
		return
	}
	if w := h.uncommitted(p.identity()); w != nil {
		w.proposals = append(w.proposals, p)
		return
	}
	commit := h.node.Commit()
	index, term, err := h.node.Propose(p.data)
	if err != nil {
		p.result <- proposalResult{err: err}
		return
	}
	h.waiters[index] = &waiter{term: term, identity: p.identity(), proposals: []*proposal{p}, commit: commit}
}

// uncommitted returns the entry with the same command that waits for its commit, or for that to be spread, or nil. A proposer that sends a
// command again waits for that entry, instead of adding another one to a log that is slow already. A newer leader may have
// committed that entry already, and others after it, so there is none for a command that isn't repeatable.
func (h *Host) uncommitted(identity []byte) *waiter {
	for _, w := range h.waiters {
		if len(w.proposals) < maxProposals && bytes.Equal(w.identity, identity) {
			if replica.IsRepeatable(identity) {
				return w
			}
			return nil
		}
	}
	return nil
}

// maxProposals bounds the proposals that wait for one entry.
const maxProposals = 1024

// applyReady replaces the state with the snapshot, if there is one, and applies the committed
// entries.
func (h *Host) applyReady(r consensus.Ready) error {
	if r.Snapshot != nil {
		state, err := restore(*r.Snapshot)
		if err != nil {
			return err
		}
		h.state, h.followedChange = state, 0
		h.snapshotPolicy = snapshotPolicy{lastSnapshotBytes: len(r.Snapshot.Data)}
	}
	for _, e := range r.Committed {
		h.apply(e)
	}
	return nil
}

func (h *Host) apply(e consensus.Entry) {
	var result replica.Result
	isFollowed := false
	if e.Kind == consensus.EntryCommand && len(e.Data) > 0 {
		c, err := replica.Decode(e.Data)
		if err != nil {
			h.log.Error(err, "cannot decode command", "index", e.Index)
		} else {
			result = h.applyCommand(e.Index, c)
			isFollowed = c.IsFollowed()
		}
	}
	h.snapshotPolicy.recordApplied(e)
	w, ok := h.waiters[e.Index]
	if !ok {
		return
	}
	delete(h.waiters, e.Index)
	if w.term != e.Term {
		w.resolve(proposalResult{err: ErrOverwritten})
		return
	}
	switch {
	case w.result != nil:
		w.resolve(proposalResult{result: *w.result})
	case isFollowed && h.followedChange > w.commit:
		w.result = &result
		h.spreading = append(h.spreading, w)
	default:
		w.resolve(proposalResult{result: result})
	}
}

// failWaiters fails all pending proposals when this replica is no longer the leader and can't
// determine their outcome. They may still be committed.
func (h *Host) failWaiters() {
	for index, w := range h.waiters {
		delete(h.waiters, index)
		w.resolve(proposalResult{err: consensus.ErrNotLeader})
	}
	for _, w := range h.spreading {
		w.resolve(proposalResult{err: consensus.ErrNotLeader})
	}
	h.spreading = nil
}
