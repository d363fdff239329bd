package consensus

import (
	"maps"
	"slices"
)

// maxInFlight is the maximum number of unanswered appends to one replica.
const maxInFlight = 32

// progress is the leader's view of one replica.
type progress struct {
	// match is the highest index at which the replica's log is known to match, and next the
	// index of the next entry to send.
	match uint64
	next  uint64
	// disk and epoch identify the data folder and the start of the replica; epoch is 0 before the
	// first reply.
	disk    uint64
	epoch   uint64
	address string
	// heard is the tick of the last message from the replica, and round the latest round that it
	// has answered.
	heard uint64
	round uint64
	// unverified replicas receive the log and do not count towards a quorum.
	unverified bool
	// probing means that the leader is searching for the last index at which the logs match,
	// with one append at a time.
	probing bool
	// inFlight is the number of unanswered appends.
	inFlight int
	snapshot *outgoingSnapshot
}

// restart resets the progress when a new start of the replica is seen, since the replica may
// have lost what it had stored.
func (p *progress) restart(m Message, last uint64) {
	*p = progress{next: last + 1, disk: m.Disk, epoch: m.Epoch, address: p.address, probing: true}
}

// peerIDs returns the replicas that the leader sends the log to, in sorted order.
func (n *Node) peerIDs() []string { return slices.Sorted(maps.Keys(n.peers)) }

// counts reports whether the replica's replies count towards a quorum.
func (n *Node) counts(id string, p *progress) bool {
	v, ok := n.membership().Voter(id)
	return ok && v.Disk == p.disk && !p.unverified
}

// answered records that a replica has replied, and returns its progress. It returns nil if this
// node is not the leader or sends no log to the replica.
func (n *Node) answered(m Message) *progress {
	p := n.peers[m.From]
	if n.role != RoleLeader || p == nil {
		return nil
	}
	if p.disk != m.Disk || (p.epoch != 0 && p.epoch != m.Epoch) {
		p.restart(m, n.log.last())
	}
	p.epoch = m.Epoch
	p.unverified = m.Unverified
	p.heard = n.now
	p.round = max(p.round, min(m.Round, n.lease.round))
	return p
}
