package consensus

import (
	"maps"
	"slices"
)

// maxInFlight is the maximum number of unanswered appends to one replica.
const maxInFlight = 32

// progress is the leader's view of one replica.
type progress struct {
	// match is the highest index at which the replica's log is known to match the leader's, and next
	// is the index of the next entry to send.
	match uint64
	next  uint64
	// disk and epoch identify the data folder and the start of the replica; epoch is 0 before the
	// first reply.
	disk  uint64
	epoch uint64
	// address is the one in the membership until the replica has said its own in a hello. A replica with a new data
	// folder gets the log of a new leader as the voter of its name does, and needs to send no hello.
	address string
	// lastSeen is the tick at which a message of the replica was last received, and ackedRound is
	// the latest round that it has answered.
	lastSeen   uint64
	ackedRound uint64
	// ackedBefore is ackedRound when the current round began.
	ackedBefore uint64
	// unverified means that the saved state of the replica is not verified yet. The leader sends it
	// the log, but its replies do not count towards a quorum.
	unverified bool
	// probing means that the leader is searching for the last index at which the logs match,
	// with one append at a time.
	probing bool
	// inFlight is the number of unanswered appends.
	inFlight int
	snapshot *outgoingSnapshot
}

// reset discards the progress when the replica has restarted, since the replica may have lost
// entries that it had stored.
func (p *progress) reset(m Message, last uint64) {
	*p = progress{next: last + 1, disk: m.Disk, epoch: m.Epoch, address: p.address, probing: true}
}

// peerIDs returns the replicas that the leader sends the log to, in sorted order.
func (n *Node) peerIDs() []string { return slices.Sorted(maps.Keys(n.peers)) }

// countsTowardsQuorum reports whether the replica's replies count towards a quorum.
func (n *Node) countsTowardsQuorum(id string, p *progress) bool {
	v, ok := n.membership().Voter(id)
	return ok && v.Disk == p.disk && !p.unverified
}

// recordReply records that a replica has replied, and returns its progress. It returns nil if this
// node is not the leader or sends no log to the replica.
func (n *Node) recordReply(m Message) *progress {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return nil
	}
	if p.disk != m.Disk || (p.epoch != 0 && p.epoch != m.Epoch) {
		p.reset(m, n.log.last())
	}
	p.epoch = m.Epoch
	p.unverified = m.Unverified
	p.lastSeen = n.now
	p.ackedRound = max(p.ackedRound, min(m.Round, n.lease.round))
	return p
}
