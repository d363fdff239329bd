package consensus

import "slices"

const (
	foundingTerm  = 1
	foundingIndex = 1
	// maxLearners bounds the replicas that a leader serves besides the voters.
	maxLearners = 8
	// lostContactTimeouts is after how many election timeouts without a leader a voter asks
	// whether it still is one.
	lostContactTimeouts = 4
)

// helloed is a founder that has answered with an empty folder.
type helloed struct {
	voter Voter
	at    uint64
}

func (n *Node) isFounded() bool { return n.Group() != 0 }

// tickHello says hello while no leader serves this replica.
func (n *Node) tickHello() {
	if n.now%uint64(n.opts.ElectionTicks/2) != 0 || n.role == RoleLeader {
		return
	}
	silent := n.opts.ElectionTicks
	if n.isVoting() {
		silent *= lostContactTimeouts
	}
	if n.isFounded() && n.now-n.heardAt < uint64(silent) {
		return
	}
	n.found()
	for _, id := range n.acquaintances() {
		n.send(Message{Kind: KindHello, To: id, Address: n.opts.Address})
	}
}

// acquaintances are the founders and the voters, as far as known, without this node.
func (n *Node) acquaintances() []string {
	ids := slices.Clone(n.opts.Founders)
	for _, v := range append(slices.Clone(n.membership().Voters), n.introduced...) {
		if !slices.Contains(ids, v.ID) {
			ids = append(ids, v.ID)
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == n.opts.ID })
}

// stepFounding handles what concerns replicas outside the group; false means that the
// message is for a member.
func (n *Node) stepFounding(m Message) bool {
	switch m.Kind {
	case KindHello:
		n.handleHello(m)
	case KindHelloReply:
		n.handleHelloReply(m)
	case KindFound:
		n.handleFound(m)
	default:
		if n.isFounded() {
			return false
		}
		n.join(m)
	}
	return true
}

// join takes a snapshot from the leader of a group that serves this replica, or learns that
// the group remembers more of its folder than the folder holds.
func (n *Node) join(m Message) {
	switch m.Kind {
	case KindSnapshot:
		n.joining = m.Group
		n.handleSnapshot(m)
	case KindVerifyReply:
		n.verification.rolledBack = m.Reject && m.Hint == n.opts.Epoch
	}
}

func (n *Node) handleHello(m Message) {
	if !n.isFounded() {
		n.send(Message{Kind: KindHelloReply, To: m.From, Address: n.opts.Address})
		return
	}
	if m.Group != 0 && m.Group != n.Group() {
		return
	}
	membership := n.membership()
	if m.Group == 0 && n.isVoter(m) {
		if n.denies(m) {
			n.send(Message{Kind: KindVerifyReply, To: m.From, Reject: true, Hint: m.Epoch})
			return
		}
		n.send(Message{Kind: KindFound, To: m.From, Membership: &membership})
		return
	}
	n.send(Message{Kind: KindHelloReply, To: m.From, Address: n.opts.Address, Membership: &membership})
	if n.role == RoleLeader {
		n.serve(m)
	}
}

// serve begins to send the log to a replica that is not a voter, or that was one with
// another folder.
func (n *Node) serve(m Message) {
	p := n.peers[m.From]
	if p == nil && len(n.peers) >= len(n.membership().Voters)+maxLearners {
		return
	}
	if p == nil {
		p = &progress{}
		n.peers[m.From] = p
	}
	if p.disk != m.Disk || p.epoch != m.Epoch {
		p.restart(m, n.log.last())
	}
	p.heard = n.now
	p.address = m.Address
	// A replica without a group takes nothing but a snapshot.
	if m.Group == 0 && p.snapshot == nil {
		n.beginSnapshot(m.From, p)
	}
}

// dropSilentLearners makes room for others; a learner that comes back says hello again.
func (n *Node) dropSilentLearners() {
	for id, p := range n.peers {
		_, isVoter := n.membership().Voter(id)
		if !isVoter && n.now-p.heard > uint64(lostContactTimeouts*n.opts.ElectionTicks) {
			delete(n.peers, id)
		}
	}
}

// handleHelloReply founds the group once every founder has answered with an empty folder.
// A founder whose folder was emptied later finds the others in a group, and waits to be
// admitted anew; it can't found a second group on its own.
func (n *Node) handleHelloReply(m Message) {
	if m.Membership != nil {
		n.introduced = m.Membership.Voters
	}
	if n.isFounded() {
		return
	}
	if m.Group != 0 {
		delete(n.founding, m.From)
		return
	}
	if !slices.Contains(n.opts.Founders, m.From) {
		return
	}
	n.founding[m.From] = helloed{voter: Voter{ID: m.From, Address: m.Address, Disk: m.Disk, Epoch: m.Epoch}, at: n.now}
	n.found()
}

func (n *Node) found() {
	if n.isFounded() || n.joining != 0 || n.opts.JoinsOnly || n.opts.Founders[0] != n.opts.ID {
		return
	}
	self := Voter{ID: n.opts.ID, Address: n.opts.Address, Disk: n.opts.Disk, Epoch: n.opts.Epoch}
	membership := Membership{Group: n.opts.Disk, Size: max(n.opts.Size, len(n.opts.Founders)), Voters: []Voter{self}}
	for _, id := range n.opts.Founders[1:] {
		h, ok := n.founding[id]
		if !ok || n.now-h.at > uint64(n.opts.ElectionTicks) {
			return
		}
		membership.Voters = append(membership.Voters, h.voter)
	}
	n.adopt(membership)
	for _, v := range membership.Voters[1:] {
		n.send(Message{Kind: KindFound, To: v.ID, Membership: &membership})
	}
}

// handleFound joins the group if this folder was counted as one of its voters.
func (n *Node) handleFound(m Message) {
	if n.isFounded() || m.Membership == nil {
		return
	}
	if v, ok := m.Membership.Voter(n.opts.ID); ok && v.Disk == n.opts.Disk {
		n.adopt(*m.Membership)
		// The folder may have held more: the others are asked as after any start.
		n.verification = newVerification(false)
	}
}

func (n *Node) adopt(m Membership) {
	n.install(Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m})
	n.hard = HardState{Term: max(foundingTerm, n.hard.Term), Vote: n.hard.Vote}
	n.resetTimer()
}
