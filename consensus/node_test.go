package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestLeaderCommitsWithAQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "a")
	for _, id := range c.ids {
		is.Equal(c.replicas[id].state, []string{"a"})
	}
}

func TestIsolatedLeaderStepsDownAndCommitsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	old := c.awaitLeader()
	c.setIsolated(old, true)
	_, _, err := c.replicas[old].node.Propose([]byte("lost"))
	is.NoErr(err)
	c.tick(60)
	is.True(c.replicas[old].node.Role() != RoleLeader)
	c.propose(t, "kept")
	c.setIsolated(old, false)
	c.tick(60)
	for _, id := range c.ids {
		is.Equal(c.replicas[id].state, []string{"kept"})
	}
}

func TestReturningNodeDoesNotDeposeTheLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	leader := c.awaitLeader()
	term := c.replicas[leader].node.Term()
	isolated := c.others(leader)[0]
	c.setIsolated(isolated, true)
	c.tick(200)
	c.setIsolated(isolated, false)
	c.tick(40)
	is.Equal(c.leader(), leader)
	is.Equal(c.replicas[leader].node.Term(), term)
}

func TestGroupIsBootstrappedOnlyWithAllInitialVoters(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.crash("n2")
	c.tick(200)
	is.Equal(c.leader(), "")
	is.Equal(c.replicas["n0"].node.Group(), uint64(0))
	c.start("n2")
	c.awaitLeader()
}

// restartAll starts all nodes again with empty data folders and the current options.
func restartAll(c *cluster) {
	for _, id := range c.ids {
		c.replicas[id].saved = c.newSavedState()
		c.start(id)
	}
}

func TestGroupGrowsToItsSize(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 3, 1)
	c.size = 5
	restartAll(c)
	c.tick(200)
	is.Equal(len(c.voters()), 5)
	// Committed entries survive the crash of two of the five voters.
	c.propose(t, "kept")
	c.replaceTicks = 0
	lost := c.others(c.leader())[:2]
	c.crash(lost[0])
	c.crash(lost[1])
	c.propose(t, "after")
	is.Equal(c.replicas[c.leader()].state, []string{"kept", "after"})
}

// New instances that are configured as each other's seeds must not bootstrap a second group.
func TestJoinOnlyNodeDoesNotBootstrap(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.joinOnly = map[string]bool{"n0": true, "n1": true, "n2": true}
	restartAll(c)
	c.tick(300)
	is.Equal(c.leader(), "")
	for _, id := range c.ids {
		is.Equal(c.replicas[id].node.Group(), uint64(0))
	}
}

// If two of three data folders are emptied, the group must not bootstrap again, since that would
// lose committed entries.
func TestEmptiedMajorityDoesNotBootstrapSecondGroup(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "kept")
	for _, id := range []string{"n0", "n1"} {
		c.replicas[id].saved = c.newSavedState()
		c.start(id)
	}
	c.tick(300)
	is.Equal(c.leader(), "")
	is.Equal(c.replicas["n2"].state, []string{"kept"})
	c.crash("n2")
	c.tick(300)
	is.Equal(c.leader(), "")
}

func TestEmptiedDiskIsAdmittedAgainOnceItHasCaughtUp(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "a")
	leader := c.leader()
	lost, other := c.others(leader)[0], c.others(leader)[1]
	c.replicas[lost].saved = c.newSavedState()
	c.start(lost)
	c.tick(60)
	is.True(c.replicas[lost].node.Status().Voting)
	// A crash of another voter right after the repair loses no entry.
	c.propose(t, "b")
	c.crash(other)
	c.propose(t, "c")
	is.Equal(c.replicas[lost].state, []string{"a", "b", "c"})
}

// A replica with an emptied data folder and one that lacks a committed entry must not elect a
// leader together.
func TestEmptiedDiskDoesNotVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	leader := c.awaitLeader()
	lost, behind := c.others(leader)[0], c.others(leader)[1]
	c.setIsolated(behind, true)
	c.propose(t, "committed by two")
	c.crash(leader)
	c.replicas[lost].saved = c.newSavedState()
	c.start(lost)
	c.setIsolated(behind, false)
	c.tick(300)
	is.Equal(c.leader(), "")
	c.start(leader)
	c.tick(100)
	c.propose(t, "later")
	is.Equal(c.replicas[behind].state, []string{"committed by two", "later"})
}

// A voter restarts from an older copy of its data folder, which lacks one entry. The remaining
// follower knows that the voter had stored that entry. The two must not elect a leader together.
func TestRolledBackDiskDoesNotVoteUntilAdmittedAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "a")
	leader := c.leader()
	rolledBack, behind := c.others(leader)[0], c.others(leader)[1]
	old := c.replicas[rolledBack].saved.copy()
	// The leader crashes after it has replicated this entry. The other follower loses the entry, but
	// keeps its records of what the voters had stored.
	c.propose(t, "b")
	c.crash(leader)
	c.crash(rolledBack)
	c.replicas[rolledBack].saved = old
	c.replicas[behind].saved.entries = slices.Clone(old.entries)
	records := c.replicas[behind].node.voterRecords
	c.start(behind)
	c.replicas[behind].node.voterRecords = records
	c.start(rolledBack)
	c.tick(300)
	is.Equal(c.leader(), "")
	is.True(!c.replicas[rolledBack].node.Status().Voting)
	c.start(leader)
	c.tick(100)
	is.True(c.replicas[rolledBack].node.Status().Voting)
	is.Equal(c.replicas[rolledBack].state, []string{"a", "b"})
}

func TestCopiedDataFolderIsDetected(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	leader := c.awaitLeader()
	copied := c.others(leader)[0]
	old := c.replicas[copied].saved.copy()
	c.crash(copied)
	c.start(copied)
	c.tick(60)
	folderID := c.replicas[copied].saved.folderID
	c.crash(copied)
	c.replicas[copied].saved = old
	c.start(copied)
	c.tick(100)
	is.True(c.replicas[copied].saved.folderID != folderID)
	is.True(c.replicas[copied].node.Status().Voting)
}

func TestStandbyReplacesCrashedVoter(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 1, 1)
	c.replaceTicks = 50
	for _, id := range c.ids {
		c.start(id)
	}
	c.propose(t, "a")
	c.tick(60)
	is.Equal(c.voters(), []string{"n0", "n1", "n2"})
	leader := c.leader()
	crashed := c.others(leader, "n3")[0]
	c.crash(crashed)
	c.tick(200)
	is.Equal(c.voters(), c.others(crashed))
	c.propose(t, "b")
	c.crash(c.others(leader, crashed, "n3")[0])
	c.propose(t, "c")
	is.Equal(c.replicas["n3"].state, []string{"a", "b", "c"})
	is.Equal(len(c.replicas[c.awaitLeader()].node.Status().Learners), 0)
	// The replaced voter returns as a standby.
	c.start(crashed)
	c.tick(100)
	is.Equal(c.replicas[crashed].state, []string{"a", "b", "c"})
}

func TestFollowerFarBehindGetsASnapshotInChunks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	leader := c.awaitLeader()
	isolated := c.others(leader)[0]
	c.setIsolated(isolated, true)
	for i := range 12 {
		big := make([]byte, 64<<10)
		copy(big, fmt.Sprint(i))
		c.propose(t, string(big))
	}
	for i := range retainedEntries + 10 {
		_, _, err := c.replicas[leader].node.Propose(fmt.Append(nil, "entry ", i))
		is.NoErr(err)
	}
	c.tick(5)
	c.compact(leader)
	c.compact(leader) // the first call only encoded the state
	c.setIsolated(isolated, false)
	c.tick(60)
	is.Equal(len(c.replicas[isolated].state), 12+retainedEntries+10)
	is.True(c.replicas[isolated].saved.snapshot.Index > 12)
}

func TestLeaderHasNoLeaseAfterPause(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	n := c.replicas[c.awaitLeader()].node
	n.ResumeAfterPause(3)
	is.True(!n.HasLease())
	_, _, err := n.Propose([]byte("x"))
	is.Equal(err, ErrNotLeader)
	c.tick(4)
	is.True(n.HasLease())
	n.ResumeAfterPause(30)
	is.True(n.Role() != RoleLeader)
}

func TestTransferLosesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	c.propose(t, "a")
	old := c.leader()
	is.True(c.replicas[old].node.Transfer())
	c.settle()
	_, _, err := c.replicas[old].node.Propose([]byte("x"))
	is.Equal(err, ErrNotLeader)
	c.tick(2)
	is.True(c.leader() != "" && c.leader() != old)
	c.propose(t, "b")
	is.Equal(c.replicas[old].state, []string{"a", "b"})
}

func TestProposalsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	n := c.replicas[c.awaitLeader()].node
	for range 16 {
		_, _, err := n.Propose(make([]byte, 1<<20))
		is.NoErr(err)
	}
	_, _, err := n.Propose([]byte("x"))
	is.Equal(err, ErrBusy)
	c.tick(10)
	_, _, err = n.Propose([]byte("x"))
	is.NoErr(err)
}

// Guards against two leaders at a time: a request to take over the leadership that arrives after the
// leader has given the transfer up.
func TestLateTakeoverRequestMakesNoSecondLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	old := c.awaitLeader()
	node := c.replicas[old].node
	c.recording = true
	is.True(node.Transfer())
	transferee := node.transferee
	// The request is under way for as long as the link to the transferee is blocked.
	c.blocked[[2]string{old, transferee}] = true
	c.settle()
	var late Message
	for _, m := range c.recorded {
		if m.Kind == KindTimeoutNow {
			late = m
		}
	}
	is.Equal(late.To, transferee)
	c.tick(15)
	c.blocked = map[[2]string]bool{}
	c.tick(5)
	is.Equal(c.leader(), old)
	c.setIsolated(old, true)
	c.replicas[transferee].node.Step(late)
	c.process(transferee)
	c.settle()
	if c.replicas[old].node.HasLease() && c.replicas[transferee].node.HasLease() {
		t.Error("both the old and the new leader hold a lease")
	}
}
