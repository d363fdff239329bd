package consensus

import "slices"

func (n *Node) broadcastAppend() {
	for _, id := range n.opts.Voters {
		if id != n.opts.ID {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends the entries from the peer's next index on, and advances that index at
// once; a rejected or lost append sets it back.
func (n *Node) sendAppend(id string) {
	p := n.peers[id]
	prev := p.next - 1
	end := min(n.lastIndex(), prev+maxAppendEntries)
	m := Message{Kind: KindAppend, To: id, PrevIndex: prev, PrevTerm: n.termAt(prev), Commit: n.commit}
	if end > prev {
		m.Entries = slices.Clone(n.entries[prev:end])
		p.next = end + 1
	}
	n.send(m)
}

func (n *Node) handleAppend(m Message) {
	n.becomeFollower(m.Term, m.From)
	if m.PrevIndex > n.lastIndex() || n.termAt(m.PrevIndex) != m.PrevTerm {
		hint := min(m.PrevIndex-1, n.lastIndex())
		n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Hint: hint})
		return
	}
	n.storeEntries(m.Entries)
	match := m.PrevIndex + uint64(len(m.Entries))
	if c := min(m.Commit, match); c > n.commit {
		n.commit = c
	}
	n.send(Message{Kind: KindAppendReply, To: m.From, Hint: match})
}

// storeEntries appends what is missing and cuts the log only where an entry conflicts, so
// that a delayed append can't remove entries that were acknowledged later.
func (n *Node) storeEntries(entries []Entry) {
	for i, e := range entries {
		if n.termAt(e.Index) == e.Term {
			continue
		}
		n.entries = append(n.entries[:e.Index-1], entries[i:]...)
		n.stable = min(n.stable, e.Index-1)
		return
	}
}

func (n *Node) handleAppendReply(m Message) {
	if n.role != RoleLeader {
		return
	}
	p := n.peers[m.From]
	p.active = true
	if m.Reject {
		p.next = max(p.match, m.Hint) + 1
		n.sendAppend(m.From)
		return
	}
	if m.Hint > p.match {
		p.match = m.Hint
		n.maybeCommit()
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	if p.next <= n.lastIndex() {
		n.sendAppend(m.From)
	}
}

// maybeCommit commits the highest entry of the leader's own term that a quorum has stored.
func (n *Node) maybeCommit() {
	matches := []uint64{n.stable}
	for _, p := range n.peers {
		matches = append(matches, p.match)
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-n.quorum()]
	if candidate > n.commit && n.termAt(candidate) == n.hard.Term {
		n.commit = candidate
		n.broadcastAppend()
	}
}

// quorumActive reports whether a quorum answered since the last call.
func (n *Node) quorumActive() bool {
	active := 1
	for _, p := range n.peers {
		if p.active {
			active++
		}
		p.active = false
	}
	return active >= n.quorum()
}
