package consensus

// becomeFollower makes the node a follower in the term. leader is "" if it is not known.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hardState.Term {
		n.recordStepDown(StepDownNewerTerm)
		n.hardState = HardState{Term: term}
	}
	n.role = RoleFollower
	n.leader = leader
	n.peers = nil
	n.transferee = ""
	n.resetTimer()
}

// canCampaign reports whether the node is a voter whose saved state is verified.
func (n *Node) canCampaign() bool { return n.isVoting() && n.verification.done }

// becomePreCandidate asks the voters whether the node could win an election, without
// increasing its term.
func (n *Node) becomePreCandidate() {
	n.recordCampaign()
	n.giveUpLeader()
	if n.role != RoleFollower && len(n.votes) > 1 {
		n.answeredCampaigns++
	}
	n.role = RolePreCandidate
	n.leader = ""
	n.resetTimer()
	n.votes = map[string]bool{n.opts.ID: true}
	if n.hasQuorumOfVotes() {
		n.becomeCandidate(false)
		return
	}
	n.requestVotes(Message{Kind: KindPreVote, Term: n.hardState.Term + 1})
}

// becomeCandidate starts an election. force is true if the leader requested it, to transfer the
// leadership.
func (n *Node) becomeCandidate(force bool) {
	n.recordStepDown(StepDownTransfer)
	n.electionCounts.Elections++
	n.role = RoleCandidate
	n.leader = ""
	n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.opts.ID}
	n.resetTimer()
	n.lease.campaignTick = n.now
	n.votes = map[string]bool{n.opts.ID: true}
	if n.hasQuorumOfVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(Message{Kind: KindVote, Term: n.hardState.Term, Force: force})
}

// becomeLeader makes the node the leader. It appends an empty entry, because a leader may commit
// only entries of its own term by counting replicas.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.opts.ID
	n.elapsed, n.leaderSilence, n.answeredCampaigns = 0, 0, 0
	n.transferee = ""
	n.uncommittedBytes = 0
	n.lease.reset()
	n.peers = make(map[string]*progress)
	for _, v := range n.membership().Voters {
		if v.ID != n.opts.ID {
			n.peers[v.ID] = &progress{next: n.log.last() + 1, disk: v.Disk, address: v.Address, lastSeen: n.now}
		}
	}
	n.propose(EntryCommand, nil)
	n.heartbeat()
}

func (n *Node) requestVotes(m Message) {
	last := n.log.lastPosition()
	m.PrevIndex = last.Index
	m.PrevTerm = last.Term
	for _, v := range n.membership().Voters {
		if v.ID == n.opts.ID {
			continue
		}
		m.To = v.ID
		n.send(m)
	}
}

// leaderMayHoldLease reports whether a leader may hold a lease that this node has granted. After a
// start, the node does not know whether it had granted one. It then returns true until any such
// lease has ended.
func (n *Node) leaderMayHoldLease() bool {
	if n.role == RoleLeader || n.now < uint64(n.opts.ElectionTicks) {
		return true
	}
	return n.leader != "" && n.elapsed < n.opts.ElectionTicks
}

// hasPatience reports whether this node waits for a leader that may only be late. It then supports no campaign of
// a replica that is less patient.
func (n *Node) hasPatience() bool { return n.leader != "" && n.elapsed < n.patienceTicks() }

func (n *Node) handlePreVote(m Message) {
	grant := n.verification.done && m.Term > n.hardState.Term && !n.leaderMayHoldLease() && !n.hasPatience() && n.isUpToDate(m)
	if grant {
		n.giveUpLeader()
	}
	reply := Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = n.hardState.Term
	}
	n.send(reply)
}

// handleVote grants at most one vote per term. A replica whose saved state is not verified
// grants none: it may have lost an earlier vote or entries that it had acknowledged.
func (n *Node) handleVote(m Message) {
	mayVote := n.hardState.Vote == "" || n.hardState.Vote == m.From
	grant := n.verification.done && mayVote && n.role == RoleFollower && n.isUpToDate(m)
	if grant {
		n.hardState.Vote = m.From
		n.resetTimer()
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

// isUpToDate reports whether the candidate's log is at least as up to date as this node's log.
// Such a log contains every committed entry that this node has stored.
func (n *Node) isUpToDate(m Message) bool {
	return !Position{Term: m.PrevTerm, Index: m.PrevIndex}.less(n.log.lastPosition())
}

func (n *Node) handleVoteReply(m Message, role Role) {
	if n.role != role || !n.isVoter(m) || m.Unverified {
		return
	}
	if role == RolePreCandidate && !m.Reject && m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	if !n.hasQuorumOfVotes() {
		return
	}
	if role == RolePreCandidate {
		n.becomeCandidate(false)
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
	return granted >= n.membership().Quorum()
}
