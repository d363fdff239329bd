package consensus

import (
	"slices"
)

const (
	// maxAppendEntries and maxAppendBytes limit one append message.
	maxAppendEntries = 1024
	maxAppendBytes   = 512 << 10
)

// heartbeat starts a heartbeat round. It sends every replica a heartbeat, which shows that the
// leader is alive and carries the positions that the voters are known to have stored.
func (n *Node) heartbeat() {
	n.lease.startRound(n.now)
	var stored []StoredPosition
	for _, v := range n.membership().Voters {
		if p := n.peers[v.ID]; p != nil && n.countsTowardsQuorum(v.ID, p) {
			term, _ := n.log.termAt(p.match)
			stored = append(stored, StoredPosition{ID: v.ID, Position: Position{Term: term, Index: p.match}})
		}
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		p.ackedBefore = p.ackedRound
		if p.snapshot != nil {
			n.sendChunk(id, p)
			continue
		}
		n.sendAppend(id, p, stored)
	}
}

// sendNewEntries sends new entries to all replicas that are ready to receive them.
func (n *Node) sendNewEntries() {
	for _, id := range n.peerIDs() {
		for n.canSend(n.peers[id]) {
			n.sendAppend(id, n.peers[id], nil)
		}
	}
}

func (n *Node) canSend(p *progress) bool {
	return p.snapshot == nil && !p.probing && p.inFlight < maxInFlight && p.next <= n.log.last()
}

// sendAppend sends the entries from the replica's next index on. It advances the index without
// waiting for the reply; a rejected or lost append sets the index back.
func (n *Node) sendAppend(id string, p *progress, stored []StoredPosition) {
	prev := p.next - 1
	term, ok := n.log.termAt(prev)
	if !ok {
		n.startSnapshot(id, p)
		return
	}
	m := Message{Kind: KindAppend, To: id, PrevIndex: prev, PrevTerm: term, Commit: n.log.commit, Round: n.lease.round, Stored: stored,
		AckedRound: p.ackedBefore, AckedEpoch: p.epoch, ConfirmedRound: n.confirmedRound()}
	if p.inFlight < maxInFlight {
		m.Entries = n.batch(prev)
	}
	if len(m.Entries) > 0 && !p.probing {
		p.next += uint64(len(m.Entries))
		p.inFlight++
	}
	n.send(m)
}

// batch returns the entries after the index, within the limits of one message. It returns at
// least one entry if there is any.
func (n *Node) batch(prev uint64) []Entry {
	end := min(n.log.last(), prev+maxAppendEntries)
	entries := n.log.between(prev, end)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (n *Node) handleAppend(m Message) {
	n.becomeFollower(m.Term, m.From)
	n.leaderLastSeen = n.now
	n.observeRound(m)
	n.recordStored(append(m.Stored, StoredPosition{ID: m.From, Position: lastPositionOf(m)}))
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round}
	if m.PrevIndex < n.log.commit && m.PrevIndex+uint64(len(m.Entries)) <= n.log.commit {
		reply.Hint = n.log.commit
		n.send(reply)
		return
	}
	if !n.matchesLog(m) {
		reply.Reject = true
		reply.Hint = min(m.PrevIndex-1, n.log.last())
		n.send(reply)
		return
	}
	n.log.store(m.Entries)
	reply.Hint = m.PrevIndex + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, reply.Hint))
	n.send(reply)
}

// lastPositionOf returns the last position that an append proves to be in the leader's log.
func lastPositionOf(m Message) Position {
	if k := len(m.Entries); k > 0 {
		return Position{Term: m.Entries[k-1].Term, Index: m.Entries[k-1].Index}
	}
	return Position{Term: m.PrevTerm, Index: m.PrevIndex}
}

// matchesLog reports whether this node's log contains the entry that precedes the entries of the
// append. A committed entry always matches, because the log of every leader contains it.
func (n *Node) matchesLog(m Message) bool {
	if m.PrevIndex <= n.log.commit {
		return true
	}
	term, ok := n.log.termAt(m.PrevIndex)
	return ok && term == m.PrevTerm
}

func (n *Node) handleAppendReply(m Message) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	p.probing = false
	p.inFlight = max(0, p.inFlight-1)
	if p.snapshot != nil && m.Hint >= p.snapshot.snapshot.Index {
		p.snapshot = nil
	}
	p.match = max(p.match, min(m.Hint, n.log.last()))
	if term, ok := n.log.termAt(p.match); ok {
		n.recordStored([]StoredPosition{{ID: m.From, Position: Position{Term: term, Index: p.match}}})
	}
	if p.next <= p.match+1 {
		p.next = p.match + 1
		p.inFlight = 0
	}
	n.maybeCommit()
	n.tickTransfer()
}

// handleReject moves the replica's next index back to where the logs may match, and probes
// there. Rejections of other appends that were already in flight are ignored.
func (n *Node) handleReject(p *progress, m Message) {
	next := max(p.match, min(m.Hint, n.log.last())) + 1
	p.inFlight = 0
	if p.snapshot != nil || (p.probing && p.next <= next) {
		return
	}
	p.probing = true
	p.next = next
	n.sendAppend(m.From, p, nil)
}

// maybeCommit commits the highest entry of the leader's own term that a quorum has stored, and
// with it all entries before.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, v := range n.membership().Voters {
		switch p := n.peers[v.ID]; {
		case v.ID == n.opts.ID:
			matches = append(matches, n.log.stable)
		case p != nil && n.countsTowardsQuorum(v.ID, p):
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-n.membership().Quorum()]
	if term, ok := n.log.termAt(candidate); candidate <= n.log.commit || !ok || term != n.hardState.Term {
		return
	}
	for _, e := range n.log.between(n.log.commit, candidate) {
		n.uncommittedBytes = max(0, n.uncommittedBytes-len(e.Data))
	}
	n.log.commit = candidate
}
