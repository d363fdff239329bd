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
// leader is alive and carries the positions that the voters are known to have stored. Heartbeats carry neither
// entries nor chunks, so that they are small; they may overtake those that are on their way.
func (n *Node) heartbeat() {
	n.lease.startRound(n.now)
	stored := n.storedPositions()
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		p.ackedBefore = p.ackedRound
		if p.snapshot != nil {
			n.tickSnapshot(id, p)
			continue
		}
		n.tickUnanswered(id, p)
		n.sendHeartbeat(id, p, stored)
	}
}

// HeartbeatsWhileSaving returns heartbeats of the current round. They may be sent at once, between Ready and Advance,
// while the caller saves what Ready has returned: they refer to no entry that isn't durable, since entries are sent only
// after they are saved. It returns none on a node that isn't the leader, or whose term isn't durable.
//
// An answer counts for the start of the round, which was before, so the lease is not longer for it.
func (n *Node) HeartbeatsWhileSaving() []Message {
	if n.role != RoleLeader || n.savedHardState.Term != n.hardState.Term {
		return nil
	}
	pending := n.messages
	n.messages = nil
	stored := n.storedPositions()
	for _, id := range n.peerIDs() {
		if p := n.peers[id]; p.snapshot != nil {
			n.sendPart(id, p, p.snapshot.offset)
		} else {
			n.sendHeartbeat(id, p, stored)
		}
	}
	heartbeats := n.messages
	n.messages = pending
	return heartbeats
}

// storedPositions returns the positions that the voters are known to have stored.
func (n *Node) storedPositions() []StoredPosition {
	// The leader's own position is listed, since the entries themselves may reach a replica much later.
	term, _ := n.log.termAt(n.log.stable)
	stored := []StoredPosition{{ID: n.opts.ID, Position: Position{Term: term, Index: n.log.stable}}}
	for _, v := range n.membership().Voters {
		if p := n.peers[v.ID]; p != nil && n.countsTowardsQuorum(v.ID, p) {
			term, _ := n.log.termAt(p.match)
			stored = append(stored, StoredPosition{ID: v.ID, Position: Position{Term: term, Index: p.match}})
		}
	}
	return stored
}

// sendNewEntries sends new entries to all replicas that are ready to receive them.
func (n *Node) sendNewEntries() {
	if n.role != RoleLeader {
		return
	}
	for _, id := range n.peerIDs() {
		for n.canSend(n.peers[id]) {
			n.sendEntries(id, n.peers[id])
		}
	}
}

func (n *Node) canSend(p *progress) bool {
	isFull := len(p.sent) >= maxInFlight || p.inFlightBytes() >= maxInFlightBytes
	return p.snapshot == nil && !p.probing && !isFull && p.next <= n.log.last()
}

// sendHeartbeat sends an append without entries. While entries are on their way, it refers to the entry before
// them, so that a replica that it reaches first does not reject it.
func (n *Node) sendHeartbeat(id string, p *progress, stored []StoredPosition) {
	prev := p.next - 1
	if len(p.sent) > 0 {
		prev = p.sent[0].prev
	}
	n.sendAppend(id, p, Message{PrevIndex: prev, Stored: stored})
}

// sendEntries sends the entries from the replica's next index on. It advances the index without waiting for the
// reply; an append that is rejected, lost or without an answer for too long sets the index back.
func (n *Node) sendEntries(id string, p *progress) {
	prev := p.next - 1
	if _, ok := n.log.termAt(prev); !ok {
		n.startSnapshot(id, p)
		return
	}
	entries := n.batch(prev)
	n.sendAppend(id, p, Message{PrevIndex: prev, Entries: entries})
	s := sentAppend{prev: prev, last: prev + uint64(len(entries)), at: n.now}
	for _, e := range entries {
		s.bytes += len(e.Data)
	}
	p.sent = append(p.sent, s)
	p.next = s.last + 1
}

// tickUnanswered sends entries again that have been without an answer for too long. A replica that has answered
// nothing at all since then must first answer a heartbeat.
func (n *Node) tickUnanswered(id string, p *progress) {
	switch {
	case len(p.sent) == 0:
	case n.isSilentSince(p, p.sent[0].at):
		p.stepBack(p.sent[0].prev)
	case p.isOverdue(max(p.sent[0].at, p.sent[0].againAt), n.now, n.opts):
		n.sendAgain(id, p)
	}
}

// isSilentSince reports whether the replica has answered nothing for long, and what was sent at the tick is as old.
func (n *Node) isSilentSince(p *progress, sentAt uint64) bool {
	limit := firstRetryTicks(n.opts) / 2
	return n.now-p.lastSeen > limit && n.now-sentAt > limit
}

// sendAgain sends the first unanswered append again, with the same entries, so that the sender can tell that it
// still has it.
func (n *Node) sendAgain(id string, p *progress) {
	s := &p.sent[0]
	s.againAt, s.againRound = n.now, n.lease.round
	if s.prev < n.log.offset.Index {
		n.startSnapshot(id, p)
		return
	}
	n.sendAppend(id, p, Message{PrevIndex: s.prev, Entries: n.log.between(s.prev, s.last)})
}

// sendAppend sends an append, or begins to send a snapshot if the log no longer holds the entry before it.
func (n *Node) sendAppend(id string, p *progress, m Message) {
	term, ok := n.log.termAt(m.PrevIndex)
	if !ok {
		n.startSnapshot(id, p)
		return
	}
	m.Kind, m.To, m.PrevTerm, m.Commit, m.Round = KindAppend, id, term, n.log.commit, n.lease.round
	m.AckedRound, m.AckedEpoch, m.ConfirmedRound = p.ackedBefore, p.epoch, n.confirmedRound()
	n.send(m)
}

// ReportLost tells the node that an append or a chunk will not arrive, as far as the sender knows. It is sent
// again once the replica answers other messages.
func (n *Node) ReportLost(m Message) {
	p := n.peers[m.To]
	if n.role != RoleLeader || p == nil || m.Term != n.hardState.Term {
		return
	}
	if s := p.snapshot; s != nil {
		s.isLost = s.isLost || m.Kind == KindSnapshot && m.PrevIndex == s.snapshot.Index && m.Offset == s.offset
		return
	}
	if m.Kind == KindAppend && p.isUnanswered(m.PrevIndex) {
		p.stepBack(m.PrevIndex)
	}
}

// isUnanswered reports whether an append with entries after the index is unanswered.
func (p *progress) isUnanswered(prev uint64) bool {
	return slices.ContainsFunc(p.sent, func(s sentAppend) bool { return s.prev == prev })
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
	n.hearLeader(m)
	n.becomeFollower(m.Term, m.From)
	n.leaderLastSeen = n.now
	n.observeRound(m)
	n.recordStored(append(m.Stored, StoredPosition{ID: m.From, Position: lastPositionOf(m)}))
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, PrevIndex: m.PrevIndex}
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
	if p.snapshot != nil && m.Hint >= p.snapshot.snapshot.Index {
		p.snapshot = nil
		p.stepBack(m.Hint)
	}
	// A reply to an append from before the step back ends no search.
	if m.Hint+1 >= p.next {
		p.probing = false
	}
	// If the append arrived only when it was sent again, those after it are lost as well.
	isLost := len(p.sent) > 1 && p.sent[0].againRound > 0 && m.Round >= p.sent[0].againRound && m.Hint == p.sent[0].last
	p.recordMatch(min(m.Hint, n.log.last()), n.now, n.opts)
	if isLost {
		p.stepBack(p.match)
		p.probing = false
	}
	if term, ok := n.log.termAt(p.match); ok {
		n.recordStored([]StoredPosition{{ID: m.From, Position: Position{Term: term, Index: p.match}}})
	}
	n.maybeCommit()
	n.tickTransfer()
}

// handleReject moves the replica's next index back to where the logs may match, and probes
// there. Rejections of appends that the leader no longer waits for are ignored.
func (n *Node) handleReject(p *progress, m Message) {
	hint := min(m.Hint, n.log.last())
	if p.snapshot != nil || p.isLateReject(m, hint) {
		return
	}
	next := max(p.match, hint) + 1
	if p.probing && p.next <= next {
		return
	}
	p.stepBack(next - 1)
	n.sendHeartbeat(m.From, p, nil)
}

// isLateReject reports whether a rejection answers an append that the leader no longer waits for. Replicas of
// older builds don't say which append they reject.
func (p *progress) isLateReject(m Message, hint uint64) bool {
	if m.PrevIndex == 0 {
		return hint < p.match
	}
	return m.PrevIndex <= p.match || m.PrevIndex != p.next-1 && !p.isUnanswered(m.PrevIndex)
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
