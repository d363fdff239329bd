package consensus

// Transfer starts to transfer the leadership to the voter with the most up-to-date log. The
// leader accepts no proposals meanwhile. If the transfer does not succeed within an election
// timeout, the leader resumes its work, if necessary in a new term. Transfer returns false if the
// node has no lease or no voter has answered recently.
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
	n.isTakeoverRequested = false
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
		n.endTransfer()
		return
	}
	if p := n.peers[n.transferee]; p != nil && p.match == n.log.last() {
		n.isTakeoverRequested = true
		n.send(Message{Kind: KindTimeoutNow, To: n.transferee})
	}
}

// endTransfer gives a transfer up. A request to take over may still be under way, and the voters grant
// the votes that follow from it whatever they have promised the leader. So the leader holds no lease in
// this term any more: it has itself elected in a new one, in which that request has no effect.
func (n *Node) endTransfer() {
	n.transferee = ""
	if n.isTakeoverRequested {
		n.becomeCandidate(true)
	}
}

// handleTimeoutNow starts an election at once, without a pre-vote.
func (n *Node) handleTimeoutNow() {
	if n.role != RoleLeader && n.canCampaign() {
		n.becomeCandidate(true)
	}
}
