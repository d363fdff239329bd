package consensus

import "slices"

// Learner is a replica that receives the log and does not vote.
type Learner struct {
	ID string
	// Disk identifies its data folder.
	Disk uint64
	// Match is the highest index at which its log is known to match the leader's.
	Match uint64
	// CaughtUp means that its log is nearly complete and that it has answered recently.
	CaughtUp bool
}

// Status describes a node's view of its group.
type Status struct {
	Role Role
	Term uint64
	// Leader is "" if it is not known.
	Leader string
	// Commit, Applied and Snapshot are the indexes of the last committed entry, of the last applied
	// entry and of the last entry that the latest snapshot covers.
	Commit   uint64
	Applied  uint64
	Snapshot uint64
	// CommitTerm is the term of the last committed entry, whose leader was elected.
	CommitTerm uint64
	Membership Membership
	// Learners is set on the leader only.
	Learners []Learner
	// Lease is true if the node is the leader and no other node can be a leader now.
	Lease bool
	// HasQuorum is true if the node is a leader with a lease, or a follower that received a message of its leader within
	// the last election timeout and knows that a quorum has lately answered that leader.
	HasQuorum bool
	// Voting is true if the node is a voter and its saved state is verified.
	Voting bool
	// CanConfirm is false if this replica's state can't be confirmed, because its leader is of a build that says
	// nothing about its rounds.
	CanConfirm bool
}

// Status returns the node's view of its group.
func (n *Node) Status() Status {
	s := Status{
		Role:       n.role,
		Term:       n.hardState.Term,
		Leader:     n.leader,
		Commit:     n.log.commit,
		CommitTerm: n.log.commitPosition().Term,
		Applied:    n.log.applied,
		Snapshot:   n.log.snapshot.Index,
		Membership: n.membership(),
		Lease:      n.HasLease(),
		HasQuorum:  n.HasLease() || n.hearsQuorum(),
		Voting:     n.isVoting() && n.verification.done,
		CanConfirm: n.canConfirm(),
	}
	for id, p := range n.peers {
		if !n.countsTowardsQuorum(id, p) && p.disk != 0 {
			s.Learners = append(s.Learners, Learner{ID: id, Disk: p.disk, Match: p.match, CaughtUp: n.isCaughtUp(p)})
		}
	}
	slices.SortFunc(s.Learners, func(a, b Learner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return s
}

// MembershipPosition returns the position of the newest membership in the log.
func (n *Node) MembershipPosition() Position {
	return n.log.memberships[len(n.log.memberships)-1].position
}

// HardState returns the current hard state. Directly after Advance, its term and vote equal those that
// the caller has made durable, and its commit is covered by stored entries.
func (n *Node) HardState() HardState {
	hs := n.hardState
	hs.Commit = n.log.commitPosition()
	return hs
}

// String returns the name of a role.
func (r Role) String() string {
	switch r {
	case RoleLeader:
		return "leader"
	case RoleCandidate, RolePreCandidate:
		return "candidate"
	default:
		return "follower"
	}
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the node's term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the leader of the current term, or "" if it is not known.
func (n *Node) Leader() string { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.log.commit }

// Applied returns the index of the last committed entry that the caller has applied.
func (n *Node) Applied() uint64 { return n.log.applied }

// Group returns the ID of the group that the node belongs to, or 0 if it belongs to none yet.
func (n *Node) Group() uint64 { return n.membership().Group }
