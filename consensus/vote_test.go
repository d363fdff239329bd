package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// A restarted voter may have lost a vote or an entry that it had acknowledged. It must grant no
// vote until the other voters have confirmed its state.
func TestRestartedVoterGrantsNoVoteUntilConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	leader := c.awaitLeader()
	voter, candidate := c.others(leader)[0], c.others(leader)[1]
	c.setIsolated(voter, true)
	c.crash(voter)
	c.start(voter)
	c.tick(60)
	from := c.replicas[candidate].node
	n := c.replicas[voter].node
	is.True(n.Role() == RoleFollower)
	last := n.log.lastPosition()
	vote := Message{
		Kind: KindVote, From: candidate, To: voter, Group: n.Group(), Disk: from.opts.Disk, Epoch: from.opts.Epoch,
		Term: n.Term() + 1, PrevIndex: last.Index, PrevTerm: last.Term,
	}
	n.Step(vote)
	is.True(lastMessage(n, KindVoteReply).Reject)
	n.verification.done = true
	vote.Term++
	n.Step(vote)
	is.True(!lastMessage(n, KindVoteReply).Reject)
}

func lastMessage(n *Node, kind Kind) Message {
	for i := len(n.messages) - 1; i >= 0; i-- {
		if n.messages[i].Kind == kind {
			return n.messages[i]
		}
	}
	return Message{}
}

// An entry of an older term can still be replaced although a quorum has stored it. The leader
// must commit it only together with an entry of its own term.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	is := is.New(t)
	m := Membership{Group: 1, Size: 3}
	for i, id := range []string{"n0", "n1", "n2"} {
		m.Voters = append(m.Voters, Voter{ID: id, Disk: uint64(i) + 1})
	}
	s := Snapshot{Index: 1, Term: 1, Membership: m}
	n := New(Options{ID: "n0", Disk: 1, InitialVoters: []string{"n0"}, ElectionTicks: 10, HeartbeatTicks: 2}, HardState{Term: 3}, s, []Entry{{Term: 2, Index: 2}})
	n.verification.done = true
	n.becomeCandidate(false)
	reply := Message{From: "n1", To: "n0", Group: 1, Disk: 2, Term: n.Term(), Kind: KindVoteReply}
	n.Step(reply)
	is.Equal(n.Role(), RoleLeader)
	n.Advance(n.Ready())
	reply.Kind = KindAppendReply
	reply.Hint = 2
	n.Step(reply)
	is.Equal(n.Commit(), uint64(1))
	reply.Hint = 3
	n.Step(reply)
	is.Equal(n.Commit(), uint64(3))
}

// A rejection counts also if its sender is no voter that this replica knows: the membership in a folder
// that was rolled back may be older than the voter. What protects against others is checked as well: a
// reply to an earlier start and one of another group are ignored, and a former voter, whose records may
// be outdated, does not answer a replica with a newer log.
func TestUnknownVoterMayRejectARolledBackReplica(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "a")
	leader := c.leader()
	old := c.others(leader)[0]
	c.crash(old)
	c.start(old)
	n := c.replicas[old].node
	membership := n.membership()
	reject := Message{Kind: KindVerifyReply, From: "n9", To: old, Group: n.Group(), Hint: n.opts.Epoch, Reject: true, Membership: &membership}
	_, isKnown := membership.Voter(reject.From)
	is.True(!isKnown)
	outdated := reject
	outdated.Hint++
	n.Step(outdated)
	is.True(!n.IsRolledBack())
	foreign := reject
	foreign.Group++
	n.Step(foreign)
	is.True(!n.IsRolledBack())
	n.Step(reject)
	is.True(n.IsRolledBack())
	// The sender has another folder than this node knows, and a newer log.
	former := c.replicas[leader].node
	last := former.log.lastPosition()
	verify := Message{
		Kind: KindVerify, From: old, To: leader, Group: former.Group(), Disk: n.opts.Disk + 1, Epoch: n.opts.Epoch,
		PrevIndex: last.Index + 1, PrevTerm: last.Term,
	}
	former.messages = nil
	former.Step(verify)
	is.Equal(lastMessage(former, KindVerifyReply), Message{})
	verify.PrevIndex = last.Index
	former.Step(verify)
	is.True(lastMessage(former, KindVerifyReply).Reject)
}
