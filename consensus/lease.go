package consensus

import "slices"

const (
	// roundsKept is how many rounds back an answer still renews the lease.
	roundsKept = 64
	// leaseMarginTicks is by how much a lease is shorter than the shortest election timeout.
	leaseMarginTicks = 2
)

// lease tells since when a quorum is known to follow the leader.
type lease struct {
	// campaign is the tick at which the leader asked for the votes of its term.
	campaign uint64
	// floor is the tick before which nothing counts, since the clock has stood still.
	floor uint64
	round uint64
	// sent holds the tick of each of the last rounds.
	sent [roundsKept]uint64
}

// begin starts the rounds of a new term.
func (l *lease) begin() {
	l.round = 0
	l.sent = [roundsKept]uint64{}
}

func (l *lease) next(now uint64) {
	l.round++
	l.sent[l.round%roundsKept] = now
}

// sentAt returns the tick at which a round was sent; 0: too long ago.
func (l *lease) sentAt(round uint64) uint64 {
	if round == 0 || round > l.round || l.round-round >= roundsKept {
		return 0
	}
	return l.sent[round%roundsKept]
}

// heardQuorum returns the last tick at which something was sent that a quorum has answered.
// Those who answered grant no vote for an election timeout from then on.
func (n *Node) heardQuorum() uint64 {
	var ticks []uint64
	for _, v := range n.membership().Voters {
		switch p := n.peers[v.ID]; {
		case v.ID == n.opts.ID:
			ticks = append(ticks, n.now)
		case p != nil && n.counts(v.ID, p):
			ticks = append(ticks, n.lease.sentAt(p.round))
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

// HasLease reports whether the node leads and no other node can lead now.
func (n *Node) HasLease() bool {
	if n.role != RoleLeader || n.transferee != "" {
		return false
	}
	heard := n.heardQuorum()
	return heard != 0 && heard >= n.lease.floor && n.now-heard+leaseMarginTicks < uint64(n.opts.ElectionTicks)
}
