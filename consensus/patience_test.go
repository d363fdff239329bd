package consensus

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a new leader whose heartbeats arrive but whose answers don't: followers would take it for one of a build
// that confirms nothing.
func TestLeaderThatNobodyAnswersStepsDownBeforeItLooksLikeAnOlderBuild(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 0, 1)
	old := c.awaitLeader()
	n := c.replicas[c.others(old)[0]].node
	c.tick(20)
	n.patience = patience{extra: 60, raisedAt: n.now}
	n.becomeCandidate(true)
	n.becomeLeader()
	for n.Role() == RoleLeader {
		n.Tick()
	}
	is.True(n.lease.round <= maxSilentRounds)
	is.Equal(n.ElectionCounts().StepDowns[StepDownNoAnswers], uint64(1))
}

// Guards against patience that never ends, with which a leader that is lost would be missed for as long ever after.
func TestPatienceEnds(t *testing.T) {
	is := is.New(t)
	o := Options{ElectionTicks: 12}
	var p patience
	p.observe(4, 100, o)
	is.Equal(p.extraAt(100), 0) // the usual gaps
	const greatest = (maxPatienceTimeouts - 1) * 12
	p.observe(1000, 100, o)
	is.Equal(p.extraAt(100+singleGapTicks-1), greatest)
	is.Equal(p.extraAt(100+singleGapTicks), 0) // a single gap
	p.observe(1000, 300, o)
	p.observe(8, 400, o)
	is.Equal(p.extraAt(300+patienceHoldTicks), greatest)
	is.Equal(p.extraAt(400+patienceHoldTicks+60*patienceDecayTicks), 0)
}

// Guards against a leader that takes the time for which it stood still for the silence of a voter, and replaces that one
// if it is the last to answer.
func TestLateLeaderReplacesNoVoter(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, 1, 1)
	c.replaceTicks = 50
	for _, id := range c.ids {
		c.start(id)
	}
	n := c.replicas[c.awaitLeader()].node
	c.tick(20)
	n.Elapse(60)
	is.Equal(n.replaceableVoter(n.membership()), "")
	is.True(!n.HasLease())
	for range 60 {
		n.Elapse(1)
	}
	is.True(n.replaceableVoter(n.membership()) != "")
}

// Guards against a leader that stays and accepts nothing, since answers take longer than its lease.
func TestLeaderAcceptsProposalsWhileAnswersAreLate(t *testing.T) {
	c := newCluster(t, 5, 0, 1)
	c.delayed = map[uint64][]Message{}
	leader := c.awaitLeader()
	c.maxDelay = 12 // the lease is 8 ticks
	c.tick(100)
	n := c.replicas[leader].node
	term, accepted, leases := n.Term(), 0, 0
	for i := range 1000 {
		if n.HasLease() {
			leases++
		}
		if _, _, err := n.Propose(fmt.Append(nil, i)); err == nil {
			accepted++
		}
		c.tick(1)
	}
	t.Logf("%d of 1000 proposals accepted, %d with a lease", accepted, leases)
	if accepted < 900 || n.Term() != term {
		t.Errorf("%d of 1000 proposals accepted, in the terms %d to %d", accepted, term, n.Term())
	}
	c.maxDelay = 0
	c.tick(100)
	if got := len(n.log.entries); got < accepted || n.Commit() < n.log.last() {
		t.Errorf("%d entries, of which up to %d are committed, for %d proposals", got, n.Commit(), accepted)
	}
}

// Guards against a leader that a quorum has answered once, before anything was committed in its term: a follower whose answers
// are lost took it for one of a build that confirms nothing.
func TestLeaderThatCommitsNothingStepsDownBeforeItLooksLikeAnOlderBuild(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, 0, 1)
	old := c.awaitLeader()
	c.tick(200)
	others := c.others(old)
	c.replicas[old].down = true
	n, unheard := c.replicas[others[0]].node, c.replicas[others[3]].node
	for _, id := range others[1:] {
		c.replicas[id].node.leader = ""
	}
	n.becomeCandidate(true)
	c.process(others[0])
	for range 50 {
		messages := c.inFlight
		c.inFlight = nil
		for _, m := range messages {
			isLost := m.To == old || m.From == others[3] && m.Kind != KindVoteReply || len(m.Entries) > 0
			if !isLost && n.quorumAckTick() == 0 {
				c.replicas[m.To].node.Step(m)
				c.process(m.To)
			}
		}
	}
	is.True(n.quorumAckTick() > 0 && !n.hasCommittedInTerm())
	for n.Role() == RoleLeader {
		n.Tick()
		for _, m := range n.messages {
			if m.To == others[3] {
				unheard.Step(m)
			}
		}
		n.messages, unheard.messages = nil, nil
		unheard.Elapse(1)
		is.True(unheard.Leader() != others[0] || unheard.canConfirm())
	}
}

// Pattern: a follower reads its clock, stands still, and answers a heartbeat that was sent meanwhile. Guards against a promise
// that is counted from the reading: the leader's lease outlasted it.
func TestPromiseOutlastsTheLeaseAfterAHaltBeforeTheAnswer(t *testing.T) {
	for halt := range 40 {
		c := newCluster(t, 3, 0, 1)
		leader := c.awaitLeader()
		c.tick(20)
		c.replicas[leader].node.heartbeat()
		beat := lastMessage(c.replicas[leader].node, KindAppend)
		n := c.replicas[beat.To].node
		n.Step(beat)
		if n.elapsed > 0 {
			t.Fatal("the heartbeat was not heard")
		}
		n.Elapse(halt) // as the clock says right after the answer
		// The clock is late by up to a tick, so the promise has ended up to a tick earlier than it says.
		ticks := -1
		for ; n.leaderMayHoldLease(); ticks++ {
			n.Elapse(1)
		}
		if lease := n.opts.ElectionTicks - leaseMarginTicks; ticks < lease {
			t.Errorf("after a halt of %d ticks votes are granted %d ticks after the answer; the leader counts on %d", halt, ticks, lease)
		}
	}
}
