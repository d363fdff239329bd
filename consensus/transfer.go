package consensus

// Transfer starts to transfer the leadership to the voter with the most up-to-date log. The
// leader accepts no proposals meanwhile. If the transfer does not succeed within an election
// timeout, the leader resumes its work. Transfer returns false if the node has no lease or no
// voter has answered recently.
func (n *Node) Transfer() bool {
	if !n.HasLease() {
		return false
	}
	best := ""
	for id, p := range n.peers {
		if !n.countsTowardsQuorum(id, p) || n.now-p.lastSeen >= uint64(n.opts.ElectionTicks) {
			continue
		}
		if best == "" || p.match > n.peers[best].match || (p.match == n.peers[best].match && id < best) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	n.transferee = best
	n.transferTick = n.now
	n.tickTransfer()
	return true
}

// tickTransfer asks the transferee to campaign once it has the whole log, and gives up after an
// election timeout.
func (n *Node) tickTransfer() {
	if n.transferee == "" {
		return
	}
	if n.now-n.transferTick >= uint64(n.opts.ElectionTicks) {
		n.transferee = ""
		return
	}
	if p := n.peers[n.transferee]; p != nil && p.match == n.log.last() {
		n.send(Message{Kind: KindTimeoutNow, To: n.transferee})
	}
}

// handleTimeoutNow starts an election at once, without a pre-vote.
func (n *Node) handleTimeoutNow() {
	if n.role != RoleLeader && n.canCampaign() {
		n.becomeCandidate(true)
	}
}
