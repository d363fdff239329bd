package consensus

import (
	"cmp"
	"slices"
)

// maxCatchUpLag is the maximum number of entries by which a learner may lag behind the leader's
// log and still become a voter.
const maxCatchUpLag = 256

// repair keeps the group at its configured size by adding and removing voters. It changes one
// voter at a time, and only after the previous change is committed.
//
// A standby is added before the failed voter is removed, so that the group never has fewer data
// folders than before. A voter that returns with another data folder is removed before it is added
// again. Otherwise two successive memberships could list different data folders under the same
// name, and both could form a quorum.
func (n *Node) repair() {
	if !n.canChangeMembership() {
		return
	}
	m := n.membership()
	if len(m.Voters) > m.Size {
		n.removeSurplus(m)
		return
	}
	if id := n.bestLearner(); id != "" && n.promoteLearner(m, id) {
		return
	}
	n.recordEpoch(m)
}

// promoteLearner proposes the next membership change that is needed to make a learner a voter. It
// reports whether it proposed one.
func (n *Node) promoteLearner(m Membership, id string) bool {
	p := n.peers[id]
	if _, ok := m.Voter(id); ok {
		without := m.without(id)
		if n.answeringVoters(without) < without.Quorum() {
			return false
		}
		n.proposeMembership(without)
		return true
	}
	with := m.with(Voter{ID: id, Address: p.address, Disk: p.disk, Epoch: p.epoch})
	if len(m.Voters) == m.Size && (n.replaceableVoter(m) == "" || n.answeringVoters(m)+1 < with.Quorum()) {
		return false
	}
	n.proposeMembership(with)
	return true
}

// removeSurplus removes one voter from a group that is too large: the failed voter that a standby
// has replaced or, if the failed voter has returned meanwhile, the standby.
func (n *Node) removeSurplus(m Membership) {
	id := n.replaceableVoter(m)
	for i := len(m.Voters) - 1; i >= 0 && id == ""; i-- {
		v := m.Voters[i].ID
		if v != n.opts.ID && !slices.Contains(n.opts.InitialVoters, v) {
			id = v
		}
	}
	if id != "" {
		n.proposeMembership(m.without(id))
	}
}

// replaceableVoter returns a voter that has been silent for long enough to be replaced, or "".
func (n *Node) replaceableVoter(m Membership) string {
	for _, v := range m.Voters {
		p := n.peers[v.ID]
		if v.ID != n.opts.ID && p != nil && n.opts.ReplaceTicks > 0 && n.now-p.lastSeen > uint64(n.opts.ReplaceTicks) {
			return v.ID
		}
	}
	return ""
}

// answeringVoters returns the number of voters that have answered within an election timeout, this
// node included.
func (n *Node) answeringVoters(m Membership) int {
	count := 1
	for _, v := range m.Voters {
		p := n.peers[v.ID]
		if v.ID != n.opts.ID && p != nil && n.countsTowardsQuorum(v.ID, p) && n.now-p.lastSeen < uint64(n.opts.ElectionTicks) {
			count++
		}
	}
	return count
}

// canChangeMembership reports whether the leader may propose a membership change: it has a lease,
// has committed an entry of its own term, and the newest membership is committed.
func (n *Node) canChangeMembership() bool {
	newest := n.log.memberships[len(n.log.memberships)-1]
	term, _ := n.log.termAt(n.log.commit)
	return newest.position.Index <= n.log.commit && term == n.hardState.Term && n.HasLease()
}

func (n *Node) proposeMembership(m Membership) {
	n.propose(EntryMembership, m.Encode())
}

// isCaughtUp reports whether a replica has nearly the whole log and has answered recently.
func (n *Node) isCaughtUp(p *progress) bool {
	return p.snapshot == nil && p.match >= n.log.commit && p.match+maxCatchUpLag >= n.log.last() &&
		n.now-p.lastSeen < uint64(n.opts.ElectionTicks)
}

// bestLearner returns a learner that has caught up, or "". Voters that returned with a new data
// folder come first, then initial voters, then other standbys, so that the group returns to its
// initial voters.
func (n *Node) bestLearner() string {
	m := n.membership()
	var ids []string
	for id, p := range n.peers {
		if !n.countsTowardsQuorum(id, p) && !p.unverified && p.address != "" && n.isCaughtUp(p) {
			ids = append(ids, id)
		}
	}
	rank := func(id string) int {
		if _, ok := m.Voter(id); ok {
			return 0
		}
		if slices.Contains(n.opts.InitialVoters, id) {
			return 1
		}
		return 2
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b)) })
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// recordEpoch proposes to write the latest epoch of one voter to the log. The other voters lose
// their records of this epoch when they restart, but not the log.
func (n *Node) recordEpoch(m Membership) {
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		v, ok := m.Voter(id)
		if ok && n.countsTowardsQuorum(id, p) && p.epoch != 0 && p.epoch != v.Epoch {
			v.Epoch = p.epoch
			n.proposeMembership(m.with(v))
			return
		}
	}
	if v, ok := m.Voter(n.opts.ID); ok && v.Epoch != n.opts.Epoch {
		v.Epoch = n.opts.Epoch
		n.proposeMembership(m.with(v))
	}
}
