package consensus

import "slices"

// confirmation holds what a replica knows about how recent its applied state is.
//
// A leader to whose round a quorum has replied was the only one that could commit up to the start of that
// round: a leader of a newer term would have had the vote of a replica that then replied in the older term.
// So the leader's commit, once it covers an entry of the leader's own term, covers all that was committed
// before the round began. A follower bounds that start from below on its own clock, because the leader
// says which reply of the follower it had when the round began.
type confirmation struct {
	// tick is the newest tick of which it is known that the applied state holds every entry committed before
	// it; 0 means none.
	tick uint64
	// rounds are the latest rounds of the leader of the term, at the index round%trackedRounds.
	term   uint64
	leader string
	rounds [trackedRounds]observedRound
	// firstRound and lastRound are the first and the last of the leader's rounds that were seen, and saysRounds is
	// set once the leader has said anything about this replica's replies or a quorum's.
	firstRound, lastRound uint64
	saysRounds            bool
	// confirmedRound is the latest round of which the leader has said that a quorum has replied, and quorumAt the tick
	// at which it said so.
	confirmedRound uint64
	quorumAt       uint64
	// pending holds what is confirmed once more entries are applied: the first confirmation that waits for
	// that, and the newest one. The first is kept, so that a replica that is always a bit behind gets on.
	pending [2]pendingConfirmation
}

// maxSilentRounds is the number of rounds after which a leader that says nothing about them is taken for one of a
// build that never does. A leader of this build that neither a quorum nor this replica answers gives up earlier.
const maxSilentRounds = 16

// quorumTimeouts is the number of election timeouts after which a follower no longer counts on the quorum of a leader
// that says nothing new about it.
const quorumTimeouts = 2

// observedRound is a leader's heartbeat round as a follower has seen it.
type observedRound struct {
	round uint64
	// repliedAt is the tick of this replica's first reply to the round, and beganAfter is a tick before the
	// round's start; 0 means unknown.
	repliedAt  uint64
	beganAfter uint64
}

// pendingConfirmation confirms a tick once the entry at the index is applied.
type pendingConfirmation struct {
	tick  uint64
	index uint64
}

// ConfirmedTick returns the newest tick, on the clock that Now returns, of which it is known that the applied
// state contains every entry that was committed, and so every change that was acknowledged, before it. It
// returns 0 if no such tick is known since the start of this node. It must not be called between Ready and
// Advance.
func (n *Node) ConfirmedTick() uint64 {
	if n.role == RoleLeader && n.hasCommittedInTerm() && n.log.applied >= n.log.commit {
		n.confirmation.tick = max(n.confirmation.tick, n.quorumAckTick())
	}
	return n.confirmation.tick
}

// canConfirm reports whether this node's state can be confirmed: it can't under a leader of an older build.
func (n *Node) canConfirm() bool {
	c := &n.confirmation
	isSilent := !c.saysRounds && c.lastRound-c.firstRound >= maxSilentRounds
	return n.role != RoleFollower || n.leader == "" || n.leader != c.leader || !isSilent
}

// hearsQuorum reports whether this follower's leader has, within the last quorumTimeouts election timeouts, shown that a
// quorum answers it. A leader without one stays for longer. One of an older build gives up in that time.
func (n *Node) hearsQuorum() bool {
	c := &n.confirmation
	if n.role != RoleFollower || n.leader == "" || n.now-n.leaderLastSeen >= uint64(n.opts.ElectionTicks) {
		return false
	}
	return !n.canConfirm() || n.leader == c.leader && c.confirmedRound > 0 && n.now-c.quorumAt < uint64(quorumTimeouts*n.opts.ElectionTicks)
}

// Now returns the number of ticks since the start, with those of pauses.
func (n *Node) Now() uint64 { return n.now }

// hasCommittedInTerm reports whether an entry of the node's current term is committed.
func (n *Node) hasCommittedInTerm() bool { return n.log.commitPosition().Term == n.hardState.Term }

// confirmedRound returns the latest round of this leader to which a quorum has replied, or 0 while the
// leader's commit may lack what earlier leaders have committed.
func (n *Node) confirmedRound() uint64 {
	if !n.hasCommittedInTerm() {
		return 0
	}
	var rounds []uint64
	for _, v := range n.membership().Voters {
		switch p := n.peers[v.ID]; {
		case v.ID == n.opts.ID:
			rounds = append(rounds, n.lease.round)
		case p != nil && n.countsTowardsQuorum(v.ID, p):
			rounds = append(rounds, p.ackedRound)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.membership().Quorum()]
}

// observeRound records that this replica is about to reply to a message of a leader's round, and what an
// append says about rounds.
func (n *Node) observeRound(m Message) {
	c := &n.confirmation
	if c.term != m.Term || c.leader != m.From {
		*c = confirmation{tick: c.tick, pending: c.pending, term: m.Term, leader: m.From, firstRound: m.Round}
	}
	c.lastRound = max(c.lastRound, m.Round)
	c.saysRounds = c.saysRounds || m.AckedRound > 0 || m.ConfirmedRound > 0
	if m.ConfirmedRound > c.confirmedRound {
		c.confirmedRound, c.quorumAt = m.ConfirmedRound, n.now
	}
	r := &c.rounds[m.Round%trackedRounds]
	if m.Round == 0 || r.round > m.Round {
		return
	}
	if r.round < m.Round {
		*r = observedRound{round: m.Round, repliedAt: n.now}
	}
	if m.Kind != KindAppend {
		return
	}
	// A reply by an earlier start of this replica was sent before anything that this start knows of.
	acked := c.rounds[m.AckedRound%trackedRounds]
	if m.AckedEpoch == n.opts.Epoch && m.AckedRound > 0 && acked.round == m.AckedRound {
		r.beganAfter = max(r.beganAfter, acked.repliedAt)
	}
	if tick := c.startBound(m.ConfirmedRound); tick > 0 {
		c.add(pendingConfirmation{tick: tick, index: m.Commit})
	}
}

// startBound returns a tick before the start of a round, or 0 if none is known. A bound of an earlier round
// holds for the later one, too.
func (c *confirmation) startBound(round uint64) uint64 {
	for at := round; at > 0 && round-at < trackedRounds; at-- {
		if r := c.rounds[at%trackedRounds]; r.round == at && r.beganAfter > 0 {
			return r.beganAfter
		}
	}
	return 0
}

func (c *confirmation) add(p pendingConfirmation) {
	if c.pending[0].tick == 0 {
		c.pending[0] = p
		return
	}
	if p.tick > c.pending[1].tick {
		c.pending[1] = p
	}
}

// recordApplied records up to which index the caller has applied the log.
func (c *confirmation) recordApplied(index uint64) {
	for c.pending[0].tick > 0 && index >= c.pending[0].index {
		c.tick = max(c.tick, c.pending[0].tick)
		c.pending = [2]pendingConfirmation{c.pending[1]}
	}
}
