package consensus

import "slices"

const (
	// bootstrapTerm and bootstrapIndex are the position of the initial membership.
	bootstrapTerm  = 1
	bootstrapIndex = 1
	// maxLearners is the maximum number of replicas to which a leader sends the log in addition to
	// the voters.
	maxLearners = 8
	// lostContactTimeouts is the number of election timeouts without contact after which a voter asks
	// the other replicas whether it still is a voter, and after which a leader drops a learner.
	lostContactTimeouts = 4
)

// bootstrapReply is the hello reply of an initial voter whose data folder is empty.
type bootstrapReply struct {
	voter      Voter
	receivedAt uint64
}

func (n *Node) hasGroup() bool { return n.Group() != 0 }

// tickHello sends a hello to all known replicas while this replica receives nothing from a
// leader, and to a leader that this replica, which is no voter, has not told its address.
func (n *Node) tickHello() {
	if !n.isDue(n.opts.ElectionTicks/2) || n.role == RoleLeader {
		return
	}
	if n.hasGroup() && !n.isVoting() && n.leader != "" && n.greetedTerm != n.hardState.Term {
		n.send(Message{Kind: KindHello, To: n.leader, Address: n.opts.Address})
	}
	silentTicks := n.opts.ElectionTicks
	if n.isVoting() {
		silentTicks *= lostContactTimeouts
	}
	if n.hasGroup() && n.now-n.leaderLastSeen < uint64(silentTicks) {
		return
	}
	n.bootstrap()
	for _, id := range n.knownReplicas() {
		n.send(Message{Kind: KindHello, To: id, Address: n.opts.Address})
	}
}

// knownReplicas returns the initial voters and all voters known so far, without this node.
func (n *Node) knownReplicas() []string {
	ids := slices.Clone(n.opts.InitialVoters)
	for _, v := range append(slices.Clone(n.membership().Voters), n.votersFromHello...) {
		if !slices.Contains(ids, v.ID) {
			ids = append(ids, v.ID)
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == n.opts.ID })
}

// stepBootstrap handles the messages that a replica without a group may send or receive. It
// returns false if it has left the message to Step, because only replicas of a group exchange such
// messages.
func (n *Node) stepBootstrap(m Message) bool {
	switch m.Kind {
	case KindHello:
		n.handleHello(m)
	case KindHelloReply:
		n.handleHelloReply(m)
	case KindBootstrap:
		n.handleBootstrap(m)
	default:
		if n.hasGroup() {
			return false
		}
		n.stepJoining(m)
	}
	return true
}

// stepJoining handles a message of a group that this replica does not belong to yet: a snapshot
// from the leader, or a reply that the group's records of this replica are ahead of its data
// folder.
func (n *Node) stepJoining(m Message) {
	switch m.Kind {
	case KindSnapshot:
		n.joiningGroup = m.Group
		n.handleSnapshot(m)
	case KindVerifyReply:
		n.verification.rolledBack = m.Reject && m.Hint == n.opts.Epoch
	}
}

func (n *Node) handleHello(m Message) {
	if !n.hasGroup() {
		n.send(Message{Kind: KindHelloReply, To: m.From, Address: n.opts.Address})
		return
	}
	if m.Group != 0 && m.Group != n.Group() {
		return
	}
	membership := n.membership()
	if m.Group == 0 && n.isVoter(m) {
		if outdated, _ := n.compareWithRecord(m); outdated {
			n.send(Message{Kind: KindVerifyReply, To: m.From, Reject: true, Hint: m.Epoch})
			return
		}
		n.send(Message{Kind: KindBootstrap, To: m.From, Membership: &membership})
		return
	}
	n.send(Message{Kind: KindHelloReply, To: m.From, Address: n.opts.Address, Membership: &membership})
	if n.role == RoleLeader {
		n.serveLearner(m)
	}
}

// serveLearner starts to send the log to a replica that is not a voter, or that was a voter with
// another data folder.
func (n *Node) serveLearner(m Message) {
	p := n.peers[m.From]
	if p == nil && len(n.peers) >= len(n.membership().Voters)+maxLearners {
		return
	}
	if p == nil {
		p = &progress{}
		n.peers[m.From] = p
	}
	if p.disk != m.Disk || p.epoch != m.Epoch {
		p.reset(m, n.log.last())
	}
	p.lastSeen = n.now
	p.address = m.Address
	// A replica without a group accepts only a snapshot.
	if m.Group == 0 && p.snapshot == nil {
		n.startSnapshot(m.From, p)
	}
}

// dropSilentLearners drops learners that no longer answer, because a leader serves at most
// maxLearners. A dropped learner that returns sends a hello again.
func (n *Node) dropSilentLearners() {
	for id, p := range n.peers {
		_, isVoter := n.membership().Voter(id)
		if !isVoter && n.now-p.lastSeen > uint64(lostContactTimeouts*n.opts.ElectionTicks) {
			delete(n.peers, id)
		}
	}
}

// handleHelloReply bootstraps the group once every initial voter has replied with an empty data
// folder. An initial voter whose data folder is emptied later learns from the replies that a group
// exists, and waits until the group adds it. It therefore can't bootstrap a second group alone.
func (n *Node) handleHelloReply(m Message) {
	if m.Membership != nil {
		n.votersFromHello = m.Membership.Voters
	}
	if n.hasGroup() {
		if m.From == n.leader && m.Term == n.hardState.Term {
			n.greetedTerm = m.Term
		}
		return
	}
	if m.Group != 0 {
		delete(n.bootstrapReplies, m.From)
		return
	}
	if !slices.Contains(n.opts.InitialVoters, m.From) {
		return
	}
	n.bootstrapReplies[m.From] = bootstrapReply{voter: Voter{ID: m.From, Address: m.Address, Disk: m.Disk, Epoch: m.Epoch}, receivedAt: n.now}
	n.bootstrap()
}

// bootstrap creates the group if this node is the first initial voter and all other initial
// voters have replied with empty data folders within an election timeout.
func (n *Node) bootstrap() {
	if n.hasGroup() || n.joiningGroup != 0 || n.opts.JoinOnly || n.opts.InitialVoters[0] != n.opts.ID {
		return
	}
	self := Voter{ID: n.opts.ID, Address: n.opts.Address, Disk: n.opts.Disk, Epoch: n.opts.Epoch}
	membership := Membership{Group: n.opts.Disk, Size: max(n.opts.Size, len(n.opts.InitialVoters)), Voters: []Voter{self}}
	for _, id := range n.opts.InitialVoters[1:] {
		reply, ok := n.bootstrapReplies[id]
		if !ok || n.now-reply.receivedAt > uint64(n.opts.ElectionTicks) {
			return
		}
		membership.Voters = append(membership.Voters, reply.voter)
	}
	n.installInitialMembership(membership)
	for _, v := range membership.Voters[1:] {
		n.send(Message{Kind: KindBootstrap, To: v.ID, Membership: &membership})
	}
}

// handleBootstrap joins the group if the membership lists this node with its data folder.
func (n *Node) handleBootstrap(m Message) {
	if n.hasGroup() || m.Membership == nil {
		return
	}
	if v, ok := m.Membership.Voter(n.opts.ID); ok && v.Disk == n.opts.Disk {
		n.installInitialMembership(*m.Membership)
		// The data folder may have lost earlier contents, so this node must be verified as after any
		// restart.
		n.verification = newVerification(false)
	}
}

// installInitialMembership creates or joins the group with the initial membership.
func (n *Node) installInitialMembership(m Membership) {
	n.install(Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Membership: m})
	n.hardState = HardState{Term: max(bootstrapTerm, n.hardState.Term), Vote: n.hardState.Vote}
	n.resetTimer()
}
