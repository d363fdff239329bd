package consensus

// becomeFollower joins a term under the given leader ("" while it is not known).
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	n.role = RoleFollower
	n.leader = leader
	n.peers = nil
	n.resetTimer()
}

// becomePreCandidate asks whether an election could be won, without raising the term.
func (n *Node) becomePreCandidate() {
	n.role = RolePreCandidate
	n.leader = ""
	n.resetTimer()
	n.votes = map[string]bool{n.opts.ID: true}
	if n.hasQuorumOfVotes() {
		n.becomeCandidate()
		return
	}
	n.requestVotes(KindPreVote, n.hard.Term+1)
}

func (n *Node) becomeCandidate() {
	n.role = RoleCandidate
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.opts.ID}
	n.resetTimer()
	n.votes = map[string]bool{n.opts.ID: true}
	if n.hasQuorumOfVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(KindVote, n.hard.Term)
}

// becomeLeader appends an empty entry, since only entries of the leader's own term may be
// committed by counting replicas.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.opts.ID
	n.elapsed = 0
	n.quiet = 0
	n.peers = make(map[string]*progress)
	for _, id := range n.opts.Voters {
		if id != n.opts.ID {
			n.peers[id] = &progress{next: n.lastIndex() + 1, active: true}
		}
	}
	n.entries = append(n.entries, Entry{Term: n.hard.Term, Index: n.lastIndex() + 1})
	n.broadcastAppend()
}

func (n *Node) requestVotes(kind Kind, term uint64) {
	last := n.lastIndex()
	for _, id := range n.opts.Voters {
		if id == n.opts.ID {
			continue
		}
		n.send(Message{Kind: kind, To: id, Term: term, PrevIndex: last, PrevTerm: n.termAt(last)})
	}
}

// hearsLeader reports whether a leader was heard within the shortest election timeout.
func (n *Node) hearsLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != "" && n.elapsed < n.opts.ElectionTicks
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.hearsLeader() && n.isUpToDate(m)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = n.hard.Term
	}
	n.send(reply)
}

func (n *Node) handleVote(m Message) {
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	grant := free && n.role == RoleFollower && n.isUpToDate(m)
	if grant {
		n.hard.Vote = m.From
		n.resetTimer()
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

// isUpToDate reports whether the candidate's log holds everything this node's log may have
// committed.
func (n *Node) isUpToDate(m Message) bool {
	last := n.lastIndex()
	lastTerm := n.termAt(last)
	if m.PrevTerm != lastTerm {
		return m.PrevTerm > lastTerm
	}
	return m.PrevIndex >= last
}

func (n *Node) handleVoteReply(m Message, role Role) {
	if n.role != role {
		return
	}
	if role == RolePreCandidate && !m.Reject && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	if !n.hasQuorumOfVotes() {
		return
	}
	if role == RolePreCandidate {
		n.becomeCandidate()
		return
	}
	n.becomeLeader()
}

func (n *Node) hasQuorumOfVotes() bool {
	granted := 0
	for _, ok := range n.votes {
		if ok {
			granted++
		}
	}
	return granted >= n.quorum()
}
