package consensus

import "slices"

// Learner is a replica that gets the log and does not vote.
type Learner struct {
	ID       string
	Match    uint64
	CaughtUp bool
}

// Status is what a node knows of its group.
type Status struct {
	Role       Role
	Term       uint64
	Leader     string
	Commit     uint64
	Applied    uint64
	Snapshot   uint64
	Membership Membership
	// Learners are known to the leader only.
	Learners []Learner
	// Lease says that the node leads and no other node can.
	Lease bool
	// HearsQuorum says that the node leads with a lease, or follows a leader that it heard
	// within an election timeout.
	HearsQuorum bool
	// Voting says that the node is a voter and the group has not denied its memory.
	Voting bool
}

// Status returns what the node knows of its group.
func (n *Node) Status() Status {
	s := Status{
		Role:       n.role,
		Term:       n.hard.Term,
		Leader:     n.leader,
		Commit:     n.log.commit,
		Applied:    n.log.applied,
		Snapshot:   n.log.snapshot.Index,
		Membership: n.membership(),
		Lease:      n.HasLease(),
		HearsQuorum: n.HasLease() ||
			n.role == RoleFollower && n.leader != "" && n.now-n.heardAt < uint64(n.opts.ElectionTicks),
		Voting: n.isVoting() && n.verification.done,
	}
	for id, p := range n.peers {
		if !n.counts(id, p) && p.disk != 0 {
			s.Learners = append(s.Learners, Learner{ID: id, Match: p.match, CaughtUp: n.isCaughtUp(p)})
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

// MembershipPosition returns the place of the newest membership in the log.
func (n *Node) MembershipPosition() Position {
	return n.log.memberships[len(n.log.memberships)-1].place
}

// HardState returns what must be durable, as in the last Ready.
func (n *Node) HardState() HardState { return n.hard }

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
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the term, or "" when it is not known.
func (n *Node) Leader() string { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.log.commit }

// Applied returns the index of the last entry that was given to the caller.
func (n *Node) Applied() uint64 { return n.log.applied }

// Group returns the group that the node belongs to; 0 before it knows one.
func (n *Node) Group() uint64 { return n.membership().Group }
