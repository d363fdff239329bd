package consensus

// Transfer asks the voter whose log reaches furthest to take the leadership over. The
// leader takes no proposals meanwhile, and goes on if nothing comes of it within an
// election timeout. It reports whether there is a voter to ask.
func (n *Node) Transfer() bool {
	if !n.HasLease() {
		return false
	}
	best := ""
	for id, p := range n.peers {
		if !n.counts(id, p) || n.now-p.heard >= uint64(n.opts.ElectionTicks) {
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

// tickTransfer sends the request once the voter has the whole log.
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

// handleTimeoutNow campaigns at once, without asking first.
func (n *Node) handleTimeoutNow() {
	if n.role != RoleLeader && n.mayCampaign() {
		n.becomeCandidate(true)
	}
}
