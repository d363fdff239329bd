package consensus

import "slices"

const (
	// trackedRounds is the number of heartbeat rounds, up to the current one, whose start is stored.
	// A reply to an older round does not renew the lease.
	trackedRounds = 64
	// leaseMarginTicks is how much shorter a lease is than the minimum election timeout.
	leaseMarginTicks = 2
)

// lease stores the ticks at which the leader started its latest heartbeat rounds. The lease lasts
// from the start of the latest round that a quorum has answered.
type lease struct {
	// campaignTick is the tick at which the leader requested the votes of its term.
	campaignTick uint64
	// validFrom is the tick at which the last pause of the process ended. Rounds that started earlier
	// do not count towards the lease.
	validFrom uint64
	// round is the number of the current round.
	round uint64
	// roundStarts holds the ticks at which the last trackedRounds rounds began.
	roundStarts [trackedRounds]uint64
}

// reset clears the rounds of an earlier term.
func (l *lease) reset() {
	l.round = 0
	l.roundStarts = [trackedRounds]uint64{}
}

// startRound starts a new round.
func (l *lease) startRound(now uint64) {
	l.round++
	l.roundStarts[l.round%trackedRounds] = now
}

// startOf returns the tick at which a round began, or 0 if the round is unknown or too old.
func (l *lease) startOf(round uint64) uint64 {
	if round == 0 || round > l.round || l.round-round >= trackedRounds {
		return 0
	}
	return l.roundStarts[round%trackedRounds]
}

// quorumAckTick returns the start of the latest round that a quorum has answered. For an election
// timeout from that tick on, the replicas that answered grant no vote.
func (n *Node) quorumAckTick() uint64 {
	var ticks []uint64
	for _, v := range n.membership().Voters {
		switch p := n.peers[v.ID]; {
		case v.ID == n.opts.ID:
			ticks = append(ticks, n.now)
		case p != nil && n.countsTowardsQuorum(v.ID, p):
			ticks = append(ticks, n.lease.startOf(p.ackedRound))
		default:
			ticks = append(ticks, 0)
		}
	}
	if len(ticks) == 0 {
		return 0
	}
	slices.Sort(ticks)
	return ticks[len(ticks)-n.membership().Quorum()]
}

// HasLease reports whether the node is the leader and no other node can be a leader now.
func (n *Node) HasLease() bool {
	if n.role != RoleLeader || n.transferee != "" {
		return false
	}
	ackTick := n.quorumAckTick()
	return ackTick != 0 && ackTick >= n.lease.validFrom && n.now-ackTick+leaseMarginTicks < uint64(n.opts.ElectionTicks)
}
