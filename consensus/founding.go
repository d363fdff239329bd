package consensus

import "slices"

const (
	// foundingTerm and foundingIndex are the position of the initial membership.
	foundingTerm  = 1
	foundingIndex = 1
	// maxLearners is the maximum number of replicas besides the voters that a leader sends the
	// log to.
	maxLearners = 8
	// lostContactTimeouts is the number of election timeouts without contact after which a voter
	// asks whether it still is a voter, and after which a leader drops a learner.
	lostContactTimeouts = 4
)

// helloed is the hello reply of an initial voter whose data folder is empty.
type helloed struct {
	voter Voter
	at    uint64
}

func (n *Node) isFounded() bool { return n.Group() != 0 }

// tickHello sends a hello to all known replicas while this replica receives nothing from a
// leader.
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

// acquaintances returns the initial voters and all voters known so far, without this node.
func (n *Node) acquaintances() []string {
	ids := slices.Clone(n.opts.InitialVoters)
	for _, v := range append(slices.Clone(n.membership().Voters), n.introduced...) {
		if !slices.Contains(ids, v.ID) {
			ids = append(ids, v.ID)
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == n.opts.ID })
}

// stepFounding handles the messages that a replica without a group may send or receive. It
// returns false if the message is one between replicas of a group.
func (n *Node) stepFounding(m Message) bool {
	switch m.Kind {
	case KindHello:
		n.handleHello(m)
	case KindHelloReply:
		n.handleHelloReply(m)
	case KindBootstrap:
		n.handleFound(m)
	default:
		if n.isFounded() {
			return false
		}
		n.join(m)
	}
	return true
}

// join handles a message of a group that this replica does not belong to yet: a snapshot of the
// leader, or the reply that the group's records are ahead of this replica's data folder.
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
		n.send(Message{Kind: KindBootstrap, To: m.From, Membership: &membership})
		return
	}
	n.send(Message{Kind: KindHelloReply, To: m.From, Address: n.opts.Address, Membership: &membership})
	if n.role == RoleLeader {
		n.serve(m)
	}
}

// serve starts to send the log to a replica that is not a voter, or that was a voter with
// another data folder.
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
	// A replica without a group accepts only a snapshot.
	if m.Group == 0 && p.snapshot == nil {
		n.beginSnapshot(m.From, p)
	}
}

// dropSilentLearners drops learners that no longer answer, since their number is limited. A
// learner that returns sends a hello again.
func (n *Node) dropSilentLearners() {
	for id, p := range n.peers {
		_, isVoter := n.membership().Voter(id)
		if !isVoter && n.now-p.heard > uint64(lostContactTimeouts*n.opts.ElectionTicks) {
			delete(n.peers, id)
		}
	}
}

// handleHelloReply bootstraps the group once every initial voter has replied with an empty data
// folder. An initial voter whose data folder is emptied later learns from the replies that a
// group exists, and waits until the group adds it. It can't bootstrap a second group alone.
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
	if !slices.Contains(n.opts.InitialVoters, m.From) {
		return
	}
	n.founding[m.From] = helloed{voter: Voter{ID: m.From, Address: m.Address, Disk: m.Disk, Epoch: m.Epoch}, at: n.now}
	n.found()
}

// found bootstraps the group if this node is the first initial voter and all other initial
// voters have replied with empty data folders within an election timeout.
func (n *Node) found() {
	if n.isFounded() || n.joining != 0 || n.opts.JoinOnly || n.opts.InitialVoters[0] != n.opts.ID {
		return
	}
	self := Voter{ID: n.opts.ID, Address: n.opts.Address, Disk: n.opts.Disk, Epoch: n.opts.Epoch}
	membership := Membership{Group: n.opts.Disk, Size: max(n.opts.Size, len(n.opts.InitialVoters)), Voters: []Voter{self}}
	for _, id := range n.opts.InitialVoters[1:] {
		h, ok := n.founding[id]
		if !ok || n.now-h.at > uint64(n.opts.ElectionTicks) {
			return
		}
		membership.Voters = append(membership.Voters, h.voter)
	}
	n.adopt(membership)
	for _, v := range membership.Voters[1:] {
		n.send(Message{Kind: KindBootstrap, To: v.ID, Membership: &membership})
	}
}

// handleFound joins the group if the membership lists this node with its data folder.
func (n *Node) handleFound(m Message) {
	if n.isFounded() || m.Membership == nil {
		return
	}
	if v, ok := m.Membership.Voter(n.opts.ID); ok && v.Disk == n.opts.Disk {
		n.adopt(*m.Membership)
		// The data folder may have held more before, so this node is verified as after any
		// restart.
		n.verification = newVerification(false)
	}
}

// adopt installs the initial membership.
func (n *Node) adopt(m Membership) {
	n.install(Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: m})
	n.hard = HardState{Term: max(foundingTerm, n.hard.Term), Vote: n.hard.Vote}
	n.resetTimer()
}
